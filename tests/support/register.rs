//! The history of a configuration that operators race to change.

use std::time::Instant;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// One confirmation as its operator saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub began_at: Instant,
    pub ended_at: Instant,
    pub base: u64,
    pub outcome: Outcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Confirmed(u64),
    Conflict,
    Unknown,
}

/// A conditional write of a version register.
#[derive(Clone, Debug)]
pub struct Confirm {
    base: u64,
    outcome: Outcome,
}

pub struct VersionSpec;

impl Specification for VersionSpec {
    type State = u64;
    type Operation = Confirm;

    fn init() -> u64 {
        1
    }

    fn apply(operation: &Confirm, state: &u64) -> (bool, u64) {
        let takes_effect = operation.base == *state;
        match operation.outcome {
            Outcome::Confirmed(version) => (takes_effect && version == state + 1, version),
            Outcome::Conflict => (!takes_effect, *state),
            Outcome::Unknown => (true, *state),
        }
    }
}

pub fn is_linearizable(attempts: &[Attempt]) -> bool {
    let mut actions = Vec::new();
    for (process, attempt) in attempts.iter().enumerate() {
        let operation = Confirm {
            base: attempt.base,
            outcome: attempt.outcome,
        };
        actions.push((attempt.began_at, process, Action::Call(operation.clone())));
        actions.push((attempt.ended_at, process, Action::Response(operation)));
    }
    actions.sort_by_key(|(at, _, _)| *at);
    let ordered = actions
        .into_iter()
        .map(|(_, process, action)| (process, action));
    WGLChecker::<VersionSpec>::is_linearizable(History::from_actions(ordered.collect()))
}
