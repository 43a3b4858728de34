//! Checks that calls which may not be repeated ran at most once, by the history
//! of calls and executions.

use std::time::Instant;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;
use zinniawing::{CallReport, Execution, LocalCluster, Receipt};

/// What a caller learned of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The service's receipt, as `KEY#POSITION` in its ledger.
    Receipt(String),
    NotRun,
    /// The outcome is unknown, the call is still in progress, or no answer came.
    Unknown,
}

/// One call as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    pub key: String,
    pub began_at: Instant,
    pub ended_at: Instant,
    pub outcome: ReportedOutcome,
}

/// One execution as recorded in a service's ledger.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    pub key: String,
    pub executed_at: Instant,
    pub receipt: String,
}

/// An operation on the state of one key, which is the receipt of its execution:
/// the execution, or a caller's report that shows the receipt or its absence.
#[derive(Clone, Debug)]
pub enum Operation {
    Execute(String),
    Read(Option<String>),
}

/// A key is executed at most once, and no caller is told after its execution that
/// the call did not run.
pub struct AtMostOnceSpec;

impl Specification for AtMostOnceSpec {
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

/// Checks the history of one key for linearizability.
pub fn is_at_most_once(calls: &[Call], executions: &[ExecutionRecord]) -> bool {
    let mut actions = Vec::new();
    for (process, execution) in executions.iter().enumerate() {
        let operation = Operation::Execute(execution.receipt.clone());
        actions.push((
            execution.executed_at,
            process,
            Action::Call(operation.clone()),
        ));
        actions.push((execution.executed_at, process, Action::Response(operation)));
    }
    for (number, call) in calls.iter().enumerate() {
        let seen = match &call.outcome {
            ReportedOutcome::Receipt(receipt) => Some(receipt.clone()),
            ReportedOutcome::NotRun => None,
            ReportedOutcome::Unknown => continue,
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
    WGLChecker::<AtMostOnceSpec>::is_linearizable(History::from_actions(ordered.collect()))
}

/// Whether the execution can stem from one of the calls: from one that began
/// before it and whose caller was not told that it did not run. `is_at_most_once`
/// alone accepts a call that ran and was reported as not run, if it began before
/// its execution.
pub fn has_possible_caller(execution: &ExecutionRecord, calls: &[Call]) -> bool {
    calls.iter().any(|call| {
        call.began_at <= execution.executed_at && call.outcome != ReportedOutcome::NotRun
    })
}

pub fn reported_outcome(report: &CallReport) -> ReportedOutcome {
    match report {
        CallReport::Answered { status: 200, body } => {
            let receipt: Receipt = serde_json::from_slice(body).expect("the body is a receipt");
            ReportedOutcome::Receipt(format!("{}#{}", receipt.key, receipt.receipt))
        }
        CallReport::Answered { .. } | CallReport::NoAnswer => ReportedOutcome::Unknown,
        CallReport::Failed(error) if error.execution == Execution::NotRun => {
            ReportedOutcome::NotRun
        }
        CallReport::Failed(_) => ReportedOutcome::Unknown,
    }
}

/// All executions in the services' ledgers.
pub fn executions(cluster: &LocalCluster) -> Vec<ExecutionRecord> {
    let mut all = Vec::new();
    for (service, _) in &cluster.services {
        for (position, (call, at)) in service
            .ledger()
            .into_iter()
            .zip(service.executed_at())
            .enumerate()
        {
            all.push(ExecutionRecord {
                receipt: format!("{}#{}", call.key, position + 1),
                key: call.key,
                executed_at: at,
            });
        }
    }
    all
}

/// Checks the whole history, key by key.
pub fn assert_at_most_once(calls: &[Call], executions: &[ExecutionRecord], context: &str) {
    let mut keys: Vec<&str> = calls.iter().map(|c| c.key.as_str()).collect();
    keys.sort_unstable();
    keys.dedup();
    for key in keys {
        let calls_of_key: Vec<Call> = calls.iter().filter(|c| c.key == key).cloned().collect();
        let executions_of_key: Vec<ExecutionRecord> = executions
            .iter()
            .filter(|e| e.key == key)
            .cloned()
            .collect();
        assert!(
            is_at_most_once(&calls_of_key, &executions_of_key),
            "{context}: calls {calls_of_key:#?}, executions {executions_of_key:#?}"
        );
        for execution in &executions_of_key {
            assert!(
                has_possible_caller(execution, &calls_of_key),
                "{context}: calls {calls_of_key:#?}, executions {executions_of_key:#?}"
            );
        }
    }
}
