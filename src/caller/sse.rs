//! Parsing of server-sent events.
//!
//! A node relays thousands of tokens, one event each. To keep that cheap,
//! events are byte slices of the stream, and a token's text is found in its
//! JSON without parsing all of it.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event.
const EVENT_MAX_BYTES: usize = 64 * 1024;
const END_OF_EVENT: &[u8] = b"\n\n";
const TEXT_FIELD: &[u8] = b"\"text\":\"";

/// The fields of one event, as received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    /// Value of the `id` field.
    pub(crate) id: Bytes,
    /// Value of the `event` field.
    pub(crate) name: Bytes,
    /// Value of the `data` field.
    pub(crate) data: Bytes,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    bytes: BytesMut,
}

/// An event larger than [`EVENT_MAX_BYTES`] was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("server-sent event exceeds {EVENT_MAX_BYTES} bytes")]
pub(crate) struct EventTooLarge;

impl EventBuffer {
    /// Adds received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.bytes.extend_from_slice(bytes);
        let unfinished =
            self.bytes.len() > EVENT_MAX_BYTES && find(&self.bytes, END_OF_EVENT).is_none();
        if unfinished {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Takes the next complete event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let end = find(&self.bytes, END_OF_EVENT)?;
        let raw = self.bytes.split_to(end + END_OF_EVENT.len()).freeze();
        Some(parse_event(&raw.slice(..end)))
    }

    /// Takes the bytes of the next complete event, including the blank line that ends it.
    pub(crate) fn next_raw(&mut self) -> Option<Bytes> {
        let end = find(&self.bytes, END_OF_EVENT)?;
        Some(self.bytes.split_to(end + END_OF_EVENT.len()).freeze())
    }

    /// Whether no part of an unfinished event is buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Puts the event that ends an answer back, to be taken again.
    pub(crate) fn put_back_done(&mut self) {
        let rest = self.bytes.split();
        self.bytes.extend_from_slice(b"data: [DONE]\n\n");
        self.bytes.unsplit(rest);
    }
}

fn parse_event(raw: &Bytes) -> Event {
    let mut event = Event::default();
    let mut start = 0;
    for line in raw.split(|byte| *byte == b'\n') {
        let end = start + line.len();
        let field = |name: &[u8]| {
            let value = line.strip_prefix(name)?;
            let value = value.strip_prefix(b" ").unwrap_or(value);
            Some(raw.slice(end - value.len()..end))
        };
        if let Some(data) = field(b"data:") {
            event.data = data;
        } else if let Some(id) = field(b"id:") {
            event.id = id;
        } else if let Some(name) = field(b"event:") {
            event.name = name;
        }
        start = end + 1;
    }
    event
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    let first = *needle.first()?;
    let mut from = 0;
    while let Some(offset) = haystack[from..].iter().position(|byte| *byte == first) {
        let at = from + offset;
        if haystack[at..].starts_with(needle) {
            return Some(at);
        }
        from = at + 1;
    }
    None
}

/// The text in a token's JSON, still escaped: `\n` is two characters.
///
/// Escaped texts can be joined as they are, and the result goes unchanged into
/// the body of a request that resumes the stream.
pub(crate) fn escaped_text(data: &Bytes) -> Option<Bytes> {
    let start = find(data, TEXT_FIELD)? + TEXT_FIELD.len();
    let mut at = start;
    while let Some(byte) = data.get(at) {
        match byte {
            b'"' => return Some(data.slice(start..at)),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
    None
}

/// Unescapes JSON text.
pub(crate) fn unescape(escaped: &[u8]) -> Option<String> {
    let mut quoted = Vec::with_capacity(escaped.len() + 2);
    quoted.push(b'"');
    quoted.extend_from_slice(escaped);
    quoted.push(b'"');
    serde_json::from_slice(&quoted).ok()
}

/// Parses the decimal number in an event's id.
pub(crate) fn parse_index(digits: &[u8]) -> Option<u64> {
    // A number of 19 digits always fits into 64 bits.
    if digits.is_empty() || digits.len() > 19 {
        return None;
    }
    digits.iter().try_fold(0_u64, |value, byte| {
        byte.is_ascii_digit()
            .then(|| value * 10 + u64::from(byte - b'0'))
    })
}
