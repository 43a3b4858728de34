//! Routes calls to upstreams, and relays their answers to the callers.
//!
//! - An upstream is a server that runs calls of one service. An engine is an
//!   upstream that runs a language model.
//! - An attempt is one send of a call to one upstream.
//! - A run is the execution of a streaming call, across all engines that run a
//!   part of it.
//! - A replica is a second copy of the run's KV cache. If the run's engine is
//!   lost, the run can resume at the replica's holder, the engine that has it.
//! - The origin of a run is the upstream that sent its first event. The run goes on
//!   only at upstreams with the same software version.
//! - An incarnation is one start of an upstream, which gets a new id or start
//!   time after each restart.
//!
//! `docs/OPERATIONS.md` traces failed calls through their log lines, and
//! `docs/RESUME.md` explains how a stream resumes at another upstream.

mod address_check;
pub(crate) mod answer_body;
pub(crate) mod attempt;
mod call_body;
pub(crate) mod caller_departures;
pub(crate) mod caller_resume;
pub(crate) mod connection;
mod departed_notices;
pub(crate) mod directory;
pub(crate) mod forwarder;
mod hedged_call;
pub(crate) mod hedges;
pub(crate) mod incarnation_check;
pub(crate) mod observation;
pub(crate) mod plain_call;
pub(crate) mod present_answer;
pub(crate) mod probe;
pub(crate) mod reach_monitor;
pub(crate) mod refusal;
pub(crate) mod relay;
mod reported_start;
pub(crate) mod request;
pub(crate) mod request_crashes;
pub(crate) mod reread_queue;
pub(crate) mod resume_queue;
pub(crate) mod retry_budgets;
pub(crate) mod rollouts;
pub(crate) mod route_table;
pub(crate) mod run_origin;
pub(crate) mod run_replica;
pub(crate) mod send_history;
pub(crate) mod send_probe;
pub(crate) mod sessions;
pub(crate) mod startup_wait;
pub(crate) mod stream_call;
pub(crate) mod stream_choice;
pub(crate) mod stream_move;
pub(crate) mod stream_relay;
pub(crate) mod successor;
pub(crate) mod unanswered_send;
pub(crate) mod upstream;
mod upstream_entry;
pub(crate) mod upstream_permits;
pub(crate) mod version_history;
pub(crate) mod write_signal;

#[cfg(test)]
mod tests;
