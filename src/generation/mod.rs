//! Generation of one complete answer by successive attempts at runners.

pub(crate) mod attempt;
pub(crate) mod dispatch;
pub(crate) mod run;
pub(crate) mod token_chain;
