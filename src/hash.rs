//! Hashes that are the same at all nodes, and rendezvous hashing, by which all
//! nodes choose the same candidate for a key without communication.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a over a sequence of values, with a final mixing step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fnv {
    state: u64,
}

impl Fnv {
    /// Starts a hash.
    pub(crate) fn new() -> Self {
        Self { state: FNV_OFFSET }
    }

    /// Adds bytes.
    pub(crate) fn bytes(mut self, bytes: &[u8]) -> Self {
        for byte in bytes {
            self.state = (self.state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        self
    }

    /// Adds text and a terminator, so that `ab`, `c` and `a`, `bc` give different
    /// hashes.
    pub(crate) fn text(self, text: &str) -> Self {
        self.bytes(text.as_bytes()).bytes(&[0xff])
    }

    /// Adds a number.
    pub(crate) fn number(self, number: u64) -> Self {
        self.bytes(&number.to_le_bytes())
    }

    /// Returns the hash so far without the final mixing step, from which a hash
    /// chain can continue.
    pub(crate) fn state(self) -> u64 {
        self.state
    }

    /// Returns the mixed hash, in which similar inputs are spread over the whole
    /// range.
    pub(crate) fn finish(self) -> u64 {
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        mixed ^ (mixed >> 33)
    }
}

/// Orders the candidates in `names` for a key by rendezvous hashing. The order is
/// the same at all nodes that know the same candidates, and the loss of a
/// candidate changes the first choice only of keys for which it came first.
pub(crate) fn rendezvous_order<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scores: Vec<(u64, &str)> = names
        .map(|name| (Fnv::new().number(key).text(name).finish(), name))
        .collect();
    scores.sort_unstable_by(|a, b| b.cmp(a));
    scores.into_iter().map(|(_, name)| name).collect()
}
