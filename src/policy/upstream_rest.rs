//! The rest that an upstream asks of one node when it turns its request away.
//!
//! The upstream wants nothing from this node for so long. It counts every request that
//! reaches it, whatever the request is for. `docs/LIMITS.md` has the design.

use std::time::Duration;

/// Longest rest that is kept. An upstream that asks for more gets one call after this
/// time, and may ask again.
const REST_MAX: Duration = Duration::from_secs(3_600);
/// Rest that is kept if the upstream asked for one whose length can't be read.
const UNREADABLE_REST: Duration = Duration::from_secs(1);

/// Returns the rest that one value asks for, in seconds. A negative one asks for none.
pub(crate) fn rest_from_text(text: &str) -> Duration {
    match text.trim().parse::<f64>() {
        Ok(seconds) if !seconds.is_nan() => {
            Duration::from_secs_f64(seconds.clamp(0.0, REST_MAX.as_secs_f64()))
        }
        _ => UNREADABLE_REST,
    }
}
