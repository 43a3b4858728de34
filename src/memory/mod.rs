//! Memory that a process holds for its callers: the bodies of their requests, and the
//! answers that they have not read yet.
//!
//! `docs/design/memory-budget.md` states the shares and their sizes.

pub(crate) mod budget;
pub(crate) mod charged_bytes;
pub(crate) mod request_body;
pub(crate) mod unread_answers;

#[cfg(test)]
mod tests;
