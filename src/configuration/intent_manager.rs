//! States, plans and confirms intents. To state an intent is to store it without
//! effect; its plan lists what it would change; to confirm it puts it into force.
//!
//! A confirmation writes the configuration object on the condition that it is
//! still at the version that the plan was made for, so if two operators confirm
//! at the same time, one of them gets a conflict. After a lost reply, the manager
//! looks for the intent among the confirmations in the configuration object to
//! learn whether the write succeeded.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::unix_ms;
use crate::configuration::config::{ConfigRecord, Confirmation};
use crate::configuration::intent::Intent;
use crate::configuration::plan::Plan;
use crate::error::{Error, ErrorKind};
use crate::id::{IntentId, NodeId, Version};
use crate::observe::audit::{AUDIT_PREFIX, AuditOutcome, AuditRecord};
use crate::store::object_api::CONFIG_KEY;
use crate::store::object_store::{ABSENT, Object, ObjectStore, StoreError, create};

/// Maximum number of attempts to confirm an intent while replies are lost.
const CONFIRM_ATTEMPTS_MAX: u32 = 6;
/// Pause before the configuration is read again after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The result of a confirmation. Other intents may have been confirmed since,
/// so the configuration in force may be newer than `version`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ConfirmedConfig {
    /// Version of the configuration that came from the confirmed intent.
    pub(crate) version: Version,
    /// The configuration object in force now.
    pub(crate) in_force: Object,
}

/// An intent as it is stored until it is confirmed.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StatedIntent {
    operator: String,
    at_unix_ms: u64,
    intent: Intent,
}

/// States, plans and confirms intents on behalf of operators.
#[derive(Clone, Debug)]
pub(crate) struct IntentManager<S> {
    store: S,
    node: NodeId,
}

impl<S: ObjectStore> IntentManager<S> {
    /// Creates a manager that stores intents in `store` and names `node` in its
    /// audit records.
    pub(crate) fn new(store: S, node: NodeId) -> Self {
        Self { store, node }
    }

    /// Stores an intent and returns its plan. The configuration changes only once
    /// the intent is confirmed.
    pub(crate) async fn state_intent(&self, operator: &str, intent: Intent) -> Result<Plan, Error> {
        let problems = intent.problems();
        if !problems.is_empty() {
            return Err(Error::new(ErrorKind::BadRequest, problems.join("\n")));
        }
        let intent_id = uuid::Uuid::now_v7().simple().to_string();
        let stated = StatedIntent {
            operator: operator.to_owned(),
            at_unix_ms: unix_ms(),
            intent,
        };
        let body: Bytes = serde_json::to_vec(&stated).unwrap_or_default().into();
        let written = create(&self.store, &intent_key(&intent_id), body).await;
        written.map_err(|_| platform_unavailable())?;
        let (version, current) = self.current().await?;
        Ok(Plan::new(
            intent_id,
            version,
            &current.intent,
            &stated.intent,
        ))
    }

    /// Computes what a stated intent would change in the configuration that is
    /// now in force.
    pub(crate) async fn plan(&self, intent_id: &IntentId) -> Result<Plan, Error> {
        let stated = self.stated(intent_id).await?;
        let (version, current) = self.current().await?;
        let plan = Plan::new(intent_id.clone(), version, &current.intent, &stated.intent);
        Ok(plan)
    }

    /// Puts a stated intent into force, provided that the configuration is still
    /// at version `base`, which is the version that its plan was made for.
    pub(crate) async fn confirm(
        &self,
        operator: &str,
        intent_id: &IntentId,
        base: Version,
    ) -> Result<ConfirmedConfig, Error> {
        let stated = self.stated(intent_id).await?;
        let audit = AuditRecord::now(&self.node, operator, "confirm", intent_id)
            .with_detail(format!("base {base}"));
        audit
            .write(&self.store)
            .await
            .map_err(|_| platform_unavailable())?;
        let confirmation = Confirmation {
            intent_id: intent_id.clone(),
            operator: operator.to_owned(),
            at_unix_ms: unix_ms(),
            base,
        };
        let confirmed = self.try_confirm(stated.intent, confirmation).await;
        let outcome = match &confirmed {
            Ok(_) => AuditOutcome::Done,
            Err(error) if error.kind == ErrorKind::OutcomeUnknown => AuditOutcome::Unknown,
            Err(_) => AuditOutcome::Refused,
        };
        // The configuration object itself records each confirmation, so a
        // failure to write the outcome to the audit trail is ignored.
        let _ = audit.with_outcome(outcome).write(&self.store).await;
        confirmed
    }

    /// Reads the last `count` audit records, oldest first. `list` returns the
    /// keys that begin with a prefix, in order.
    pub(crate) async fn audit<F, R>(&self, list: F, count: usize) -> Result<Vec<AuditRecord>, Error>
    where
        F: FnOnce(&'static str) -> R,
        R: Future<Output = Result<Vec<String>, StoreError>>,
    {
        let keys = list(AUDIT_PREFIX)
            .await
            .map_err(|_| platform_unavailable())?;
        let mut records = Vec::new();
        for key in keys.iter().skip(keys.len().saturating_sub(count)) {
            let object = self
                .store
                .get(key)
                .await
                .map_err(|_| platform_unavailable())?;
            let record = object.and_then(|o| serde_json::from_slice(&o.body).ok());
            records.extend(record);
        }
        Ok(records)
    }

    async fn try_confirm(
        &self,
        intent: Intent,
        confirmation: Confirmation,
    ) -> Result<ConfirmedConfig, Error> {
        let mut may_be_written = false;
        for _ in 0..CONFIRM_ATTEMPTS_MAX {
            let current = match self.current().await {
                Ok(current) => current,
                Err(_) if may_be_written => {
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
                Err(error) => return Err(error),
            };
            let (version, record) = current;
            let confirmed_version = record.confirmed_version(&confirmation.intent_id, version);
            if let Some(confirmed_version) = confirmed_version {
                let body = record.encode();
                return Ok(ConfirmedConfig {
                    version: confirmed_version,
                    in_force: Object { version, body },
                });
            }
            if version != confirmation.base {
                return Err(conflict(confirmation.base, version));
            }
            let body = record
                .successor(intent.clone(), confirmation.clone())
                .encode();
            match self.store.put(CONFIG_KEY, version, body.clone()).await {
                Ok(version) => {
                    return Ok(ConfirmedConfig {
                        version,
                        in_force: Object { version, body },
                    });
                }
                Err(StoreError::Unavailable) if !may_be_written => {
                    return Err(platform_unavailable());
                }
                Err(StoreError::Conflict | StoreError::Unavailable) => {}
                Err(StoreError::Unknown) => may_be_written = true,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(Error::new(
            ErrorKind::OutcomeUnknown,
            "the platform did not answer the confirmation; check the status to see which version is in force",
        ))
    }

    async fn stated(&self, intent_id: &IntentId) -> Result<StatedIntent, Error> {
        let read = self.store.get(&intent_key(intent_id)).await;
        let object = read.map_err(|_| platform_unavailable())?;
        let object =
            object.ok_or_else(|| Error::new(ErrorKind::NotFound, "no intent with this id"))?;
        serde_json::from_slice(&object.body)
            .map_err(|e| Error::new(ErrorKind::UpstreamFailed, e.to_string()))
    }

    async fn current(&self) -> Result<(Version, ConfigRecord), Error> {
        let read = self.store.get(CONFIG_KEY).await;
        match read.map_err(|_| platform_unavailable())? {
            None => Ok((ABSENT, ConfigRecord::default())),
            Some(object) => {
                let record = ConfigRecord::decode(&object.body);
                let unreadable = || {
                    Error::new(
                        ErrorKind::UpstreamFailed,
                        "the configuration object in the platform cannot be parsed",
                    )
                };
                Ok((object.version, record.ok_or_else(unreadable)?))
            }
        }
    }
}

fn intent_key(intent_id: &str) -> String {
    format!("intents/{intent_id}")
}

fn platform_unavailable() -> Error {
    Error::new(
        ErrorKind::PlatformAway,
        "the platform is unavailable; the configuration was not changed",
    )
}

fn conflict(base: Version, version: Version) -> Error {
    Error::new(
        ErrorKind::Conflict,
        format!(
            "the plan was made for version {base}, but version {version} is in force: read the plan again"
        ),
    )
}
