//! What a node tells about itself: counters, audit trail, tables.

pub(crate) mod audit;
pub(crate) mod metrics;
pub(crate) mod report;
pub(crate) mod sample;
pub(crate) mod usage;
