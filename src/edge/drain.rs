//! Graceful shutdown of an entry node.

use std::time::{Duration, Instant};

/// Time after the stop signal for which the node keeps running even when idle,
/// because callers may still use a list of node addresses that includes it.
const ADDRESS_ANSWER_MAX_AGE: Duration = Duration::from_millis(3_000);
/// Time before the end of the grace period at which the remaining calls are
/// aborted.
pub(crate) const ABORT_MARGIN: Duration = Duration::from_millis(500);
/// Time before the abort at which connections are closed after the answer that is
/// in progress, even if calls are in flight.
const CLOSE_MARGIN: Duration = Duration::from_millis(200);
/// Time before the abort at which peers are told which upstreams have cached
/// the prompts of the remaining streams, so that the streams can continue at
/// these upstreams.
const HANDOVER_MARGIN: Duration = Duration::from_millis(600);
/// Interval at which the number of calls in flight is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the node may close its callers' connections: no call is in flight,
/// or the grace period is so nearly over that the remaining calls have to be
/// aborted. From `HANDOVER_MARGIN` before that abort on, calls
/// `announce_shutdown_imminent` on every check.
pub(crate) async fn wait_until_drained(
    grace: Duration,
    in_flight_count: impl Fn() -> usize,
    announce_shutdown_imminent: impl Fn(),
) {
    let start = Instant::now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let elapsed = start.elapsed();
        if elapsed + ABORT_MARGIN + HANDOVER_MARGIN >= grace {
            announce_shutdown_imminent();
        }
        let is_idle = in_flight_count() == 0 && elapsed >= ADDRESS_ANSWER_MAX_AGE;
        if is_idle || elapsed + ABORT_MARGIN + CLOSE_MARGIN >= grace {
            log::info!(
                "event=drained in_flight={} after_ms={}",
                in_flight_count(),
                elapsed.as_millis()
            );
            return;
        }
    }
}
