//! The confirmed configuration, as the platform stores it ([`ConfigRecord`]) and
//! as a node uses it ([`Config`]).
//!
//! An operator states an intent, the complete wanted configuration. When it is
//! confirmed, it replaces the one in force, as the next version of the
//! configuration object in the platform's object store.

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

/// How many confirmations the configuration object keeps. A confirmation whose
/// reply to the operator was lost can be found among them.
const CONFIRMATIONS_MAX: usize = 64;

/// Records that an operator confirmed an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The intent that was confirmed.
    pub intent_id: IntentId,
    /// Operator who confirmed it.
    pub operator: String,
    /// Time of the confirmation, by the clock of the node that wrote it.
    pub at_unix_ms: u64,
    /// Version of the configuration that the intent's plan was made for, and that
    /// the intent replaced.
    pub base: Version,
}

/// Content of the configuration object in the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// The intent in force.
    pub intent: Intent,
    /// For each model whose version has changed, the version before the wanted
    /// one. It serves requests until a runner reports the wanted version ready.
    pub previous_versions: BTreeMap<ModelId, String>,
    /// The last confirmations, oldest first.
    pub confirmations: Vec<Confirmation>,
}

impl ConfigRecord {
    /// Builds the record that replaces this one when `intent` is confirmed.
    pub(crate) fn successor(&self, intent: Intent, confirmation: Confirmation) -> Self {
        let mut previous_versions = self.previous_versions.clone();
        for (name, model) in &self.intent.models {
            let next_model = intent.models.get(name);
            if next_model.is_some_and(|next| next.version != model.version) {
                previous_versions.insert(name.clone(), model.version.clone());
            }
        }
        previous_versions.retain(|name, _| intent.models.contains_key(name));
        let mut confirmations = self.confirmations.clone();
        confirmations.push(confirmation);
        let surplus = confirmations.len().saturating_sub(CONFIRMATIONS_MAX);
        confirmations.drain(..surplus);
        Self {
            intent,
            previous_versions,
            confirmations,
        }
    }

    /// Returns the version of the configuration that came from an intent, if this
    /// record still holds the intent's confirmation. `current` is the version of
    /// this record. The version asked for is the base of the next confirmation,
    /// or `current` if there is no next one.
    pub(crate) fn confirmed_version(&self, intent_id: &str, current: Version) -> Option<Version> {
        let mut confirmations = self.confirmations.iter();
        confirmations.find(|c| c.intent_id == intent_id)?;
        Some(confirmations.next().map_or(current, |next| next.base))
    }

    /// Encodes the record as the body of the object.
    pub(crate) fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes the record from the body of the object.
    pub(crate) fn decode(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }
}

/// A version of the configuration, decoded for use at a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version of the object that it was decoded from.
    pub version: Version,
    record: ConfigRecord,
    time_zone: TimeZone,
}

/// Priority and time limits that apply to a caller now. They depend on the kind
/// of caller, and the maximum wait also on the time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerPolicy {
    /// Priority; callers with a lower number are served first.
    pub(crate) priority: u8,
    /// Maximum wait for the first token.
    pub(crate) max_wait: Duration,
    /// Time without a token after which a standby is opened: a second attempt to
    /// run the generation, at another runner. `None` if none is opened.
    pub(crate) prepare_after: Option<Duration>,
    /// Time without a token after which a runner that does not answer a probe is
    /// given up.
    pub(crate) give_up_after: Duration,
}

impl Config {
    /// Decodes the configuration from its object.
    pub(crate) fn from_object(object: &Object) -> Option<Self> {
        let record = ConfigRecord::decode(&object.body)?;
        let time_zone = TimeZone::get(&record.intent.time_zone).unwrap_or(TimeZone::UTC);
        Some(Self {
            version: object.version,
            record,
            time_zone,
        })
    }

    /// Returns the intent in force.
    pub fn intent(&self) -> &Intent {
        &self.record.intent
    }

    /// Returns the customer that an API key belongs to, with its entry in the
    /// intent.
    pub(crate) fn customer(&self, key: &str) -> Result<(&CustomerId, &CustomerIntent), Error> {
        let hash = key_hash(key);
        let mut customers = self.intent().customers.iter();
        customers
            .find(|(_, customer)| customer.key_sha256.eq_ignore_ascii_case(&hash))
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::Unauthorized,
                    "the API key belongs to no customer",
                )
            })
    }

    /// Returns the entry of a kind of caller in the intent.
    pub(crate) fn kind(&self, kind: &KindId) -> Result<&KindIntent, Error> {
        self.intent()
            .kinds
            .get(kind)
            .ok_or_else(|| Error::new(ErrorKind::BadRequest, format!("no kind of caller '{kind}'")))
    }

    /// Returns the policy for a kind of caller at the present time of day.
    pub(crate) fn policy(&self, kind: &KindId) -> Result<CallerPolicy, Error> {
        let kind = self.kind(kind)?;
        Ok(CallerPolicy {
            priority: kind.priority,
            max_wait: kind.patience_at(self.local_time()),
            prepare_after: kind.prepare_after_ms.map(Duration::from_millis),
            give_up_after: Duration::from_millis(kind.give_up_after_ms),
        })
    }

    /// Returns the versions of a model that may serve requests: the wanted one
    /// and, after it, the previous one.
    pub(crate) fn servable_versions(&self, model: &str) -> Vec<&str> {
        let wanted = self.intent().models.get(model).map(|m| m.version.as_str());
        let previous = self.record.previous_versions.get(model);
        let previous = previous.map(String::as_str);
        wanted.into_iter().chain(previous).collect()
    }

    /// Returns the version and adapters of a model that the intent wants; `None`
    /// if it does not name the model.
    pub(crate) fn wanted_version(&self, model: &str) -> Option<ModelVersion> {
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

/// Returns the SHA-256 of a key in hexadecimal, as intents and settings files
/// hold it.
pub fn key_hash(key: &str) -> String {
    hex(&Sha256::digest(key.as_bytes()))
}

/// Formats bytes in hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
