//! A hash chain over the tokens of an answer, by which the answer is verified.
//!
//! The stand-in runner, which tests and experiments use instead of a model
//! engine, generates such text, and the caller checks it. Each token carries its
//! index and a hash of the prompt and all text before it. A token that is
//! missing, repeated or from another generation breaks the chain, so the text
//! alone shows whether an answer is complete and correct.

use crate::hash::Fnv;

/// Bits of the hash that a token carries.
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

/// The first token of a text that does not continue the chain.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("token {index}: {text:?} does not continue the text before it")]
pub struct BrokenChain {
    /// Position of the token in the text.
    pub index: u64,
    /// The token.
    pub text: String,
}

impl TokenChain {
    /// Starts a chain after a prompt.
    pub fn new(prompt: &str) -> Self {
        let mut chain = Self { hash: Fnv::new() };
        chain.absorb(prompt);
        chain
    }

    /// Adds existing text to the chain.
    pub fn absorb(&mut self, text: &str) {
        self.hash = self.hash.bytes(text.as_bytes());
    }

    /// Writes the next token. A `salt` that differs between generations gives
    /// them different texts.
    pub fn write(&mut self, index: u64, salt: u16) -> String {
        let token = format!(" {index}.{salt:x}.{:04x}", self.link());
        self.absorb(&token);
        token
    }

    /// Counts the tokens of a text, or gives the first token that breaks the
    /// chain.
    pub fn check(prompt: &str, text: &str) -> Result<u64, BrokenChain> {
        let mut chain = Self::new(prompt);
        let mut count = 0;
        for word in text.split(' ').skip(1) {
            if !chain.is_next(count, word) {
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

    fn is_next(&self, index: u64, word: &str) -> bool {
        let mut parts = word.split('.');
        let has_index = parts.next().and_then(|p| p.parse().ok()) == Some(index);
        let has_salt = parts.next().is_some();
        let link = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok());
        has_index && has_salt && link == Some(self.link()) && parts.next().is_none()
    }

    /// The hash of all text so far, which identifies a prompt prefix.
    pub(crate) fn hash(&self) -> u64 {
        self.hash.state()
    }

    fn link(&self) -> u64 {
        let hash = self.hash.state();
        (hash ^ (hash >> 32)) & LINK_MASK
    }
}
