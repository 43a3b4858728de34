//! The two reference deployments, from which experiments take the intent (the
//! models, customers and services that operators want), the real numbers of
//! nodes and runners, and a caller.

use std::io;

use crate::configuration::intent::Intent;

const KESTREL_INTENT: &str = include_str!("../../examples/kestrel-intent.yaml");
const FARO_INTENT: &str = include_str!("../../examples/faro-intent.yaml");

/// One of the two reference deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Kestrel, which pays out strike pay.
    Kestrel,
    /// Faro Patinhas, which sends alerts about lost pets.
    Faro,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Kestrel, Self::Faro];

    /// Name of the deployment in tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Kestrel => "kestrel",
            Self::Faro => "faro",
        }
    }

    /// The deployment's example intent.
    pub(crate) fn intent(self) -> io::Result<Intent> {
        let text = match self {
            Self::Kestrel => KESTREL_INTENT,
            Self::Faro => FARO_INTENT,
        };
        serde_saphyr::from_str(text).map_err(io::Error::other)
    }

    /// Number of nodes; each runs on an entry VM of its own.
    pub(crate) fn node_count(self) -> usize {
        match self {
            Self::Kestrel => 7,
            Self::Faro => 6,
        }
    }

    pub(crate) fn runner_count(self) -> usize {
        match self {
            Self::Kestrel => 25,
            Self::Faro => 35,
        }
    }

    /// Customer key, caller kind and model that experiments send requests with.
    pub(crate) fn caller(self) -> (&'static str, &'static str, &'static str) {
        match self {
            Self::Kestrel => ("federation-key", "steward", "steward-chat"),
            Self::Faro => ("shelters-key", "digest", "sighting-drafts"),
        }
    }
}
