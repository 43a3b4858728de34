//! Decisions, apart from input and output: time is passed in, nothing is sent.
//!
//! Each module names the load that it answers; `tests` replay these loads.

pub(crate) mod alarm;
pub(crate) mod answer_class;
pub(crate) mod conviction;
pub(crate) mod freshness;
pub(crate) mod lapse;
pub(crate) mod placement;
pub(crate) mod refusal;
pub(crate) mod silence;
pub(crate) mod spend;
pub(crate) mod watchers;

#[cfg(test)]
mod tests;
