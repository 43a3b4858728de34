//! Replays of the loads that the decisions answer.

mod alarm;
mod conviction;
mod lapse;
mod placement;
mod refusal;
mod silence;
mod spend;
mod watchers;
