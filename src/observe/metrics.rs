//! Every counter of the program, named once.
//!
//! Counters are plain atomics on the hot paths; a task hands what was added
//! to `cadence` every few seconds. `docs/OPERATIONS.md` lists them, and a test
//! holds that list against [`Counter::ALL`].

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cadence::{Counted, StatsdClient, UdpMetricSink};
use hdrhistogram::Histogram;

/// Time between two deliveries of what was added.
const FLUSH_INTERVAL: Duration = Duration::from_secs(5);
/// Prefix of every counter's name.
const PREFIX: &str = "zinniawing";

/// One thing that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Counter {
    /// Requests for a completion.
    Completions,
    /// Requests refused because the wait would be too long.
    Refused,
    /// Tokens relayed to callers.
    Tokens,
    /// Tokens from runners that were dropped as repeated.
    RepeatedTokens,
    /// Attempts opened at runners.
    Attempts,
    /// Attempts opened beside one that had gone silent.
    Standbys,
    /// Attempts lost to a broken connection.
    LostByReset,
    /// Attempts lost to silence.
    LostBySilence,
    /// Generations that went on after a loss.
    Resumes,
    /// Milliseconds between the last token before a loss and the next one.
    ResumeMs,
    /// Generations given up.
    GenerationsLost,
    /// Requests found to crash runners.
    PoisonRequests,
    /// Requests refused because they crash runners.
    PoisonRefusals,
    /// Calls to plain services.
    ServiceCalls,
    /// Claims taken.
    ClaimsTaken,
    /// Calls answered from a claim that had ended.
    ClaimsReplayed,
    /// Calls whose outcome is unknown.
    OutcomesUnknown,
    /// Configurations put in force.
    Configs,
    /// Older configurations that were refused.
    StaleConfigs,
    /// Orders given to runners.
    Orders,
    /// Orders refused by their fence.
    OrdersRefused,
    /// Calls taken in by the forwarder.
    Calls,
    /// Calls that no route or customer admits.
    CallsRejected,
    /// Calls that ended in an answer of this node's own.
    CallsGivenUp,
    /// Calls sent to upstreams, repeated ones included.
    UpstreamSends,
    /// Repeated sends that the budget did not allow.
    RetriesOverBudget,
    /// Engines asked whether they live.
    EngineProbes,
    /// Copies of runs that engines were asked for.
    CopiesAskedFor,
    /// Streams whose upstream was lost.
    StreamsLost,
    /// Streams that went on at another upstream.
    StreamsResumed,
    /// Streams that ended early.
    StreamsBrokenOff,
    /// Calls to the platform's store.
    StoreCalls,
    /// Log lines dropped because too many came at once.
    LogLinesDropped,
}

impl Counter {
    /// All counters, in the order of the list in the docs.
    pub const ALL: [Self; 33] = [
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
        Self::CallsGivenUp,
        Self::UpstreamSends,
        Self::RetriesOverBudget,
        Self::EngineProbes,
        Self::CopiesAskedFor,
        Self::StreamsLost,
        Self::StreamsResumed,
        Self::StreamsBrokenOff,
        Self::StoreCalls,
        Self::LogLinesDropped,
    ];

    /// Name and unit, as in `tokens_count` and `resume_ms`.
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
            Self::CallsGivenUp => "calls_given_up_count",
            Self::UpstreamSends => "upstream_sends_count",
            Self::RetriesOverBudget => "retries_over_budget_count",
            Self::EngineProbes => "engine_probes_count",
            Self::CopiesAskedFor => "copies_asked_for_count",
            Self::StreamsLost => "streams_lost_count",
            Self::StreamsResumed => "streams_resumed_count",
            Self::StreamsBrokenOff => "streams_broken_off_count",
            Self::StoreCalls => "store_calls_count",
            Self::LogLinesDropped => "log_lines_dropped_count",
        }
    }
}

/// One span of time whose distribution is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Span {
    /// From a plain call's arrival to its answer.
    PlainCall,
    /// From a stream's arrival to its first event.
    FirstEvent,
    /// Longest pause between two events of a stream.
    LongestPause,
    /// From the loss of a stream's upstream to its going on.
    Resume,
}

impl Span {
    /// All spans, in the order of the list in the docs.
    pub const ALL: [Self; 4] = [
        Self::PlainCall,
        Self::FirstEvent,
        Self::LongestPause,
        Self::Resume,
    ];

    /// Name and unit.
    pub fn name(self) -> &'static str {
        match self {
            Self::PlainCall => "plain_call_ms",
            Self::FirstEvent => "first_event_ms",
            Self::LongestPause => "longest_pause_ms",
            Self::Resume => "stream_resume_ms",
        }
    }
}

/// Longest time that a histogram tells apart from longer ones.
const SPAN_MAX_MS: u64 = 600_000;
/// Digits to which a histogram is exact.
const SPAN_DIGITS: u8 = 2;
/// Quantiles that are served.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

/// The counters and histograms of one node.
#[derive(Debug)]
pub struct Metrics {
    values: [AtomicU64; Counter::ALL.len()],
    spans: [Mutex<Option<Histogram<u32>>>; Span::ALL.len()],
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            values: std::array::from_fn(|_| AtomicU64::new(0)),
            spans: std::array::from_fn(|_| Mutex::new(None)),
        }
    }
}

impl Metrics {
    /// Adds to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.values[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Reads a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Notes how long something took.
    pub fn record(&self, span: Span, took: Duration) {
        let mut kept = self.span(span);
        // Made when first needed, since each takes some kilobytes.
        if kept.is_none() {
            *kept = Histogram::new_with_max(SPAN_MAX_MS, SPAN_DIGITS).ok();
        }
        if let Some(histogram) = kept.as_mut() {
            histogram.saturating_record(took.as_millis() as u64);
        }
    }

    /// All counters and quantiles as text, a line each.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for counter in Counter::ALL {
            text += &format!("{PREFIX}_{} {}\n", counter.name(), self.get(counter));
        }
        for span in Span::ALL {
            let kept = self.span(span);
            let Some(histogram) = kept.as_ref() else {
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

    fn span(&self, span: Span) -> MutexGuard<'_, Option<Histogram<u32>>> {
        self.spans[span as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands what is added to a StatsD collector until the task is dropped.
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
                let added = total - delivered[counter as usize];
                delivered[counter as usize] = total;
                // A collector that is away loses counts, never requests.
                let _ = client.count(counter.name(), added as i64);
            }
        }
    }
}
