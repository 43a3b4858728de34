//! The limit on the requests of all nodes together that an upstream in need names.
//!
//! A share of the limit for each node would be no answer: at two requests a second
//! and 390 nodes each had one in minutes. Instead one node, the coordinator, grants
//! permits for the upstream, and another one, the standby, stands in at half the rate
//! while nodes do not reach the coordinator. Rendezvous hashing chooses both, so nodes
//! agree on them without messages. `docs/LIMITS.md` weighs this against others.

use std::time::{Duration, Instant};

use super::send_decision::SendDecision;

/// Fraction of the limit that the coordinator grants. The rest is for requests that were
/// sent before a node knew the limit, and for moments with two coordinators.
const COORDINATOR_FRACTION: f64 = 0.9;
/// Fraction of the limit that the standby grants.
const STANDBY_FRACTION: f64 = 0.45;
/// Requests a second that are sent to an upstream whose limit is lower, to learn when
/// it ends.
const TRIAL_RATE_PER_S: f64 = 0.25;
/// Requests a second from which a limit bounds nothing that nodes would send.
const ENFORCED_MAX_PER_S: f64 = 2_000.0;
/// Time over which unused permits add up.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Longest time that a refused asker is told to wait.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Longest time over which nodes that were refused a permit ask again.
const CLOSED_SPREAD_MAX: Duration = Duration::from_secs(2);
/// Time for which a granted permit is valid.
const PERMIT_TTL: Duration = Duration::from_millis(250);
/// Requests a second for each permit that a node asks for at once, beyond one.
const RATE_PER_PERMIT: f64 = 50.0;
/// Time after which a limit that only peers named has ended, unless they repeat it.
/// It is longer than the time between two trials.
pub(crate) const PEER_LIMIT_TTL: Duration = Duration::from_secs(6);
/// Time after an answer in which its limit is news for other nodes.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// A number of requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rate {
    pub(crate) per_1000_s: u64,
}

impl Rate {
    /// Returns none if it is not a number. A negative one counts as zero.
    pub(crate) fn from_per_second(per_s: f64) -> Option<Self> {
        // The conversion saturates.
        (!per_s.is_nan()).then_some(Self {
            per_1000_s: (per_s * 1_000.0) as u64,
        })
    }

    pub(crate) fn per_second(self) -> f64 {
        self.per_1000_s as f64 / 1_000.0
    }
}

/// Which node grants permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Grantor {
    Coordinator,
    /// Stands in for a coordinator that does not answer.
    Standby,
}

/// A node's request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PermitDemand {
    pub(crate) rate: Rate,
    pub(crate) wanted_count: u32,
    /// Calls that the node refused since it last asked.
    pub(crate) refused_count: u32,
}

/// The answer to a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) count: u32,
    /// Time until the next permit, if none was granted.
    pub(crate) wait: Duration,
    /// Time that the permits for all refused callers take.
    pub(crate) backlog: Duration,
}

/// The permits for one upstream at the node that grants them.
#[derive(Debug)]
pub(crate) struct PermitBucket {
    permits: f64,
    /// Refused callers that may return.
    backlog: f64,
    updated_at: Instant,
}

impl PermitBucket {
    /// Creates an empty bucket, because an earlier grantor may just have granted
    /// permits.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            permits: 0.0,
            backlog: 0.0,
            updated_at: now,
        }
    }

    /// Grants permits, or tells when to ask again.
    pub(crate) fn grant(&mut self, demand: PermitDemand, grantor: Grantor, now: Instant) -> Grant {
        let rate_per_s = granted_rate_per_s(demand.rate, grantor);
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let permits_max = 1.0 + rate_per_s * BURST_TIME.as_secs_f64();
        self.permits = (self.permits + elapsed_s * rate_per_s).min(permits_max);
        let answered = elapsed_s * rate_per_s;
        self.backlog = (self.backlog - answered).max(0.0) + f64::from(demand.refused_count);
        let count = (self.permits as u32).min(demand.wanted_count);
        self.permits -= f64::from(count);
        let wait_s = (1.0 - self.permits).max(0.0) / rate_per_s;
        Grant {
            count,
            wait: if count > 0 {
                Duration::ZERO
            } else {
                bounded(wait_s)
            },
            backlog: bounded(self.backlog / rate_per_s),
        }
    }

    pub(crate) fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.updated_at)
    }
}

fn granted_rate_per_s(limit: Rate, grantor: Grantor) -> f64 {
    let fraction = match grantor {
        Grantor::Coordinator => COORDINATOR_FRACTION,
        Grantor::Standby => STANDBY_FRACTION,
    };
    (limit.per_second() * fraction).max(TRIAL_RATE_PER_S)
}

fn bounded(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(WAIT_MAX.as_secs_f64()))
}

#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    rate: Rate,
    learnt_at: Instant,
    named_at: Instant,
    is_known_from_peers: bool,
    permit_count: u32,
    permits_expire_at: Instant,
    closed_until: Instant,
    backlog: Duration,
    refused_count: u32,
}

/// What a node knows of one upstream's limit.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimit {
    named: Option<NamedLimit>,
    ended_at: Option<Instant>,
}

impl UpstreamLimit {
    /// Records that the upstream named a limit. Returns whether it is new.
    pub(crate) fn record_named(&mut self, rate: Rate, now: Instant) -> bool {
        let is_new = self.named.is_none_or(|named| named.rate != rate);
        let named = self.named.get_or_insert(NamedLimit::new(rate, now));
        named.rate = rate;
        named.named_at = now;
        named.is_known_from_peers = false;
        is_new
    }

    /// Records that a peer told of the limit.
    pub(crate) fn record_named_by_peer(&mut self, rate: Rate, now: Instant) {
        let has_just_ended = self
            .ended_at
            .is_some_and(|at| now.saturating_duration_since(at) < PEER_LIMIT_TTL);
        if self.named.is_none() && !has_just_ended {
            let mut named = NamedLimit::new(rate, now);
            named.is_known_from_peers = true;
            self.named = Some(named);
        }
        if let Some(named) = self.named.as_mut().filter(|n| n.is_known_from_peers) {
            (named.rate, named.named_at) = (rate, now);
        }
    }

    /// Records an answer without a limit to a request sent at `sent_at`, which ends
    /// the limit if it was known then. Answers may overtake each other. Returns
    /// whether it ended.
    pub(crate) fn record_unlimited(&mut self, sent_at: Instant, now: Instant) -> bool {
        let ended = self.named.take_if(|named| sent_at > named.learnt_at);
        if ended.is_some() {
            self.ended_at = Some(now);
        }
        ended.is_some()
    }

    /// Whether the upstream limits what is sent to it.
    pub(crate) fn is_limited(&mut self, now: Instant) -> bool {
        let has_lapsed = |named: &mut NamedLimit| {
            let age = now.saturating_duration_since(named.named_at);
            named.is_known_from_peers && age > PEER_LIMIT_TTL
        };
        self.named.take_if(has_lapsed);
        let is_enforced = |named: &NamedLimit| named.rate.per_second() < ENFORCED_MAX_PER_S;
        self.named.as_ref().is_some_and(is_enforced)
    }

    /// The limit, if an answer to this node named it so recently that other nodes should
    /// be told. What peers told is not passed on, or it would never end.
    pub(crate) fn news(&self, now: Instant) -> Option<Rate> {
        let named = self.named.filter(|named| !named.is_known_from_peers)?;
        (now.saturating_duration_since(named.named_at) < NEWS_TIME).then_some(named.rate)
    }

    /// Decides on one call. A permit that is used is spent.
    pub(crate) fn decide(&mut self, now: Instant) -> SendDecision {
        if !self.is_limited(now) {
            return SendDecision::Send;
        }
        let Some(named) = &mut self.named else {
            return SendDecision::Send;
        };
        if named.permit_count > 0 && now < named.permits_expire_at {
            named.permit_count -= 1;
            return SendDecision::Send;
        }
        if now < named.closed_until {
            named.refused_count += 1;
            return SendDecision::Refuse(named.closed_until - now, named.backlog);
        }
        SendDecision::Ask(PermitDemand {
            rate: named.rate,
            wanted_count: 1 + (named.rate.per_second() / RATE_PER_PERMIT) as u32,
            refused_count: std::mem::take(&mut named.refused_count),
        })
    }

    /// Takes back that the last call that got no permit was refused: it waits at this node.
    pub(crate) fn take_back_refusal(&mut self) {
        if let Some(named) = &mut self.named {
            named.refused_count = named.refused_count.saturating_sub(1);
        }
    }

    /// Applies the answer to a request for permits, and decides on the call for which
    /// they were asked. `draw` from 0 to below 1 spreads the nodes that ask again.
    pub(crate) fn apply_grant(&mut self, grant: Grant, draw: f64, now: Instant) -> SendDecision {
        let Some(named) = &mut self.named else {
            return SendDecision::Send;
        };
        named.backlog = grant.backlog;
        if grant.count > 0 {
            named.permit_count = grant.count - 1;
            named.permits_expire_at = now + PERMIT_TTL;
            return SendDecision::Send;
        }
        let spread = grant.backlog.min(CLOSED_SPREAD_MAX);
        named.closed_until = now + grant.wait + spread.mul_f64(draw);
        named.refused_count += 1;
        SendDecision::Refuse(grant.wait, grant.backlog)
    }
}

impl NamedLimit {
    fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            learnt_at: now,
            named_at: now,
            is_known_from_peers: false,
            permit_count: 0,
            permits_expire_at: now,
            closed_until: now,
            backlog: Duration::ZERO,
            refused_count: 0,
        }
    }
}
