//! What an upstream states in its answers of what may be sent to it: a limit, a rest, or that it
//! leaves.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::Upstream;
use crate::id::UpstreamId;
use crate::platform::answer::{AnswerHeaders, StatedLimit};
use crate::policy::send_decision::{self, SendDecision};
use crate::policy::upstream_limit::UpstreamLimit;
use crate::policy::upstream_notices::UpstreamNotices;

/// The notices of one incarnation, which outlive its entry.
pub(crate) type SharedNotices = Arc<Mutex<UpstreamNotices>>;

impl Upstream {
    /// Records what an answer to a request sent at `sent_at` says of what may be sent to
    /// the upstream.
    pub(crate) fn record_statements(&self, headers: &AnswerHeaders, sent_at: Instant) {
        self.record_limit(headers.limit, sent_at);
        match headers.rest {
            Some(rest) => self.record_rest(rest),
            None => self.notices().rest.record_answered(sent_at),
        }
        if headers.is_leaving {
            self.record_leaving();
        }
    }

    fn record_limit(&self, stated: StatedLimit, sent_at: Instant) {
        let now = Instant::now();
        let id = &self.entry.id;
        match stated {
            StatedLimit::None => {
                if self.limit().record_unlimited(sent_at, now) {
                    log::info!("event=limit_ended upstream={id}");
                }
            }
            StatedLimit::Named(rate) => {
                if self.limit().record_named(rate, now) {
                    let per_s = rate.per_second();
                    log::info!("event=limit_named upstream={id} per_s={per_s}");
                }
            }
            StatedLimit::Unreadable => {}
        }
    }

    /// Records the rest that the upstream asks of this node in an answer.
    pub(crate) fn record_rest(&self, rest: Duration) {
        self.notices().rest.record_asked(rest, Instant::now());
        let (id, rest_ms) = (&self.entry.id, rest.as_millis());
        log::info!("event=upstream_rests upstream={id} rest_ms={rest_ms}");
    }

    /// Records that the upstream says that it leaves. No entry takes that back.
    fn record_leaving(&self) {
        if self.notices().record_leaving() {
            log_leaving(&self.entry.id);
        }
    }

    /// What this incarnation asked of this node.
    pub(crate) fn notices(&self) -> MutexGuard<'_, UpstreamNotices> {
        lock_notices(&self.notices)
    }

    /// The notices, which a later entry of this incarnation shares.
    pub(crate) fn shared_notices(&self) -> SharedNotices {
        self.notices.clone()
    }

    /// Whether the upstream wants no request at all from this node now.
    pub(crate) fn is_resting(&self) -> bool {
        self.notices().rest.is_resting(Instant::now())
    }

    /// Decides whether a call may be sent to the upstream now.
    pub(crate) fn decide(&self, now: Instant) -> SendDecision {
        send_decision::decide(&self.notices().rest, &mut self.limit(), now)
    }

    /// Whether a request that is no call would cost the upstream what it wants to spare.
    pub(crate) fn counts_probes(&self) -> bool {
        self.is_resting() || self.is_limited()
    }

    /// Whether the upstream limits what is sent to it.
    pub(crate) fn is_limited(&self) -> bool {
        self.limit().is_limited(Instant::now())
    }

    /// What is known of the upstream's limit.
    pub(crate) fn limit(&self) -> MutexGuard<'_, UpstreamLimit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub(crate) fn lock_notices(notices: &SharedNotices) -> MutexGuard<'_, UpstreamNotices> {
    notices.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Logs that an upstream says that it leaves.
pub(crate) fn log_leaving(id: &UpstreamId) {
    log::info!("event=upstream_leaves upstream={id}");
}
