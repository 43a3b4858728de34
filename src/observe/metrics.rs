//! All counters and histograms of the program.
//!
//! Counters are atomics, which are cheap to update while requests are served. A
//! task sends their increments to StatsD every few seconds.
//! `docs/OPERATIONS.md` lists the counters, and a test compares that list with
//! [`Counter::ALL`].

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cadence::{Counted, StatsdClient, UdpMetricSink};
use hdrhistogram::Histogram;

/// Time between two deliveries of increments to StatsD.
const FLUSH_INTERVAL: Duration = Duration::from_secs(5);
/// Prefix of the name of every counter and histogram.
const PREFIX: &str = "zinniawing";

/// One line of a gauge in the text of the counters.
pub(crate) fn gauge_line(name: &str, value: u64) -> String {
    format!("{PREFIX}_{name} {value}\n")
}

/// Reads the value of a line that [`gauge_line`] wrote.
pub(crate) fn gauge_value(text: &str, name: &str) -> Option<u64> {
    let name = format!("{PREFIX}_{name}");
    let mut values = text.lines().filter_map(|line| line.split_once(' '));
    let (_, value) = values.find(|(found, _)| *found == name)?;
    value.parse().ok()
}

/// One counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Counter {
    /// Completion requests received from callers.
    Completions,
    /// Completion requests refused, usually because the wait would be too long.
    /// Refused poison requests are counted in [`Self::PoisonRefusals`].
    Refused,
    /// Tokens relayed to callers.
    Tokens,
    /// Tokens from runners that were dropped because the caller already had
    /// them.
    RepeatedTokens,
    /// Attempts to run a generation that were opened at runners.
    Attempts,
    /// Standby attempts, opened because another attempt sent no token for a
    /// while.
    Standbys,
    /// Attempts lost to a broken connection or a protocol error.
    LostByReset,
    /// Attempts lost because no token arrived in time.
    LostBySilence,
    /// Generations resumed after an attempt was lost.
    Resumes,
    /// Sum of the milliseconds between the last token before a loss and the
    /// next token.
    ResumeMs,
    /// Generations that ended with an error after an attempt was lost.
    GenerationsLost,
    /// Requests classified as poison because they crash runners.
    PoisonRequests,
    /// Requests refused because they are poison.
    PoisonRefusals,
    /// Calls to plain services.
    ServiceCalls,
    /// Claims granted: idempotency keys reserved for one call.
    ClaimsTaken,
    /// Calls answered with the stored result of a finished claim.
    ClaimsReplayed,
    /// Calls to plain services that may have run and whose answer is not known.
    OutcomesUnknown,
    /// Configurations that came into force at this node.
    Configs,
    /// Configurations ignored because the same or a newer one was in force.
    StaleConfigs,
    /// Orders (which models to load) sent to runners.
    Orders,
    /// Orders that a runner refused, usually because their fence was outdated.
    OrdersRefused,
    /// Calls received by the forwarder.
    Calls,
    /// Calls not admitted, because no route or no customer matches or this node
    /// has no configuration yet.
    CallsRejected,
    /// Calls that waited for the first configuration, or the first upstream of their service,
    /// at this node, which had just started.
    CallsHeldAtStartup,
    /// Admitted calls that this node gave up and answered with an error.
    CallsGivenUp,
    /// Bodies of calls refused because the memory budget was full.
    BodiesRefusedFull,
    /// Bodies of calls that lost their memory to others because they made no progress.
    BodiesReclaimed,
    /// Bodies of calls that did not arrive in time.
    BodiesTooSlow,
    /// Bodies of calls above the limit.
    BodiesOverLimit,
    /// Bodies of calls that were malformed or whose connection broke.
    BodiesUnreadable,
    /// Idle connections closed to make room for new ones.
    ConnectionsEvicted,
    /// New connections closed because all open ones were in use.
    ConnectionsRefused,
    /// Answers broken off because their callers did not read them while others needed the memory.
    AnswersReclaimed,
    /// Answers broken off because their callers had not read them by the deadline.
    AnswersUnread,
    /// Calls whose connection closed before this node answered.
    CallsUnanswered,
    /// Calls that a peer answered because this node reaches no upstream.
    CallsRelayed,
    /// Calls accepted from other nodes, which reach no upstream.
    RelayedCalls,
    /// Calls of other nodes refused because this node has too many of them.
    RelayedCallsRefused,
    /// Sends of calls to upstreams, including retries.
    UpstreamSends,
    /// Retries that the retry budget did not allow.
    RetriesOverBudget,
    /// Plain calls sent to a second upstream while the first could still answer.
    HedgesSent,
    /// Hedges that answered before the first send.
    HedgesWon,
    /// Hedges that did not answer before the first send.
    HedgesLost,
    /// Hedges withheld because too few answers were known.
    HedgesWithheldFewSamples,
    /// Hedges withheld because all answers were slow.
    HedgesWithheldAllSlow,
    /// Hedges withheld because they would have saved too little.
    HedgesWithheldSmallGain,
    /// Hedges withheld by the operators' limit.
    HedgesWithheldOverLimit,
    /// Hedges withheld by the retry budget.
    HedgesWithheldOverBudget,
    /// Hedges withheld because no upstream was expected to answer sooner.
    HedgesWithheldNoTarget,
    /// Hedges of calls that could not be sent again.
    HedgesWithheldNotAllowed,
    /// Sends that the limits of upstreams did not allow.
    SendsOverLimit,
    /// Liveness probes sent to engines.
    EngineProbes,
    /// Probes of upstreams before calls are sent to them.
    SendProbes,
    /// Requests that ask which of several registered upstreams is at an address.
    AddressChecks,
    /// Connections opened to find out whether upstreams can be reached.
    ReachProbes,
    /// KV cache replicas requested from engines.
    CopiesAskedFor,
    /// Times that the upstream of a stream was lost.
    StreamsLost,
    /// Streams resumed at another upstream.
    StreamsResumed,
    /// Choices of an engine for a prompt by learned speeds.
    PlacedBySpeed,
    /// Streams truncated before their end.
    StreamsBrokenOff,
    /// Sends of calls to the target of an unfinished rollout.
    RolloutTargetSends,
    /// States of rollouts that this node wrote.
    RolloutWrites,
    /// Requests to the platform's object store.
    StoreCalls,
    /// Log lines dropped because too many were written at once.
    LogLinesDropped,
}

impl Counter {
    /// All counters, in the order of the list in `docs/OPERATIONS.md`.
    pub const ALL: [Self; 64] = [
        Self::Completions,
        Self::Refused,
        Self::Tokens,
        Self::RepeatedTokens,
        Self::Attempts,
        Self::Standbys,
        Self::LostByReset,
        Self::LostBySilence,
        Self::Resumes,
        Self::ResumeMs,
        Self::GenerationsLost,
        Self::PoisonRequests,
        Self::PoisonRefusals,
        Self::ServiceCalls,
        Self::ClaimsTaken,
        Self::ClaimsReplayed,
        Self::OutcomesUnknown,
        Self::Configs,
        Self::StaleConfigs,
        Self::Orders,
        Self::OrdersRefused,
        Self::Calls,
        Self::CallsRejected,
        Self::CallsHeldAtStartup,
        Self::CallsGivenUp,
        Self::BodiesRefusedFull,
        Self::BodiesReclaimed,
        Self::BodiesTooSlow,
        Self::BodiesOverLimit,
        Self::BodiesUnreadable,
        Self::ConnectionsEvicted,
        Self::ConnectionsRefused,
        Self::AnswersReclaimed,
        Self::AnswersUnread,
        Self::CallsUnanswered,
        Self::CallsRelayed,
        Self::RelayedCalls,
        Self::RelayedCallsRefused,
        Self::UpstreamSends,
        Self::RetriesOverBudget,
        Self::HedgesSent,
        Self::HedgesWon,
        Self::HedgesLost,
        Self::HedgesWithheldFewSamples,
        Self::HedgesWithheldAllSlow,
        Self::HedgesWithheldSmallGain,
        Self::HedgesWithheldOverLimit,
        Self::HedgesWithheldOverBudget,
        Self::HedgesWithheldNoTarget,
        Self::HedgesWithheldNotAllowed,
        Self::SendsOverLimit,
        Self::EngineProbes,
        Self::SendProbes,
        Self::AddressChecks,
        Self::ReachProbes,
        Self::CopiesAskedFor,
        Self::StreamsLost,
        Self::StreamsResumed,
        Self::PlacedBySpeed,
        Self::StreamsBrokenOff,
        Self::RolloutTargetSends,
        Self::RolloutWrites,
        Self::StoreCalls,
        Self::LogLinesDropped,
    ];

    /// Returns the name, which ends in the unit, as in `tokens_count` and
    /// `resume_ms`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Completions => "completions_count",
            Self::Refused => "refused_count",
            Self::Tokens => "tokens_count",
            Self::RepeatedTokens => "repeated_tokens_count",
            Self::Attempts => "attempts_count",
            Self::Standbys => "standbys_count",
            Self::LostByReset => "lost_by_reset_count",
            Self::LostBySilence => "lost_by_silence_count",
            Self::Resumes => "resumes_count",
            Self::ResumeMs => "resume_ms",
            Self::GenerationsLost => "generations_lost_count",
            Self::PoisonRequests => "poison_requests_count",
            Self::PoisonRefusals => "poison_refusals_count",
            Self::ServiceCalls => "service_calls_count",
            Self::ClaimsTaken => "claims_taken_count",
            Self::ClaimsReplayed => "claims_replayed_count",
            Self::OutcomesUnknown => "outcomes_unknown_count",
            Self::Configs => "configs_count",
            Self::StaleConfigs => "stale_configs_count",
            Self::Orders => "orders_count",
            Self::OrdersRefused => "orders_refused_count",
            Self::Calls => "calls_count",
            Self::CallsRejected => "calls_rejected_count",
            Self::CallsHeldAtStartup => "calls_held_at_startup_count",
            Self::CallsGivenUp => "calls_given_up_count",
            Self::BodiesRefusedFull => "bodies_refused_full_count",
            Self::BodiesReclaimed => "bodies_reclaimed_count",
            Self::BodiesTooSlow => "bodies_too_slow_count",
            Self::BodiesOverLimit => "bodies_over_limit_count",
            Self::BodiesUnreadable => "bodies_unreadable_count",
            Self::ConnectionsEvicted => "connections_evicted_count",
            Self::ConnectionsRefused => "connections_refused_count",
            Self::AnswersReclaimed => "answers_reclaimed_count",
            Self::AnswersUnread => "answers_unread_count",
            Self::CallsUnanswered => "calls_unanswered_count",
            Self::CallsRelayed => "calls_relayed_count",
            Self::RelayedCalls => "relayed_calls_count",
            Self::RelayedCallsRefused => "relayed_calls_refused_count",
            Self::UpstreamSends => "upstream_sends_count",
            Self::RetriesOverBudget => "retries_over_budget_count",
            Self::HedgesSent => "hedges_sent_count",
            Self::HedgesWon => "hedges_won_count",
            Self::HedgesLost => "hedges_lost_count",
            Self::HedgesWithheldFewSamples => "hedges_withheld_few_samples_count",
            Self::HedgesWithheldAllSlow => "hedges_withheld_all_slow_count",
            Self::HedgesWithheldSmallGain => "hedges_withheld_small_gain_count",
            Self::HedgesWithheldOverLimit => "hedges_withheld_over_limit_count",
            Self::HedgesWithheldOverBudget => "hedges_withheld_over_budget_count",
            Self::HedgesWithheldNoTarget => "hedges_withheld_no_target_count",
            Self::HedgesWithheldNotAllowed => "hedges_withheld_not_allowed_count",
            Self::SendsOverLimit => "sends_over_limit_count",
            Self::EngineProbes => "engine_probes_count",
            Self::SendProbes => "send_probes_count",
            Self::AddressChecks => "address_checks_count",
            Self::ReachProbes => "reach_probes_count",
            Self::CopiesAskedFor => "copies_asked_for_count",
            Self::StreamsLost => "streams_lost_count",
            Self::StreamsResumed => "streams_resumed_count",
            Self::PlacedBySpeed => "placed_by_speed_count",
            Self::StreamsBrokenOff => "streams_broken_off_count",
            Self::RolloutTargetSends => "rollout_target_sends_count",
            Self::RolloutWrites => "rollout_writes_count",
            Self::StoreCalls => "store_calls_count",
            Self::LogLinesDropped => "log_lines_dropped_count",
        }
    }
}

/// A duration whose distribution is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Span {
    /// From the arrival of a plain call to its answer.
    PlainCall,
    /// The same, of calls that were hedged.
    PlainCallHedged,
    /// The same, of calls to services with a limit on hedges that were not hedged.
    PlainCallUnhedged,
    /// From the arrival of a streaming call to its first event.
    FirstEvent,
    /// Longest pause between two events of a stream.
    LongestPause,
    /// From the loss of a stream's upstream until the stream is resumed.
    Resume,
}

impl Span {
    /// All spans, in the order of the list in `docs/OPERATIONS.md`.
    pub const ALL: [Self; 6] = [
        Self::PlainCall,
        Self::PlainCallHedged,
        Self::PlainCallUnhedged,
        Self::FirstEvent,
        Self::LongestPause,
        Self::Resume,
    ];

    /// Returns the name, which ends in the unit.
    pub fn name(self) -> &'static str {
        match self {
            Self::PlainCall => "plain_call_ms",
            Self::PlainCallHedged => "plain_call_hedged_ms",
            Self::PlainCallUnhedged => "plain_call_unhedged_ms",
            Self::FirstEvent => "first_event_ms",
            Self::LongestPause => "longest_pause_ms",
            Self::Resume => "stream_resume_ms",
        }
    }
}

/// Largest value of a histogram. Longer spans are recorded as this value.
const SPAN_MAX_MS: u64 = 600_000;
/// Significant decimal digits with which a histogram holds a value.
const SPAN_SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles in the text format.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

/// The counters and histograms of one node.
#[derive(Debug)]
pub struct Metrics {
    counters: [AtomicU64; Counter::ALL.len()],
    histograms: [Mutex<Option<Histogram<u32>>>; Span::ALL.len()],
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            counters: std::array::from_fn(|_| AtomicU64::new(0)),
            histograms: std::array::from_fn(|_| Mutex::new(None)),
        }
    }
}

impl Metrics {
    /// Adds `amount` to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.counters[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Records one duration of a span.
    pub fn record(&self, span: Span, duration: Duration) {
        let mut slot = self.histogram(span);
        // Created on first use, since each histogram takes some kilobytes.
        if slot.is_none() {
            *slot = Histogram::new_with_max(SPAN_MAX_MS, SPAN_SIGNIFICANT_DIGITS).ok();
        }
        if let Some(histogram) = slot.as_mut() {
            histogram.saturating_record(duration.as_millis() as u64);
        }
    }

    /// Formats all counters and quantiles in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for counter in Counter::ALL {
            text += &format!("{PREFIX}_{} {}\n", counter.name(), self.get(counter));
        }
        for span in Span::ALL {
            let slot = self.histogram(span);
            let Some(histogram) = slot.as_ref() else {
                continue;
            };
            let name = span.name();
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                text += &format!("{PREFIX}_{name}{{quantile=\"{quantile}\"}} {value}\n");
            }
            text += &format!("{PREFIX}_{name}_count {}\n", histogram.len());
        }
        text
    }

    fn histogram(&self, span: Span) -> MutexGuard<'_, Option<Histogram<u32>>> {
        self.histograms[span as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the increments of all counters to a StatsD collector at intervals.
    /// Returns only if the socket cannot be set up; the node cancels the task when
    /// it stops.
    pub(crate) async fn deliver(self: Arc<Self>, collector: SocketAddr) -> std::io::Result<()> {
        let socket = std::net::UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(collector, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::from_sink(PREFIX, sink);
        let mut delivered = [0; Counter::ALL.len()];
        loop {
            tokio::time::sleep(FLUSH_INTERVAL).await;
            for counter in Counter::ALL {
                let total = self.get(counter);
                let increment = total - delivered[counter as usize];
                delivered[counter as usize] = total;
                // Increments are lost while the collector is unreachable. That must
                // not affect requests, so the error is ignored.
                let _ = client.count(counter.name(), increment as i64);
            }
        }
    }
}
