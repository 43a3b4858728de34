//! Graceful shutdown of an entry node.

use std::time::{Duration, Instant};

/// Time after the stop signal for which the node keeps running even when idle,
/// because callers may still use a list of node addresses that includes it.
const ADDRESS_ANSWER_MAX_AGE: Duration = Duration::from_millis(3_000);
/// Time before the end of the grace period at which the remaining calls are
/// aborted.
const ABORT_MARGIN: Duration = Duration::from_millis(500);
/// Time before the abort at which connections are closed after the answer that is
/// in progress, even if calls are in flight.
const CLOSE_MARGIN: Duration = Duration::from_millis(200);
/// Time before the abort at which peers are told which upstreams have cached
/// the prompts of the remaining streams, so that the streams can continue at
/// these upstreams.
const HANDOVER_MARGIN: Duration = Duration::from_millis(600);
/// Interval at which the number of calls in flight is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the time at which the calls in flight of a node that stops now are
/// aborted.
pub(crate) fn abort_time(grace: Duration) -> Instant {
    Instant::now() + grace.saturating_sub(ABORT_MARGIN)
}

/// Waits until the node may close its callers' connections: no call is in flight,
/// or the remaining calls have to be aborted soon, at `aborts_at`. From
/// `HANDOVER_MARGIN` before that abort on, calls `announce_shutdown_imminent` on
/// every check.
pub(crate) async fn wait_until_drained(
    aborts_at: Instant,
    in_flight_count: impl Fn() -> usize,
    announce_shutdown_imminent: impl Fn(),
) {
    let start = Instant::now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        if now + HANDOVER_MARGIN >= aborts_at {
            announce_shutdown_imminent();
        }
        let is_idle = in_flight_count() == 0 && start.elapsed() >= ADDRESS_ANSWER_MAX_AGE;
        if is_idle || now + CLOSE_MARGIN >= aborts_at {
            log::info!(
                "event=drained in_flight={} after_ms={}",
                in_flight_count(),
                start.elapsed().as_millis()
            );
            return;
        }
    }
}
