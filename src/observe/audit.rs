//! The trail of every change to the configuration and every order.
//!
//! Each record is an object of its own under `audit/`, named by its time, so
//! that writing one never contends with another.

use serde::{Deserialize, Serialize};

use crate::clock::unix_ms;
use crate::store::object_store::{ObjectStore, StoreError, create};

/// Where audit records stand in the platform.
pub(crate) const AUDIT_PREFIX: &str = "audit/";

/// How an audited act went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditOutcome {
    /// The act is about to be tried.
    Begun,
    /// The act took effect.
    Done,
    /// The act was refused and changed nothing.
    Refused,
    /// It is not known whether the act took effect.
    Unknown,
}

/// One audited act.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// When, by the clock of the node that wrote it.
    pub at_unix_ms: u64,
    /// Node that acted.
    pub node: String,
    /// Operator on whose behalf it acted, or the node itself.
    pub operator: String,
    /// What was done, such as `confirm` or `order`.
    pub act: String,
    /// What it was done to.
    pub subject: String,
    /// Details, such as the base version or the difference.
    pub detail: String,
    /// How it went.
    pub outcome: AuditOutcome,
}

impl AuditRecord {
    /// Makes a record of now.
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

    /// The same act with details.
    pub(crate) fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// The same act with its outcome, at the present time.
    pub(crate) fn with_outcome(&self, outcome: AuditOutcome) -> Self {
        Self {
            at_unix_ms: unix_ms(),
            outcome,
            ..self.clone()
        }
    }

    /// Adds the record to the trail.
    pub(crate) async fn write<S: ObjectStore>(&self, store: &S) -> Result<(), StoreError> {
        let key = format!("{AUDIT_PREFIX}{}", uuid::Uuid::now_v7());
        let body = serde_json::to_vec(self).unwrap_or_default();
        create(store, &key, body.into()).await
    }
}
