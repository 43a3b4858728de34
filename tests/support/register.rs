//! Checks the history of confirmations that operators send concurrently: the
//! version of the configuration must behave as one linearizable register.

use std::time::Instant;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// One confirmation of an intent as its operator saw it.
#[derive(Clone, Debug)]
pub struct ConfirmAttempt {
    pub began_at: Instant,
    pub ended_at: Instant,
    pub base: u64,
    pub outcome: ConfirmOutcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmOutcome {
    Confirmed(u64),
    Conflict,
    Unknown,
}

/// A conditional write to the version register: it takes effect only if `base` is
/// the current version.
#[derive(Clone, Debug)]
pub struct ConfirmOperation {
    base: u64,
    outcome: ConfirmOutcome,
}

/// The configuration starts at version 1, and each confirmation that takes effect
/// raises the version by one.
///
/// An attempt with an unknown outcome may or may not have taken effect. `apply`
/// returns a single next state, so it cannot represent both, and takes the attempt
/// as one without effect. The caller of [`is_linearizable`] must therefore first
/// assert that there is no such attempt.
pub struct VersionSpec;

impl Specification for VersionSpec {
    type State = u64;
    type Operation = ConfirmOperation;

    fn init() -> u64 {
        1
    }

    fn apply(operation: &ConfirmOperation, state: &u64) -> (bool, u64) {
        let takes_effect = operation.base == *state;
        match operation.outcome {
            ConfirmOutcome::Confirmed(version) => (takes_effect && version == state + 1, version),
            ConfirmOutcome::Conflict => (!takes_effect, *state),
            ConfirmOutcome::Unknown => (true, *state),
        }
    }
}

pub fn is_linearizable(attempts: &[ConfirmAttempt]) -> bool {
    let mut actions = Vec::new();
    for (process, attempt) in attempts.iter().enumerate() {
        let operation = ConfirmOperation {
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
