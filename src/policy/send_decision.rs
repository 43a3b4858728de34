//! The one answer to whether this node may send to an upstream now, and if not, when.
//!
//! The upstream's rest and its limit both take part, and `docs/LIMITS.md` has the design.

use std::time::{Duration, Instant};

use super::upstream_limit::{PermitDemand, UpstreamLimit};
use super::upstream_rest::UpstreamRest;

/// Time over which callers return that were refused because of a rest. All nodes may have
/// been asked for the same one.
const REST_RETURN_SPREAD: Duration = Duration::from_secs(1);

/// What a node may do with a call for one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendDecision {
    /// The call may be sent.
    Send,
    /// A permit is needed first.
    Ask(PermitDemand),
    /// The upstream has no room for this long; callers that are refused return
    /// within the second duration after that.
    Refuse(Duration, Duration),
}

/// Decides on one call. A permit that is used is spent, but none is spent or asked for
/// while the upstream rests.
pub(crate) fn decide(rest: &UpstreamRest, limit: &mut UpstreamLimit, now: Instant) -> SendDecision {
    match rest.wait(now) {
        Some(wait) => SendDecision::Refuse(wait, REST_RETURN_SPREAD),
        None => limit.decide(now),
    }
}
