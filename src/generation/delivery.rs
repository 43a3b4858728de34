//! The tokens of a generation on their way from runners to the caller.

use bytes::BytesMut;

use crate::caller::sse::{Event, escaped_text, parse_index};
use crate::id::TokenIndex;

/// The tokens of one generation, as received from runners for the caller.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    /// Index of the next token.
    pub(crate) next_index: TokenIndex,
    /// Text of all tokens before `next_index`, as escaped JSON.
    pub(crate) escaped_text: BytesMut,
    /// Events not yet sent to the caller.
    pub(crate) unsent: BytesMut,
    /// Number of tokens that were received again and dropped.
    pub(crate) repeated_count: u64,
}

/// What became of an event that was added to a [`Delivery`].
pub(crate) enum Added {
    /// It held the next token.
    Token,
    /// It held a token that had been received before.
    Repeated,
    /// It skipped a token or was malformed.
    Invalid,
}

impl Delivery {
    /// Adds the token of an event unless it was received before.
    pub(crate) fn add(&mut self, event: &Event, id_prefix: &str) -> Added {
        let Some(index) = parse_index(&event.id) else {
            return Added::Invalid;
        };
        if index < self.next_index {
            self.repeated_count += 1;
            return Added::Repeated;
        }
        if index > self.next_index {
            return Added::Invalid;
        }
        let Some(text) = escaped_text(&event.data) else {
            return Added::Invalid;
        };
        self.escaped_text.extend_from_slice(&text);
        self.unsent.extend_from_slice(id_prefix.as_bytes());
        self.unsent.extend_from_slice(&event.id);
        self.unsent.extend_from_slice(b"\ndata: ");
        self.unsent.extend_from_slice(&event.data);
        self.unsent.extend_from_slice(b"\n\n");
        self.next_index += 1;
        Added::Token
    }
}
