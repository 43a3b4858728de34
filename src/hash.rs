//! Hashes on which nodes agree without talking.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a over typed parts, finished by a mixer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fnv {
    state: u64,
}

impl Fnv {
    /// Starts a hash.
    pub(crate) fn new() -> Self {
        Self { state: FNV_OFFSET }
    }

    /// Takes in bytes.
    pub(crate) fn bytes(mut self, bytes: &[u8]) -> Self {
        for byte in bytes {
            self.state = (self.state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        self
    }

    /// Takes in text, closed so that `ab, c` differs from `a, bc`.
    pub(crate) fn text(self, text: &str) -> Self {
        self.bytes(text.as_bytes()).bytes(&[0xff])
    }

    /// Takes in a number.
    pub(crate) fn number(self, number: u64) -> Self {
        self.bytes(&number.to_le_bytes())
    }

    /// The hash so far, without the mixer, as a chain continues from it.
    pub(crate) fn state(self) -> u64 {
        self.state
    }

    /// Mixes the state, so that similar inputs spread over the whole range.
    pub(crate) fn finish(self) -> u64 {
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        mixed ^ (mixed >> 33)
    }
}

/// Orders candidates for a key, the same at every node that knows the same
/// candidates; losing one candidate moves only the keys it held.
pub(crate) fn rendezvous_order<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> = names
        .map(|name| (Fnv::new().number(key).text(name).finish(), name))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, name)| name).collect()
}
