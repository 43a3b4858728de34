//! Tests of single parts of the forwarder, without callers or running
//! upstreams.

mod claimed_addresses;
mod connection;
mod departed_notices;
mod hedges;
mod probe;
mod reread_queue;
mod resume_queue;
mod run_origin;
mod send_history;
