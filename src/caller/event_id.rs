//! Ids of the events that callers receive. With the id of the last event and the
//! original request, any node can resume the stream.

use std::fmt;

use sha2::{Digest, Sha256};

use crate::configuration::config::hex;
use crate::fleet::runner::StreamKey;
use crate::id::{AttemptNumber, GenerationId, RunnerId, TokenIndex};

/// Hexadecimal digits of a stream key.
const KEY_DIGITS: usize = 40;

/// Names one attempt of one generation at one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub(crate) generation: GenerationId,
    /// Position of the attempt within the generation.
    pub(crate) number: AttemptNumber,
    /// Random for each attempt, because two nodes may give their attempts the
    /// same number.
    pub(crate) salt: u32,
    /// Runner that serves the attempt.
    pub(crate) runner: RunnerId,
}

/// Names one token of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EventId {
    /// The attempt that generated the token.
    pub(crate) attempt: AttemptId,
    pub(crate) index: TokenIndex,
}

impl AttemptId {
    /// The key of the attempt's stream at its runner.
    ///
    /// It also depends on the hash of the request that opened the stream, so
    /// that a caller cannot read another customer's stream by its event id.
    pub(crate) fn stream_key(&self, request_hash: &[u8; 32]) -> StreamKey {
        let mut hasher = Sha256::new();
        hasher.update(request_hash);
        hasher.update(self.to_string().as_bytes());
        let mut key = hex(&hasher.finalize());
        key.truncate(KEY_DIGITS);
        key
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{:x}.{}",
            self.generation, self.number, self.salt, self.runner
        )
    }
}

impl EventId {
    /// Parses an id that a caller sent.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (attempt, index) = text.rsplit_once('.')?;
        let mut parts = attempt.splitn(4, '.');
        let attempt = AttemptId {
            generation: parts.next().filter(|g| !g.is_empty())?.to_owned(),
            number: parts.next()?.parse().ok()?,
            salt: u32::from_str_radix(parts.next()?, 16).ok()?,
            runner: parts.next()?.to_owned(),
        };
        Some(Self {
            attempt,
            index: index.parse().ok()?,
        })
    }
}
