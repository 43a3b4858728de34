//! Splits JSON text into the texts of its parts, without parsing these.
//!
//! A list may hold items of other writers. One that no parser accepts (a number out of
//! range, thousands of nested brackets, bytes that are no text) must cost only that item, so
//! a list is first split into items, which are then parsed one by one.

use std::borrow::Cow;

/// The text of a JSON document. Bytes that are not UTF-8 are replaced, which changes only
/// the string in which they stand.
pub(crate) fn decode(document: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(document)
}

/// The text of each element of an array; `None` if the text is no array.
pub(crate) fn elements(array: &str) -> Option<Vec<&str>> {
    parts(array, '[', ']')
}

/// The text of the value that an object has under `key`, if it has one.
pub(crate) fn member<'a>(object: &'a str, key: &str) -> Option<&'a str> {
    let members = parts(object, '{', '}')?;
    members.into_iter().find_map(|part| {
        let rest = part.strip_prefix('"')?.strip_prefix(key)?;
        let rest = rest.strip_prefix('"')?.trim_start();
        Some(rest.strip_prefix(':')?.trim_start())
    })
}

/// Splits the text between two brackets at its commas.
fn parts(text: &str, open: char, close: char) -> Option<Vec<&str>> {
    let inner = text.trim().strip_prefix(open)?.strip_suffix(close)?;
    let mut nesting = Nesting::default();
    let mut parts = Vec::new();
    let mut start = 0;
    for (at, byte) in inner.bytes().enumerate() {
        if nesting.is_separator(byte) {
            parts.push(inner[start..at].trim());
            start = at + 1;
        }
    }
    let last = inner[start..].trim();
    if !last.is_empty() {
        parts.push(last);
    }
    nesting.is_closed().then_some(parts)
}

/// Where in nested brackets and strings the next byte stands.
#[derive(Debug, Default)]
struct Nesting {
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
}

impl Nesting {
    /// Moves over the next byte, and returns whether it separates two parts.
    fn is_separator(&mut self, byte: u8) -> bool {
        if self.is_in_string {
            let ends = byte == b'"' && !self.is_escaped;
            self.is_escaped = byte == b'\\' && !self.is_escaped;
            self.is_in_string = !ends;
            return false;
        }
        match byte {
            b'"' => self.is_in_string = true,
            b'[' | b'{' => self.depth += 1,
            b']' | b'}' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        byte == b',' && self.depth == 0
    }

    fn is_closed(&self) -> bool {
        self.depth == 0 && !self.is_in_string
    }
}
