//! A simulation of nodes and engines in virtual time. It runs the nodes' own
//! placement code and compares it with other ways to place streams, without
//! real engines.
//!
//! `docs/PLACEMENT.md` shows its tables beside those of the test bench.

pub(crate) mod engine;
pub(crate) mod simulator;
pub(crate) mod stream;

#[cfg(test)]
mod tests;
