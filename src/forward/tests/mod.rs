//! Tests of single parts of the forwarder, without callers or running
//! upstreams.

mod probe;
mod send_history;
