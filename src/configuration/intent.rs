//! What operators state: which models serve which customers, and how long
//! each kind of caller waits at each time of day.
//!
//! An [`Intent`] does nothing by itself; see [`crate::Plan`] and
//! `docs/DESIGN.md` for the road from an intent to a configuration in force.

use std::collections::BTreeMap;
use std::time::Duration;

use jiff::civil::Time;
use serde::{Deserialize, Serialize};

use crate::id::{CustomerId, KindId, ModelId, ServiceId};

/// The whole wish of the operators at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// IANA name of the time zone in which hours are read.
    pub time_zone: String,
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelIntent>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, CustomerIntent>,
    /// Kinds of caller by name.
    pub kinds: BTreeMap<KindId, KindIntent>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceIntent>,
}

/// Which version of a model is wanted, and on how many runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelIntent {
    /// Version that serves.
    pub version: String,
    /// Adapters loaded beside the model.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// How many runners hold it.
    pub runner_count: u32,
}

/// What one customer may use, and its weight against the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerIntent {
    /// SHA-256 of the customer's key, in hexadecimal, so that reading the
    /// configuration does not give the key away.
    pub key_sha256: String,
    /// Weight of the customer when capacity is short.
    pub weight: u32,
    /// Models the customer may use.
    pub models: Vec<ModelId>,
    /// Services the customer may call.
    #[serde(default)]
    pub services: Vec<ServiceId>,
}

/// How one kind of caller is treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindIntent {
    /// Lower numbers are served first.
    pub priority: u8,
    /// How long a caller waits for the first token, by time of day.
    pub patience: Vec<PatienceIntent>,
    /// Silence after which a second attempt is opened beside the first.
    /// Absent: none is opened until the first is given up.
    #[serde(default)]
    pub prepare_after_ms: Option<u64>,
    /// Silence after which the runner is probed and, mute, given up.
    pub give_up_after_ms: u64,
}

/// Patience from one time of day until the next entry's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatienceIntent {
    /// Time of day at which this patience begins, `HH:MM`.
    pub from: String,
    /// How long the caller waits.
    pub wait_ms: u64,
}

/// How calls of one plain service are to be treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceIntent {
    /// Whether its POST calls are idempotent and may be sent again.
    pub idempotent: bool,
}

impl KindIntent {
    /// Patience of this kind at a time of day.
    pub fn patience_at(&self, now: Time) -> Duration {
        let in_force = self
            .patience
            .iter()
            .filter(|entry| entry.start().is_some_and(|start| start <= now))
            .max_by_key(|entry| entry.start());
        let last_of_yesterday = || self.patience.iter().max_by_key(|entry| entry.start());
        in_force
            .or_else(last_of_yesterday)
            .map_or(Duration::ZERO, |entry| Duration::from_millis(entry.wait_ms))
    }
}

impl PatienceIntent {
    fn start(&self) -> Option<Time> {
        Time::strptime("%H:%M", &self.from).ok()
    }
}

/// Longest patience and longest silence an intent may state.
const WAIT_MAX_MS: u64 = 3_600_000;
/// Shortest silence that may count against a runner.
const GIVE_UP_MIN_MS: u64 = 50;

impl Intent {
    /// Lists everything wrong with the intent; empty means it can be planned.
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
