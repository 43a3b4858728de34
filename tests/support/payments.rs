//! Histories of calls that may not be repeated, and what they must satisfy.

use std::time::Instant;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;
use zinniawing::{CallReport, Execution, LocalCluster, Receipt};

/// What a caller was told of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The service's receipt: instance and position in its ledger.
    Receipt(String),
    NotRun,
    /// Unknown, under way, or no answer at all.
    Nothing,
}

/// One call as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    pub key: String,
    pub began_at: Instant,
    pub ended_at: Instant,
    pub told: Told,
}

/// One execution as the service's ledger has it.
#[derive(Clone, Debug)]
pub struct Run {
    pub key: String,
    pub at: Instant,
    pub receipt: String,
}

/// The life of one key: executed at most once, and never denied afterwards.
#[derive(Clone, Debug)]
pub enum Operation {
    Execute(String),
    Read(Option<String>),
}

pub struct KeySpec;

impl Specification for KeySpec {
    type State = Option<String>;
    type Operation = Operation;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            Operation::Execute(receipt) => (state.is_none(), Some(receipt.clone())),
            Operation::Read(seen) => (seen == state, state.clone()),
        }
    }
}

/// Judges the history of one key.
pub fn is_at_most_once(calls: &[Call], executions: &[Run]) -> bool {
    let mut actions = Vec::new();
    for (process, execution) in executions.iter().enumerate() {
        let operation = Operation::Execute(execution.receipt.clone());
        actions.push((execution.at, process, Action::Call(operation.clone())));
        actions.push((execution.at, process, Action::Response(operation)));
    }
    for (number, call) in calls.iter().enumerate() {
        let seen = match &call.told {
            Told::Receipt(receipt) => Some(receipt.clone()),
            Told::NotRun => None,
            Told::Nothing => continue,
        };
        let process = executions.len() + number;
        let operation = Operation::Read(seen);
        actions.push((call.began_at, process, Action::Call(operation.clone())));
        actions.push((call.ended_at, process, Action::Response(operation)));
    }
    if actions.is_empty() {
        return true;
    }
    // The sort is stable, so a call stays before its response.
    actions.sort_by_key(|(at, _, _)| *at);
    let ordered = actions
        .into_iter()
        .map(|(_, process, action)| (process, action));
    WGLChecker::<KeySpec>::is_linearizable(History::from_actions(ordered.collect()))
}

/// A call that was told "not run" must not have been the one that ran: each
/// execution needs a call that began before it and was told otherwise.
pub fn has_owner(execution: &Run, calls: &[Call]) -> bool {
    calls
        .iter()
        .any(|call| call.began_at <= execution.at && call.told != Told::NotRun)
}

pub fn told(report: &CallReport) -> Told {
    match report {
        CallReport::Answered { status: 200, body } => {
            let receipt: Receipt = serde_json::from_slice(body).expect("a receipt");
            Told::Receipt(format!("{}#{}", receipt.key, receipt.receipt))
        }
        CallReport::Answered { .. } | CallReport::NoAnswer => Told::Nothing,
        CallReport::Failed(error) if error.execution == Execution::NotRun => Told::NotRun,
        CallReport::Failed(_) => Told::Nothing,
    }
}

/// Everything that the services' ledgers hold.
pub fn executions(cluster: &LocalCluster) -> Vec<Run> {
    let mut all = Vec::new();
    for (service, _) in &cluster.services {
        for (position, (call, at)) in service
            .ledger()
            .into_iter()
            .zip(service.executed_at())
            .enumerate()
        {
            all.push(Run {
                receipt: format!("{}#{}", call.key, position + 1),
                key: call.key,
                at,
            });
        }
    }
    all
}

/// Judges the whole history, key by key.
pub fn assert_at_most_once(calls: &[Call], executions: &[Run], context: &str) {
    let mut keys: Vec<&str> = calls.iter().map(|c| c.key.as_str()).collect();
    keys.sort_unstable();
    keys.dedup();
    for key in keys {
        let of_key: Vec<Call> = calls.iter().filter(|c| c.key == key).cloned().collect();
        let ran: Vec<Run> = executions
            .iter()
            .filter(|e| e.key == key)
            .cloned()
            .collect();
        assert!(
            is_at_most_once(&of_key, &ran),
            "{context}: {of_key:#?} against {ran:#?}"
        );
        for execution in &ran {
            assert!(
                has_owner(execution, &of_key),
                "{context}: {of_key:#?} against {ran:#?}"
            );
        }
    }
}
