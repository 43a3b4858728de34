//! What is wrong with a configuration, and what it changes.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// How bad a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The configuration works, but not as its author may expect.
    Warning,
    /// The configuration, or a part of it, does not work.
    Error,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// Where it is, as in `routes[2] (balance)`.
    pub place: String,
    /// What is wrong, with the accepted range.
    pub text: String,
}

/// A field that differs from the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The field, as in `routes.balance.max-attempts`.
    pub place: String,
    /// Its value in force; none if it is new.
    pub before: Option<Value>,
    /// Its new value; none if it is removed.
    pub after: Option<Value>,
}

/// The result of the check of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConfigurationReport {
    /// What is wrong.
    pub findings: Vec<Finding>,
    /// What differs from the configuration in force, if one was given.
    pub differences: Vec<Difference>,
}

impl ConfigurationReport {
    pub(crate) fn add(&mut self, severity: Severity, place: &str, text: &str) {
        self.findings.push(Finding {
            severity,
            place: place.to_owned(),
            text: text.to_owned(),
        });
    }

    /// Number of findings with this severity.
    pub fn count(&self, severity: Severity) -> usize {
        let findings = self.findings.iter();
        findings.filter(|f| f.severity == severity).count()
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = &self.place;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "{place} changes from {before} to {after}"),
            (None, Some(after)) => write!(f, "{place} is added: {after}"),
            (Some(before), None) => write!(f, "{place} is removed; it was {before}"),
            (None, None) => write!(f, "{place} does not change"),
        }
    }
}
