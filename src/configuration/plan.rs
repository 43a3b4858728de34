//! The plan of an intent: what would change if the intent, a complete wanted
//! configuration, replaced the configuration in force.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::configuration::intent::Intent;
use crate::id::{IntentId, Version};

/// One change of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum PlannedChange {
    /// An entry is added.
    Add {
        /// The entry, such as `model chat`.
        what: String,
    },
    /// An entry is removed.
    Remove {
        /// The entry.
        what: String,
    },
    /// An entry is changed.
    Alter {
        /// The entry.
        what: String,
        /// Present value: JSON, or plain text for the time zone.
        from: String,
        /// New value, in the same form.
        to: String,
    },
}

/// The difference between an intent and the configuration in force. A plan is
/// valid only for the version of the configuration that it was computed for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Id of the intent.
    pub intent_id: IntentId,
    /// Version of the configuration that the intent was compared with.
    pub base: Version,
    /// The changes to the time zone, models, customers, kinds of caller and
    /// services, in this order. In each group, removals come last.
    pub changes: Vec<PlannedChange>,
}

impl Plan {
    /// Computes what would change if `next` replaced `current`.
    ///
    /// ```
    /// use zinniawing::{Intent, Plan};
    ///
    /// let plan = Plan::new("i1".into(), 3, &Intent::default(), &Intent::default());
    /// assert!(plan.changes.is_empty());
    /// ```
    pub fn new(intent_id: IntentId, base: Version, current: &Intent, next: &Intent) -> Self {
        let mut changes = Vec::new();
        if current.time_zone != next.time_zone {
            changes.push(PlannedChange::Alter {
                what: "time zone".into(),
                from: current.time_zone.clone(),
                to: next.time_zone.clone(),
            });
        }
        compare("model", &current.models, &next.models, &mut changes);
        compare(
            "customer",
            &current.customers,
            &next.customers,
            &mut changes,
        );
        compare("kind", &current.kinds, &next.kinds, &mut changes);
        compare("service", &current.services, &next.services, &mut changes);
        Self {
            intent_id,
            base,
            changes,
        }
    }
}

fn compare<T: PartialEq + Serialize>(
    entry_type: &str,
    current: &BTreeMap<String, T>,
    next: &BTreeMap<String, T>,
    changes: &mut Vec<PlannedChange>,
) {
    for (name, value) in next {
        let what = format!("{entry_type} {name}");
        match current.get(name) {
            None => changes.push(PlannedChange::Add { what }),
            Some(old) if old != value => changes.push(PlannedChange::Alter {
                what,
                from: describe(old),
                to: describe(value),
            }),
            Some(_) => {}
        }
    }
    for name in current.keys().filter(|name| !next.contains_key(*name)) {
        let what = format!("{entry_type} {name}");
        changes.push(PlannedChange::Remove { what });
    }
}

fn describe<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

impl fmt::Display for PlannedChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Add { what } => write!(f, "+ {what}"),
            Self::Remove { what } => write!(f, "- {what}"),
            Self::Alter { what, from, to } => {
                writeln!(f, "~ {what}")?;
                writeln!(f, "    from {from}")?;
                write!(f, "    to   {to}")
            }
        }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "intent {} on version {}", self.intent_id, self.base)?;
        if self.changes.is_empty() {
            return write!(f, "nothing would change");
        }
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        write!(
            f,
            "confirm with: zinniawing confirm {} --base {}",
            self.intent_id, self.base
        )
    }
}
