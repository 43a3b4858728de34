//! Observability: counters and histograms, the audit trail, and the tables of
//! experiments.

pub(crate) mod audit;
pub(crate) mod metrics;
pub(crate) mod process_usage;
pub(crate) mod report;
pub(crate) mod sample;
