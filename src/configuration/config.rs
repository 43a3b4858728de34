//! The confirmed configuration, as it stands in the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use jiff::tz::TimeZone;
use jiff::{Timestamp, civil::Time};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::configuration::intent::{CustomerIntent, Intent, KindIntent};
use crate::error::{Error, ErrorKind};
use crate::fleet::runner::ModelVersion;
use crate::id::{CustomerId, IntentId, KindId, ModelId, Version};
use crate::store::object_store::Object;

/// Confirmations kept in the object, to resolve lost replies.
const CONFIRMATIONS_KEPT: usize = 64;

/// One accepted confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The intent that was confirmed.
    pub intent_id: IntentId,
    /// Who confirmed it.
    pub operator: String,
    /// When, by the clock of the node that wrote it.
    pub at_unix_ms: u64,
    /// Version that the plan was made for.
    pub base: Version,
}

/// Content of the configuration object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// The intent in force.
    pub intent: Intent,
    /// For each model, the version before the one in force, which serves
    /// until a runner reports the new one ready.
    pub previous_versions: BTreeMap<ModelId, String>,
    /// The last confirmations, oldest first.
    pub confirmations: Vec<Confirmation>,
}

impl ConfigRecord {
    /// The record that follows this one when `intent` is confirmed.
    pub(crate) fn succeed(&self, intent: Intent, confirmation: Confirmation) -> Self {
        let mut previous_versions = self.previous_versions.clone();
        for (name, model) in &self.intent.models {
            let successor = intent.models.get(name);
            if successor.is_some_and(|next| next.version != model.version) {
                previous_versions.insert(name.clone(), model.version.clone());
            }
        }
        previous_versions.retain(|name, _| intent.models.contains_key(name));
        let mut confirmations = self.confirmations.clone();
        confirmations.push(confirmation);
        let surplus = confirmations.len().saturating_sub(CONFIRMATIONS_KEPT);
        confirmations.drain(..surplus);
        Self {
            intent,
            previous_versions,
            confirmations,
        }
    }

    /// As which version an intent was confirmed, as far back as the record of
    /// version `current` tells: the one that the next confirmation built on.
    pub(crate) fn confirmed_as(&self, intent_id: &str, current: Version) -> Option<Version> {
        let mut confirmations = self.confirmations.iter();
        confirmations.find(|c| c.intent_id == intent_id)?;
        Some(confirmations.next().map_or(current, |next| next.base))
    }

    /// Writes the record as the object's body.
    pub(crate) fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Reads the record from the object's body.
    pub(crate) fn decode(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }
}

/// A configuration in force at this node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version of the object it was read from.
    pub version: Version,
    record: ConfigRecord,
    time_zone: TimeZone,
}

/// How a caller is treated, worked out from its kind and the hour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerPolicy {
    /// Lower goes first.
    pub(crate) priority: u8,
    /// How long the caller waits for the first token.
    pub(crate) patience: Duration,
    /// Silence after which a second attempt is opened.
    pub(crate) prepare_after: Option<Duration>,
    /// Silence after which a mute runner is given up.
    pub(crate) give_up_after: Duration,
}

impl Config {
    /// Reads the configuration from its object.
    pub(crate) fn from_object(object: &Object) -> Option<Self> {
        let record = ConfigRecord::decode(&object.body)?;
        let time_zone = TimeZone::get(&record.intent.time_zone).unwrap_or(TimeZone::UTC);
        Some(Self {
            version: object.version,
            record,
            time_zone,
        })
    }

    /// The intent in force.
    pub fn intent(&self) -> &Intent {
        &self.record.intent
    }

    /// Finds the customer that a key belongs to.
    pub(crate) fn customer(&self, key: &str) -> Result<(&CustomerId, &CustomerIntent), Error> {
        let hash = key_hash(key);
        let mut customers = self.intent().customers.iter();
        customers
            .find(|(_, customer)| customer.key_sha256.eq_ignore_ascii_case(&hash))
            .ok_or_else(|| Error::new(ErrorKind::Unauthorized, "the key belongs to no customer"))
    }

    /// Finds a kind of caller.
    pub(crate) fn kind(&self, kind: &KindId) -> Result<&KindIntent, Error> {
        self.intent()
            .kinds
            .get(kind)
            .ok_or_else(|| Error::new(ErrorKind::BadRequest, format!("no kind of caller '{kind}'")))
    }

    /// How a caller of a kind is treated now.
    pub(crate) fn policy(&self, kind: &KindId) -> Result<CallerPolicy, Error> {
        let kind = self.kind(kind)?;
        Ok(CallerPolicy {
            priority: kind.priority,
            patience: kind.patience_at(self.local_time()),
            prepare_after: kind.prepare_after_ms.map(Duration::from_millis),
            give_up_after: Duration::from_millis(kind.give_up_after_ms),
        })
    }

    /// The versions of a model that may serve, the wanted one first.
    pub(crate) fn versions(&self, model: &str) -> Vec<&str> {
        let wanted = self.intent().models.get(model).map(|m| m.version.as_str());
        let previous = self.record.previous_versions.get(model);
        let previous = previous.map(String::as_str);
        wanted.into_iter().chain(previous).collect()
    }

    /// A model at its wanted version.
    pub(crate) fn wanted(&self, model: &str) -> Option<ModelVersion> {
        let intent = self.intent().models.get(model)?;
        Some(ModelVersion {
            model: model.to_owned(),
            version: intent.version.clone(),
            adapters: intent.adapters.clone(),
        })
    }

    fn local_time(&self) -> Time {
        self.time_zone.to_datetime(Timestamp::now()).time()
    }
}

/// SHA-256 of a key in hexadecimal, as intents hold it.
pub fn key_hash(key: &str) -> String {
    hex(&Sha256::digest(key.as_bytes()))
}

/// Writes bytes in hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
