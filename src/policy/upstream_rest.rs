//! The rest that an upstream asks of one node when it turns its request away.
//!
//! The upstream wants nothing from this node for so long. It counts every request that
//! reaches it, whatever the request is for. After the rest, one call goes there as a trial,
//! and the others follow when it is answered. `docs/LIMITS.md` has the design.

use std::time::{Duration, Instant};

/// Longest rest that is kept. An upstream that asks for more gets one call after this
/// time, and may ask again.
const REST_MAX: Duration = Duration::from_secs(3_600);
/// Rest that is kept if the upstream asked for one whose length can't be read.
const UNREADABLE_REST: Duration = Duration::from_secs(1);
/// Time after which a trial that was not answered makes room for another one.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Time after which a caller may return for which only an upstream under trial is left.
const TRIAL_WAIT: Duration = Duration::from_millis(100);

/// Returns the rest that one value asks for, in seconds. A negative one asks for none.
pub(crate) fn rest_from_text(text: &str) -> Duration {
    match text.trim().parse::<f64>() {
        Ok(seconds) if !seconds.is_nan() => {
            Duration::from_secs_f64(seconds.clamp(0.0, REST_MAX.as_secs_f64()))
        }
        _ => UNREADABLE_REST,
    }
}

#[derive(Clone, Copy, Debug)]
struct AskedRest {
    until: Instant,
    /// Start of the last call that was sent since the rest ended.
    trial_began_at: Option<Instant>,
}

/// What a node knows of the rest that one incarnation of an upstream asked of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamRest {
    asked: Option<AskedRest>,
}

impl UpstreamRest {
    /// Records that the upstream asks for a rest from now on. Of two rests the later end
    /// counts.
    pub(crate) fn record_asked(&mut self, rest: Duration, now: Instant) {
        let until = now + rest;
        let earlier = self.asked.map(|asked| asked.until);
        self.asked = Some(AskedRest {
            until: earlier.map_or(until, |at| at.max(until)),
            trial_began_at: None,
        });
    }

    /// Records an answer that asks for no rest, to a request sent at `sent_at`. It does
    /// not shorten a rest, but ends the trial after one.
    pub(crate) fn record_answered(&mut self, sent_at: Instant) {
        self.asked.take_if(|asked| sent_at >= asked.until);
    }

    /// Whether the upstream wants no request at all from this node.
    pub(crate) fn is_resting(&self, now: Instant) -> bool {
        self.asked.is_some_and(|asked| now < asked.until)
    }

    /// Time until a call may be sent, if none may now.
    pub(crate) fn wait(&self, now: Instant) -> Option<Duration> {
        let asked = self.asked?;
        if now < asked.until {
            return Some(asked.until - now);
        }
        let trial_age = now.saturating_duration_since(asked.trial_began_at?);
        (trial_age < TRIAL_TIME).then_some(TRIAL_WAIT)
    }

    /// Begins a call, and returns whether it may be sent. The first one after a rest is
    /// its trial.
    pub(crate) fn begin_call(&mut self, now: Instant) -> bool {
        if self.wait(now).is_some() {
            return false;
        }
        if let Some(asked) = &mut self.asked {
            asked.trial_began_at = Some(now);
        }
        true
    }
}
