//! The order in which an entry node stops.

use std::time::{Duration, Instant};

/// Time after the stop signal in which callers with old address answers come.
const ANSWERS_AGE: Duration = Duration::from_millis(3_000);
/// Time before the end of the grace period at which what is left is cut.
const CUT_MARGIN: Duration = Duration::from_millis(500);
/// Time before the cut at which peers are told where cut streams can go on.
const HANDOVER_MARGIN: Duration = Duration::from_millis(600);
/// Time between looks at what is in flight.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the process may end; `in_flight_count` tells what it serves, and
/// `say_cut_is_near` is called before what is left is cut.
pub(crate) async fn wait_until_done(
    grace: Duration,
    in_flight_count: impl Fn() -> usize,
    say_cut_is_near: impl Fn(),
) {
    let since = Instant::now();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let elapsed = since.elapsed();
        if elapsed + CUT_MARGIN + HANDOVER_MARGIN >= grace {
            say_cut_is_near();
        }
        let is_idle = in_flight_count() == 0 && elapsed >= ANSWERS_AGE;
        if is_idle || elapsed + CUT_MARGIN >= grace {
            log::info!(
                "event=drained in_flight={} after_ms={}",
                in_flight_count(),
                elapsed.as_millis()
            );
            return;
        }
    }
}
