//! The road of an intent: stated, planned, confirmed.
//!
//! A confirmation is one conditional write on the version that the plan was
//! made for, so of two operators that race one gets a conflict. A lost reply
//! is resolved by looking for the intent among the object's confirmations.

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

/// Times a confirmation is tried against lost replies.
const TRIES_MAX: u32 = 6;
/// Pause before a lost reply is resolved.
const RESOLVE_PAUSE: Duration = Duration::from_millis(50);

/// A confirmed intent: others may have been confirmed since, so that what is in
/// force may be newer than the version it became.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ConfirmedConfig {
    /// Version as which the intent was confirmed.
    pub(crate) version: Version,
    /// What is in force now.
    pub(crate) in_force: Object,
}

/// An intent as it waits to be confirmed.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StatedIntent {
    operator: String,
    at_unix_ms: u64,
    intent: Intent,
}

/// States, plans and confirms intents on behalf of operators.
#[derive(Clone, Debug)]
pub(crate) struct Configuration<S> {
    store: S,
    node: NodeId,
}

impl<S: ObjectStore> Configuration<S> {
    /// Keeps intents in `store`.
    pub(crate) fn new(store: S, node: NodeId) -> Self {
        Self { store, node }
    }

    /// Keeps an intent and plans it; nothing happens before it is confirmed.
    pub(crate) async fn state(&self, operator: &str, intent: Intent) -> Result<Plan, Error> {
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
        written.map_err(|_| platform_away())?;
        let (version, current) = self.current().await?;
        Ok(Plan::new(
            intent_id,
            version,
            &current.intent,
            &stated.intent,
        ))
    }

    /// Plans a stated intent against the configuration of now.
    pub(crate) async fn plan(&self, intent_id: &IntentId) -> Result<Plan, Error> {
        let stated = self.stated(intent_id).await?;
        let (version, current) = self.current().await?;
        let plan = Plan::new(intent_id.clone(), version, &current.intent, &stated.intent);
        Ok(plan)
    }

    /// Confirms a stated intent on the version its plan was made for.
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
            .map_err(|_| platform_away())?;
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
        // The configuration itself tells of the change, so a missing record
        // of its outcome loses nothing that counts.
        let _ = audit.with_outcome(outcome).write(&self.store).await;
        confirmed
    }

    /// The last `count` audit records, oldest first.
    pub(crate) async fn audit<F, R>(&self, list: F, count: usize) -> Result<Vec<AuditRecord>, Error>
    where
        F: FnOnce(&'static str) -> R,
        R: Future<Output = Result<Vec<String>, StoreError>>,
    {
        let keys = list(AUDIT_PREFIX).await.map_err(|_| platform_away())?;
        let mut records = Vec::new();
        for key in keys.iter().skip(keys.len().saturating_sub(count)) {
            let object = self.store.get(key).await.map_err(|_| platform_away())?;
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
        for _ in 0..TRIES_MAX {
            let current = match self.current().await {
                Ok(current) => current,
                Err(_) if may_be_written => {
                    tokio::time::sleep(RESOLVE_PAUSE).await;
                    continue;
                }
                Err(error) => return Err(error),
            };
            let (version, record) = current;
            let confirmed_as = record.confirmed_as(&confirmation.intent_id, version);
            if let Some(confirmed_as) = confirmed_as {
                let body = record.encode();
                return Ok(ConfirmedConfig {
                    version: confirmed_as,
                    in_force: Object { version, body },
                });
            }
            if version != confirmation.base {
                return Err(conflict(confirmation.base, version));
            }
            let body = record
                .succeed(intent.clone(), confirmation.clone())
                .encode();
            match self.store.put(CONFIG_KEY, version, body.clone()).await {
                Ok(version) => {
                    return Ok(ConfirmedConfig {
                        version,
                        in_force: Object { version, body },
                    });
                }
                Err(StoreError::Unavailable) if !may_be_written => return Err(platform_away()),
                Err(StoreError::Conflict | StoreError::Unavailable) => {}
                Err(StoreError::Unknown) => may_be_written = true,
            }
            tokio::time::sleep(RESOLVE_PAUSE).await;
        }
        Err(Error::new(
            ErrorKind::OutcomeUnknown,
            "the platform's reply is missing; ask for the status to see what is in force",
        ))
    }

    async fn stated(&self, intent_id: &IntentId) -> Result<StatedIntent, Error> {
        let read = self.store.get(&intent_key(intent_id)).await;
        let object = read.map_err(|_| platform_away())?;
        let object = object.ok_or_else(|| Error::new(ErrorKind::NotFound, "no such intent"))?;
        serde_json::from_slice(&object.body)
            .map_err(|e| Error::new(ErrorKind::UpstreamFailed, e.to_string()))
    }

    async fn current(&self) -> Result<(Version, ConfigRecord), Error> {
        let read = self.store.get(CONFIG_KEY).await;
        match read.map_err(|_| platform_away())? {
            None => Ok((ABSENT, ConfigRecord::default())),
            Some(object) => {
                let record = ConfigRecord::decode(&object.body);
                let unreadable =
                    || Error::new(ErrorKind::UpstreamFailed, "the configuration is unreadable");
                Ok((object.version, record.ok_or_else(unreadable)?))
            }
        }
    }
}

fn intent_key(intent_id: &str) -> String {
    format!("intents/{intent_id}")
}

fn platform_away() -> Error {
    Error::new(
        ErrorKind::PlatformAway,
        "the platform is away; nothing was changed",
    )
}

fn conflict(base: Version, version: Version) -> Error {
    Error::new(
        ErrorKind::Conflict,
        format!("planned for version {base}, but {version} is in force: read the plan again"),
    )
}
