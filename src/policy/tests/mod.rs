//! Replays of the loads that the decisions answer.

mod conviction;
mod lapse;
mod placement;
mod refusal;
mod silence;
mod spend;
mod watchers;
