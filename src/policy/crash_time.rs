//! How long upstreams wrote answers before they crashed, and what a run that goes on
//! refutes.
//!
//! A busy upstream may crash a second after the first event of the answer that crashes it, so
//! that a run refutes a crash only if it goes on for clearly longer than that crash took.

use std::time::{Duration, Instant};

/// Time for which a run must go on to refute crashes that came at once, and by which it must
/// outlast others.
pub(crate) const SURVIVAL_TIME: Duration = Duration::from_millis(500);
/// Time after the first event from which on a crash is no evidence against the call.
pub(crate) const LATE_CRASH_MAX: Duration = Duration::from_secs(3);
/// Time after the first event from which on a crash is late.
const LATE_MIN: Duration = Duration::from_millis(500);
/// Unit to which crash times are rounded down. It bounds the number of clearances that a
/// feature can have.
const STEP: Duration = Duration::from_millis(250);

/// How long an upstream had written an answer when it crashed, in steps of a quarter of a
/// second; zero if the crash came at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CrashTime {
    ms: u32,
}

/// A run that went on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Survival {
    /// When the upstream began to write the answer.
    pub(crate) began_at: Instant,
    /// The longest crash time that the run refutes.
    pub(crate) refutes: CrashTime,
    /// The longest crash time that it refutes for parts that no recent whole answer had. The run
    /// itself may still end in a crash.
    pub(crate) refutes_for_unseen_parts: CrashTime,
}

impl CrashTime {
    pub(crate) const IMMEDIATE: Self = Self { ms: 0 };
    pub(crate) const MAX: Self = Self {
        ms: LATE_CRASH_MAX.as_millis() as u32,
    };

    /// The crash time of an upstream that crashed so long after its first event.
    pub(crate) fn of(written: Duration) -> Self {
        let steps = written.min(LATE_CRASH_MAX).as_millis() / STEP.as_millis();
        Self {
            ms: (steps * STEP.as_millis()) as u32,
        }
    }

    /// The crash time that a record states.
    pub(crate) fn from_ms(ms: u32) -> Self {
        Self::of(Duration::from_millis(ms.into()))
    }

    pub(crate) fn as_ms(self) -> u32 {
        self.ms
    }

    pub(crate) fn as_duration(self) -> Duration {
        Duration::from_millis(self.ms.into())
    }

    /// Whether the upstream had written for so long that other causes are as likely.
    pub(crate) fn is_late(self) -> bool {
        self.as_duration() >= LATE_MIN
    }
}

impl Survival {
    /// A run that goes on, if it has done so long enough. Crash times of one cause vary, so that
    /// it must outlast a crash by half of its time and by [`SURVIVAL_TIME`].
    pub(crate) fn of_running(began_at: Instant, now: Instant) -> Option<Self> {
        let written = now.saturating_duration_since(began_at);
        let beyond = written.checked_sub(SURVIVAL_TIME)?;
        let refutes = CrashTime::of(beyond * 2 / 3);
        let has_outlasted_late_crashes = written >= LATE_CRASH_MAX;
        Some(Self {
            began_at,
            refutes,
            refutes_for_unseen_parts: if has_outlasted_late_crashes {
                refutes
            } else {
                CrashTime::IMMEDIATE
            },
        })
    }

    /// A run that wrote a whole answer. It refutes the crashes that took no longer, since sound
    /// runs of the same length can do no more.
    pub(crate) fn of_whole_answer(began_at: Instant, now: Instant) -> Self {
        let refutes = CrashTime::of(now.saturating_duration_since(began_at));
        Self {
            began_at,
            refutes,
            refutes_for_unseen_parts: refutes,
        }
    }

    /// A run that wrote the rest of an answer. It refutes clearly shorter crash times: the rest
    /// may end just before the upstream would have crashed.
    pub(crate) fn of_rest(began_at: Instant, now: Instant) -> Self {
        Self {
            began_at,
            refutes: CrashTime::of(now.saturating_duration_since(began_at) * 2 / 3),
            refutes_for_unseen_parts: CrashTime::IMMEDIATE,
        }
    }
}
