//! The audit trail: a lasting record of each confirmed change of the
//! configuration and of each order to a runner.
//!
//! Each record is a separate object under `audit/` with a time-ordered key, so
//! that concurrent writes never conflict.

use serde::{Deserialize, Serialize};

use crate::clock::unix_ms;
use crate::store::object_store::{ObjectStore, StoreError, create};

/// Prefix of the keys of audit records in the platform.
pub(crate) const AUDIT_PREFIX: &str = "audit/";

/// Outcome of an act that the audit trail records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditOutcome {
    /// The act is about to be attempted.
    Begun,
    /// The act took effect.
    Done,
    /// The act was refused and changed nothing.
    Refused,
    /// It is not known whether the act took effect.
    Unknown,
}

/// One record of the audit trail. An act gets one record before it is attempted
/// and another one with its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Time of the record, by the clock of the node that wrote it.
    pub at_unix_ms: u64,
    /// Node that acted: its name for a confirmation, and `node@incarnation`, as in
    /// the lease on orders, for an order.
    pub node: String,
    /// Operator for whom the node acted, or `order holder` for an order that the
    /// node sent to a runner without an operator.
    pub operator: String,
    /// What was done, such as `confirm` or `order`.
    pub act: String,
    /// What the act applies to, such as the id of an intent.
    pub subject: String,
    /// Details, such as the base version of a plan, or the order in JSON.
    pub detail: String,
    /// Outcome of the act.
    pub outcome: AuditOutcome,
}

impl AuditRecord {
    /// Creates the record of an act that is about to be attempted.
    pub(crate) fn now(node: &str, operator: &str, act: &str, subject: &str) -> Self {
        Self {
            at_unix_ms: unix_ms(),
            node: node.to_owned(),
            operator: operator.to_owned(),
            act: act.to_owned(),
            subject: subject.to_owned(),
            detail: String::new(),
            outcome: AuditOutcome::Begun,
        }
    }

    pub(crate) fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Returns a record of the same act with an outcome, at the present time.
    pub(crate) fn with_outcome(&self, outcome: AuditOutcome) -> Self {
        Self {
            at_unix_ms: unix_ms(),
            outcome,
            ..self.clone()
        }
    }

    /// Writes the record to the audit trail.
    pub(crate) async fn write<S: ObjectStore>(&self, store: &S) -> Result<(), StoreError> {
        let key = format!("{AUDIT_PREFIX}{}", uuid::Uuid::now_v7());
        let body = serde_json::to_vec(self).unwrap_or_default();
        create(store, &key, body.into()).await
    }
}
