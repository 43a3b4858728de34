//! A simulation of nodes that forward streams to engines, in virtual time.
//!
//! An engine is a server that runs a language model. A stream is one prompt and
//! the events in which its answer arrives. Placement is the choice of the engine
//! for a stream. The simulation calls the placement functions of real nodes and
//! compares them with other ways to place streams, without real engines.
//!
//! `docs/PLACEMENT.md` shows the simulation's tables beside those of the users'
//! bench, which plays whole deployments.

pub(crate) mod engine;
pub(crate) mod hedging;
pub(crate) mod permits;
pub(crate) mod simulator;
pub(crate) mod stream;

#[cfg(test)]
mod tests;
