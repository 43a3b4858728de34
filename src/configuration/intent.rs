//! The configuration that operators want: which models serve which customers,
//! and how long each kind of caller waits at each time of day.
//!
//! An [`Intent`] takes effect once it is confirmed; see [`crate::Plan`] and
//! `docs/DESIGN.md` for the steps from an intent to a configuration in force.

use std::collections::BTreeMap;
use std::time::Duration;

use jiff::civil::Time;
use serde::{Deserialize, Serialize};

use crate::id::{CustomerId, KindId, ModelId, ServiceId};

/// The complete configuration that operators want.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// IANA name of the time zone of the times of day in this intent.
    pub time_zone: String,
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelIntent>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, CustomerIntent>,
    /// Kinds of callers by name.
    pub kinds: BTreeMap<KindId, KindIntent>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceIntent>,
}

/// Which version of a model is wanted, and on how many runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelIntent {
    /// Version that is to serve requests.
    pub version: String,
    /// Adapters loaded beside the model.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// On how many runners the model is to be loaded.
    pub runner_count: u32,
}

/// What one customer may use, and its weight when capacity is short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerIntent {
    /// SHA-256 of the customer's API key in hexadecimal, so that the
    /// configuration does not reveal the key.
    pub key_sha256: String,
    /// Weight of the customer relative to the others when capacity is short.
    pub weight: u32,
    /// Models the customer may use.
    pub models: Vec<ModelId>,
    /// Services the customer may call.
    #[serde(default)]
    pub services: Vec<ServiceId>,
}

/// Priority and time limits of one kind of caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindIntent {
    /// Priority; callers with a lower number are served first.
    pub priority: u8,
    /// Maximum wait for the first token, by time of day.
    pub patience: Vec<PatienceIntent>,
    /// Time without a token after which a standby is opened: a second attempt to
    /// run the same generation, at another runner. If absent, no other attempt is
    /// opened until the first one is given up.
    #[serde(default)]
    pub prepare_after_ms: Option<u64>,
    /// Time without a token after which a runner that does not answer is given
    /// up. The runner is probed after half of this time, and the probe may take
    /// the other half. Both halves are longer for a stream with long gaps.
    pub give_up_after_ms: u64,
}

/// Maximum wait from one time of day until that of the next entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatienceIntent {
    /// Time of day at which this entry begins to apply, `HH:MM`.
    pub from: String,
    /// Maximum wait for the first token.
    pub wait_ms: u64,
}

/// How calls to one plain service are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceIntent {
    /// Whether its POST calls are idempotent and so may be retried.
    pub idempotent: bool,
}

impl KindIntent {
    /// Returns the maximum wait for the first token at a time of day.
    pub fn patience_at(&self, now: Time) -> Duration {
        let started_today = self
            .patience
            .iter()
            .filter(|entry| entry.start().is_some_and(|start| start <= now))
            .max_by_key(|entry| entry.start());
        let last_of_yesterday = || self.patience.iter().max_by_key(|entry| entry.start());
        started_today
            .or_else(last_of_yesterday)
            .map_or(Duration::ZERO, |entry| Duration::from_millis(entry.wait_ms))
    }
}

impl PatienceIntent {
    fn start(&self) -> Option<Time> {
        Time::strptime("%H:%M", &self.from).ok()
    }
}

/// Largest value that an intent may give for a maximum wait and for
/// `give_up_after_ms`.
const WAIT_MAX_MS: u64 = 3_600_000;
/// Smallest `give_up_after_ms` that an intent may give.
const GIVE_UP_MIN_MS: u64 = 50;

impl Intent {
    /// Lists every problem that keeps the intent from being planned.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if jiff::tz::TimeZone::get(&self.time_zone).is_err() {
            problems.push(format!("time_zone: no such zone '{}'", self.time_zone));
        }
        for (name, model) in &self.models {
            if model.runner_count == 0 {
                problems.push(format!("models.{name}.runner_count: must be at least 1"));
            }
        }
        for (name, customer) in &self.customers {
            self.check_customer(name, customer, &mut problems);
        }
        for (name, kind) in &self.kinds {
            check_kind(name, kind, &mut problems);
        }
        problems
    }

    fn check_customer(&self, name: &str, customer: &CustomerIntent, problems: &mut Vec<String>) {
        let is_hash = customer.key_sha256.len() == 64
            && customer.key_sha256.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hash {
            problems.push(format!(
                "customers.{name}.key_sha256: must be 64 hexadecimal digits"
            ));
        }
        if customer.weight == 0 {
            problems.push(format!("customers.{name}.weight: must be at least 1"));
        }
        for model in &customer.models {
            if !self.models.contains_key(model) {
                problems.push(format!("customers.{name}.models: no model '{model}'"));
            }
        }
        for service in &customer.services {
            if !self.services.contains_key(service) {
                problems.push(format!("customers.{name}.services: no service '{service}'"));
            }
        }
    }
}

fn check_kind(name: &str, kind: &KindIntent, problems: &mut Vec<String>) {
    if kind.patience.is_empty() {
        problems.push(format!("kinds.{name}.patience: needs at least one entry"));
    }
    for entry in &kind.patience {
        if entry.start().is_none() {
            problems.push(format!(
                "kinds.{name}.patience.from: '{}' is not HH:MM",
                entry.from
            ));
        }
        if entry.wait_ms > WAIT_MAX_MS {
            problems.push(format!(
                "kinds.{name}.patience.wait_ms: {} is above {WAIT_MAX_MS}",
                entry.wait_ms
            ));
        }
    }
    if !(GIVE_UP_MIN_MS..=WAIT_MAX_MS).contains(&kind.give_up_after_ms) {
        problems.push(format!(
            "kinds.{name}.give_up_after_ms: {} is outside {GIVE_UP_MIN_MS}..={WAIT_MAX_MS}",
            kind.give_up_after_ms
        ));
    }
    let too_late = |prepare: u64| prepare >= kind.give_up_after_ms;
    if kind.prepare_after_ms.is_some_and(too_late) {
        problems.push(format!(
            "kinds.{name}.prepare_after_ms: must be below give_up_after_ms"
        ));
    }
}
