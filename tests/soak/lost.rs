//! Judges calls whose connection ended without a complete answer.

use std::time::{Duration, Instant};

use crate::edge_environment::run_log::Arrival;
use crate::history::{Entry, Occurrence, UpstreamAt};
use crate::kept_request::RequestKind;
use crate::node::{GRACE_PERIOD, SoakEnvironment};

/// A disturbance excuses what happens up to this time after it.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// A node may leave a request unread that arrives so shortly before its connection
/// is closed.
const CROSSING_TIME: Duration = Duration::from_millis(200);
/// A stop covers calls that end up to this time after the grace period.
const AFTER_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// A call sent later than this after SIGTERM is answered or refused, even if its
/// run would outlast the grace period.
const LAST_LONG_CALL: Duration = Duration::from_secs(3);
/// A reload covers calls that are sent up to this time after it.
const RELOAD_TIME: Duration = Duration::from_secs(2);
/// A configuration covers calls that end up to this time after it was sent.
const CONFIG_TIME: Duration = Duration::from_secs(3);
/// Share of its time after which a call that is cut beside a configuration is
/// excused.
const USED_SHARE: f64 = 0.7;
/// Tolerance for comparing times that different tasks have measured.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(20);

/// A call that was sent completely, and whose connection ended without a complete
/// answer.
#[derive(Clone, Debug)]
pub struct UnansweredCall {
    pub node: usize,
    pub call_id: String,
    pub kind: RequestKind,
    /// An earlier call was answered on the same connection.
    pub is_reused_connection: bool,
    pub began_at: Instant,
    pub last_byte_sent_at: Instant,
    pub ended_at: Instant,
    pub deadline: Duration,
    pub answer_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The rules forbid it.
    Lost,
    /// It falls into no window in which the rules forbid it.
    OutsideWindows,
    /// An upstream or the node was disturbed, or a node, which may have carried the
    /// call, was cut from the upstreams.
    Disturbed,
    DeadlineReached,
    /// The run was still at work at the end of the grace period.
    GracePeriodOver,
    /// The node may not have read the request.
    Unread,
}

/// A call with what the history and the upstreams know of it.
struct Case<'a> {
    call: &'a UnansweredCall,
    arrivals: Vec<(UpstreamAt, Arrival)>,
    history: Vec<Entry>,
}

pub fn judge(call: &UnansweredCall, environment: &SoakEnvironment) -> (Verdict, String) {
    let case = Case {
        call,
        arrivals: arrivals(&call.call_id, environment),
        history: environment.history.entries(),
    };
    let verdict = case.verdict();
    (verdict, format!("{verdict:?} {}", case.description()))
}

/// The runs of the call at all upstreams.
pub fn arrivals(call_id: &str, environment: &SoakEnvironment) -> Vec<(UpstreamAt, Arrival)> {
    let mut arrivals = Vec::new();
    for (at, (engine, _)) in environment.engines.iter().enumerate() {
        let of_call = engine.run_log.of_call(call_id).into_iter();
        arrivals.extend(of_call.map(|a| (UpstreamAt::Engine(at), a)));
    }
    for (at, (service, _)) in environment.services.iter().enumerate() {
        let of_call = service.run_log.of_call(call_id).into_iter();
        arrivals.extend(of_call.map(|a| (UpstreamAt::Service(at), a)));
    }
    arrivals
}

impl Case<'_> {
    fn verdict(&self) -> Verdict {
        let since_sent = self.call.ended_at - self.call.last_byte_sent_at;
        if self.arrivals.is_empty() && since_sent <= CROSSING_TIME {
            Verdict::Unread
        } else if self.is_disturbed() {
            Verdict::Disturbed
        } else if self.is_cut_from_kept_connection() {
            Verdict::Lost
        } else if self.is_in_contact_time(|what| matches!(what, Occurrence::NodeCut { .. })) {
            Verdict::Disturbed
        } else if self.used_share() >= 1.0 {
            Verdict::DeadlineReached
        } else if self.is_past_grace_period() {
            Verdict::GracePeriodOver
        } else if self.is_cut_by_reload() || self.is_cut_by_stop() {
            Verdict::Lost
        } else if self.is_cut_beside_config() {
            if self.used_share() >= USED_SHARE {
                Verdict::DeadlineReached
            } else {
                Verdict::Lost
            }
        } else {
            Verdict::OutsideWindows
        }
    }

    /// The node, or an upstream that has the call, was disturbed shortly before the
    /// call or during it.
    fn is_disturbed(&self) -> bool {
        let node = self.call.node;
        self.is_in_contact_time(|what| match what {
            Occurrence::NodeDisturbed { node: at } => at == node,
            Occurrence::UpstreamDisturbed(upstream) => {
                self.arrivals.iter().any(|(at, _)| *at == upstream)
            }
            _ => false,
        })
    }

    fn is_in_contact_time(&self, applies: impl Fn(Occurrence) -> bool) -> bool {
        let from = self.call.began_at.checked_sub(CONTACT_TIME);
        let from = from.expect("the machine runs for longer");
        self.history
            .iter()
            .any(|entry| applies(entry.what) && entry.overlaps(from, self.call.ended_at))
    }

    /// Share of the shortest time that the caller or a configuration allows.
    fn used_share(&self) -> f64 {
        let started_at = self.call.began_at.checked_sub(CONFIG_TIME);
        let mut allowed = self.call.deadline;
        let mut timeout_before = None;
        for entry in &self.history {
            let Occurrence::Config { timeout } = entry.what else {
                continue;
            };
            if started_at.is_some_and(|at| entry.from <= at) {
                timeout_before = Some(timeout);
            } else if entry.from <= self.call.ended_at {
                allowed = allowed.min(timeout);
            }
        }
        let allowed = timeout_before.map_or(allowed, |timeout| allowed.min(timeout));
        let used = self.call.ended_at - self.call.began_at + CLOCK_TOLERANCE;
        used.as_secs_f64() / allowed.as_secs_f64()
    }

    /// A request from a kept connection reached a sound upstream, and the node, to
    /// which nothing had happened, closed the connection without an answer.
    fn is_cut_from_kept_connection(&self) -> bool {
        let own_node = self.call.node;
        let is_node_calm = !self.is_in_contact_time(|what| match what {
            Occurrence::Stop { node }
            | Occurrence::Reload { node }
            | Occurrence::Start { node }
            | Occurrence::NodeDisturbed { node } => node == own_node,
            _ => false,
        });
        self.call.is_reused_connection
            && self.call.answer_bytes == 0
            && !self.arrivals.is_empty()
            && is_node_calm
    }

    fn is_cut_by_reload(&self) -> bool {
        self.happened(|what, at| {
            what == Occurrence::Reload {
                node: self.call.node,
            } && at <= self.call.ended_at
                && self.call.last_byte_sent_at <= at + RELOAD_TIME
        })
    }

    fn is_cut_by_stop(&self) -> bool {
        let window = GRACE_PERIOD + AFTER_GRACE_PERIOD;
        self.stops_at().any(|at| self.call.ended_at <= at + window)
    }

    fn is_cut_beside_config(&self) -> bool {
        self.happened(|what, at| {
            matches!(what, Occurrence::Config { .. })
                && at <= self.call.ended_at
                && self.call.ended_at <= at + CONFIG_TIME
        })
    }

    /// The upstream was still at work in the last sixth of the grace period, on a
    /// call that was not sent late.
    fn is_past_grace_period(&self) -> bool {
        let call = self.call;
        let is_at_work = self.arrivals.iter().any(|(_, arrival)| {
            arrival
                .ended_at
                .is_none_or(|ended_at| ended_at + CLOCK_TOLERANCE >= call.ended_at)
        });
        let last_sixth = GRACE_PERIOD * 5 / 6;
        is_at_work
            && self.stops_at().any(|at| {
                call.ended_at >= at + last_sixth && call.last_byte_sent_at <= at + LAST_LONG_CALL
            })
    }

    fn stops_at(&self) -> impl Iterator<Item = Instant> {
        let stop = Occurrence::Stop {
            node: self.call.node,
        };
        let stops = self.history.iter().filter(move |e| e.what == stop);
        let ended_at = self.call.ended_at;
        stops.map(|e| e.from).filter(move |at| *at <= ended_at)
    }

    fn happened(&self, applies: impl Fn(Occurrence, Instant) -> bool) -> bool {
        self.history.iter().any(|e| applies(e.what, e.from))
    }

    /// What a reader needs to trace the call: its own times, its runs, and what
    /// happened shortly before. Times are relative to the end of the connection.
    fn description(&self) -> String {
        let call = self.call;
        let before_end = |at: Instant| {
            let sign = if at > call.ended_at { '+' } else { '-' };
            let distance = at.max(call.ended_at) - at.min(call.ended_at);
            format!("{sign}{:.3} s", distance.as_secs_f64())
        };
        let runs = self.arrivals.iter().map(|(at, arrival)| {
            let ended = arrival.ended_at.map_or("at work".to_owned(), before_end);
            format!("{at:?} from {} to {ended}", before_end(arrival.arrived_at))
        });
        let from = call.began_at.checked_sub(CONTACT_TIME);
        let recent = self.history.iter().filter(|entry| {
            from.is_some_and(|from| entry.overlaps(from, call.ended_at))
                || self.stops_at().any(|at| at == entry.from)
        });
        let recent = recent.map(|entry| format!("{:?} {}", entry.what, before_end(entry.from)));
        format!(
            "{} {:?} at n{}, reused connection {}: began {}, sent {}, {} bytes of the answer; \
             runs {:?}; history {:?}",
            call.call_id,
            call.kind,
            call.node,
            call.is_reused_connection,
            before_end(call.began_at),
            before_end(call.last_byte_sent_at),
            call.answer_bytes,
            runs.collect::<Vec<_>>(),
            recent.collect::<Vec<_>>(),
        )
    }
}
