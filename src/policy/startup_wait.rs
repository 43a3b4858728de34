//! Decides how long a call waits at a node that has no configuration yet, or knows no upstream
//! of the call's service.
//!
//! When all nodes are restarted while the platform's store is unavailable, none of them has a
//! configuration until the store is back, often a fraction of a second later. The callers whose
//! answers broke off with the nodes call again at once, and most of them only once: a refusal
//! loses the call, a short wait serves it. A node that has been without a configuration for
//! longer expects none soon, and refuses at once. `docs/design/startup-wait.md` weighs this.

use std::time::{Duration, Instant};

/// Time after a node's start within which it expects a configuration soon.
const STARTUP_PERIOD: Duration = Duration::from_secs(4);
/// Longest wait of one call.
const WAIT_MAX: Duration = Duration::from_millis(1_500);
/// Time without a new upstream after which those that are back after an outage of the store are
/// known. They register with their next heartbeats, which a node reads in batches.
const JOINING_GAP: Duration = Duration::from_millis(700);
/// Part of the caller's remaining time that the wait may take. A caller that is refused after
/// it has the rest of its time to come back.
const CALLER_TIME_DIVISOR: u32 = 4;
/// Maximum number of calls that wait at once. Their bodies are not read.
pub(crate) const WAITING_CALLS_MAX: usize = 256;

/// A call that can't be served yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EarlyCall {
    pub(crate) arrived_at: Instant,
    /// How long its caller waits, from the arrival on.
    pub(crate) caller_time: Duration,
}

/// Until when the call waits at a node that started at `started_at` and at which `waiting_count`
/// other calls wait. Returns none if it does not wait.
pub(crate) fn wait_until(
    started_at: Instant,
    call: EarlyCall,
    waiting_count: usize,
    now: Instant,
) -> Option<Instant> {
    if waiting_count >= WAITING_CALLS_MAX {
        return None;
    }
    let wait = (call.caller_time / CALLER_TIME_DIVISOR).min(WAIT_MAX);
    let until = (call.arrived_at + wait).min(started_at + STARTUP_PERIOD);
    (until > now).then_some(until)
}

/// Whether the upstreams whose entries expired with the store are known again, the last of which
/// became known at `last_joined_at`. Streams that begin before that meet at the few engines that
/// registered first, and wait there for each other's prompts.
pub(crate) fn have_upstreams_returned(last_joined_at: Option<Instant>, now: Instant) -> bool {
    last_joined_at.is_some_and(|at| now.saturating_duration_since(at) >= JOINING_GAP)
}
