//! Making small what nodes hand to each other: asked for by many at once, a
//! large document would fill the link of a small VM for seconds.

use std::io::Read;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};

/// Largest content that a peer may hand over.
const CONTENT_MAX_BYTES: u64 = 8 * 1024 * 1024;

/// Packs content for peers.
pub(crate) fn pack(content: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(content, Compression::fast());
    let mut packed = Vec::new();
    // Reading from memory cannot fail.
    let _ = encoder.read_to_end(&mut packed);
    packed.into()
}

/// Unpacks what [`pack`] packed; what cannot be read, or is larger than any
/// content, is none.
pub(crate) fn unpack(packed: &[u8]) -> Option<Bytes> {
    let mut content = Vec::new();
    let mut decoder = ZlibDecoder::new(packed).take(CONTENT_MAX_BYTES + 1);
    let length = decoder.read_to_end(&mut content).ok()? as u64;
    (length <= CONTENT_MAX_BYTES).then(|| content.into())
}
