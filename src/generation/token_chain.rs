//! Text whose every token proves what came before it.
//!
//! The runner stand-in writes such text, and callers in tests check it: each
//! token carries its index and a hash of the prompt and all text before it.
//! A token that is missing, repeated or taken from another generation breaks
//! the chain, so a whole answer can be judged from its text alone.

use crate::hash::Fnv;

const LINK_MASK: u64 = 0xffff;

/// The hash of a prompt and the text that follows it so far.
///
/// ```
/// use zinniawing::TokenChain;
///
/// let mut writer = TokenChain::new("how much is paid?");
/// let first = writer.write(0, 7);
/// let second = writer.write(1, 7);
/// let text = format!("{first}{second}");
/// assert_eq!(TokenChain::check("how much is paid?", &text), Ok(2));
/// assert!(TokenChain::check("how much is paid?", &second).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct TokenChain {
    hash: Fnv,
}

/// Where a text stops being one whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("token {index}: {text:?} does not continue the text before it")]
pub struct BrokenChain {
    /// Position of the token that does not fit.
    pub index: u64,
    /// The token.
    pub text: String,
}

impl TokenChain {
    /// Starts a chain at the end of a prompt.
    pub fn new(prompt: &str) -> Self {
        let mut chain = Self { hash: Fnv::new() };
        chain.absorb(prompt);
        chain
    }

    /// Takes in text that others wrote.
    pub fn absorb(&mut self, text: &str) {
        self.hash = self.hash.bytes(text.as_bytes());
    }

    /// Writes the next token; `salt` makes generations differ.
    pub fn write(&mut self, index: u64, salt: u16) -> String {
        let token = format!(" {index}.{salt:x}.{:04x}", self.link());
        self.absorb(&token);
        token
    }

    /// Counts the tokens of a whole text, or says where it breaks.
    pub fn check(prompt: &str, text: &str) -> Result<u64, BrokenChain> {
        let mut chain = Self::new(prompt);
        let mut count = 0;
        for word in text.split(' ').skip(1) {
            if !chain.fits(count, word) {
                return Err(BrokenChain {
                    index: count,
                    text: word.to_owned(),
                });
            }
            chain.absorb(" ");
            chain.absorb(word);
            count += 1;
        }
        Ok(count)
    }

    fn fits(&self, index: u64, word: &str) -> bool {
        let mut parts = word.split('.');
        let index_fits = parts.next().and_then(|p| p.parse().ok()) == Some(index);
        let has_salt = parts.next().is_some();
        let link = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok());
        index_fits && has_salt && link == Some(self.link()) && parts.next().is_none()
    }

    /// The hash itself, which names a prefix.
    pub(crate) fn value(&self) -> u64 {
        self.hash.state()
    }

    fn link(&self) -> u64 {
        let hash = self.hash.state();
        (hash ^ (hash >> 32)) & LINK_MASK
    }
}
