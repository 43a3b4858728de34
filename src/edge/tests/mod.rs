//! Tests of single parts of an entry node.

mod options;
mod peer_relay;
mod peer_run_origins;
mod run_origin_log;
mod store_eras;
mod store_watch;
mod stored_crashes;
mod stored_run_origins;
mod topics;
mod upstream_log;
