//! Bytes that hold their reservation.

use bytes::Bytes;

use super::budget::Charge;

struct ChargedBytes<B> {
    bytes: B,
    _charge: Charge,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for ChargedBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Creates bytes whose reservation ends with the last of their clones.
pub(crate) fn charged<B>(bytes: B, charge: Charge) -> Bytes
where
    B: AsRef<[u8]> + Send + 'static,
{
    Bytes::from_owner(ChargedBytes {
        bytes,
        _charge: charge,
    })
}
