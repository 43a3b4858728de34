//! Generation of answers. One generation is one complete answer to a caller. It
//! consists of successive attempts: each is a stream of tokens from one runner
//! and continues where the attempt before it was lost.

pub(crate) mod attempt;
pub(crate) mod delivery;
pub(crate) mod dispatch;
pub(crate) mod run;
pub(crate) mod runner_probe;
pub(crate) mod silence;
pub(crate) mod stream_guard;
pub(crate) mod token_chain;

#[cfg(test)]
mod tests;
