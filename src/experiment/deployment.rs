//! The deployments that the experiments measure.

use std::io;

use crate::configuration::intent::Intent;

const KESTREL_INTENT: &str = include_str!("../../examples/kestrel-intent.yaml");
const FARO_INTENT: &str = include_str!("../../examples/faro-intent.yaml");

/// One of the two deployments of the brief, at its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Kestrel: strike pay.
    Kestrel,
    /// Faro Patinhas: lost-pet alerts.
    Faro,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Kestrel, Self::Faro];

    /// Name in tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Kestrel => "kestrel",
            Self::Faro => "faro",
        }
    }

    /// Its example intent.
    pub(crate) fn intent(self) -> io::Result<Intent> {
        let text = match self {
            Self::Kestrel => KESTREL_INTENT,
            Self::Faro => FARO_INTENT,
        };
        serde_saphyr::from_str(text).map_err(io::Error::other)
    }

    /// Entry VMs.
    pub(crate) fn node_count(self) -> usize {
        match self {
            Self::Kestrel => 7,
            Self::Faro => 6,
        }
    }

    /// Runners.
    pub(crate) fn runner_count(self) -> usize {
        match self {
            Self::Kestrel => 25,
            Self::Faro => 35,
        }
    }

    /// A customer's key, a kind of caller and a model to measure with.
    pub(crate) fn caller(self) -> (&'static str, &'static str, &'static str) {
        match self {
            Self::Kestrel => ("federation-key", "steward", "steward-chat"),
            Self::Faro => ("shelters-key", "digest", "sighting-drafts"),
        }
    }
}
