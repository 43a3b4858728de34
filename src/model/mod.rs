//! A model of the engines that serve streams, in virtual time, on which the
//! node's own decisions are compared without engines.
//!
//! `docs/PLACEMENT.md` shows its tables beside the bench's.

pub(crate) mod engine;
pub(crate) mod fleet;
pub(crate) mod stream;

#[cfg(test)]
mod tests;
