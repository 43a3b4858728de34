//! Compares policies by which a node chooses the engine for a prompt, and ways to
//! resume streams after the failure of their engines, in a simulation.
//!
//! A stream is on time if it completes and its caller waits neither too long for
//! the first event nor too long between two events.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use crate::observe::report::Report;
use crate::observe::sample::Sample;
use crate::policy::priority_class::PriorityClass;
use crate::simulation::engine::EngineProfile;
use crate::simulation::simulator::{
    Placement, RecurringLosses, ResumeMethod, Scenario, SimulationResult, Simulator, Slowdowns,
    StreamKind,
};
use crate::simulation::stream::Stream;

/// Simulation runs per row. Run `n` uses the seed `seed + n`.
const RUN_COUNT: u64 = 5;
/// Longest time from the request to the first event of a stream on time.
const FIRST_EVENT_MAX: Duration = Duration::from_millis(4_500);
/// Longest pause between two events of a stream on time.
const PAUSE_MAX: Duration = Duration::from_millis(700);
/// Start of the outage of the first data centre.
const OUTAGE_START: Duration = Duration::from_secs(20);
/// Duration of that outage.
const OUTAGE_DURATION: Duration = Duration::from_millis(1_200);

/// Compares placement policies under the load of Kestrel, whose engines all have one speed, at
/// about two and three times that load, and under the loads of workloads (a) and (b).
pub(crate) fn measure_placement(seed: u64) -> io::Result<Report> {
    let columns = [
        "load",
        "streams_per_s",
        "placement",
        "first_p50_ms",
        "first_p99_ms",
        "took_p50_ms",
        "took_p90_ms",
        "on_time_%",
        "least_urgent_on_time_%",
    ];
    let mut report = Report::new("prompts placed on engines by nodes (model)", &columns);
    for (load, scenario) in placement_loads() {
        for placement in [
            Placement::ExpectedTime,
            Placement::OwnFirst,
            Placement::KnownTokens,
            Placement::FewestCalls,
            Placement::Random,
        ] {
            let scenario = Scenario {
                placement,
                ..scenario.clone()
            };
            let totals = Totals::of_runs(&scenario, seed);
            report.push([
                load.to_owned(),
                scenario.streams_per_s.to_string(),
                format!("{placement:?}"),
                totals.time_to_first_event.quantile(0.5),
                totals.time_to_first_event.quantile(0.99),
                totals.duration.quantile(0.5),
                totals.duration.quantile(0.9),
                totals.on_time_percent(),
                totals.on_time_percent_of(scenario.kinds.len() - 1),
            ]);
        }
    }
    Ok(report)
}

fn placement_loads() -> Vec<(&'static str, Scenario)> {
    let kestrel = [6.2, 12.5, 18.7].map(|streams_per_s| Scenario {
        streams_per_s,
        ..kestrel_scenario()
    });
    let kestrel = kestrel.map(|scenario| ("kestrel", scenario));
    let mut loads = Vec::from(kestrel);
    loads.push(("a", one_speed_scenario()));
    loads.push(("b", uneven_scenario()));
    loads
}

/// Compares ways to resume streams when one of three data centres fails and so a
/// third of the engines at once.
pub(crate) fn measure_losses(seed: u64) -> io::Result<Report> {
    let columns = [
        "resume",
        "placement",
        "on_time_%",
        "pause_p99_ms",
        "reread_tokens",
    ];
    let mut report = Report::new("a data centre's engines lost (model)", &columns);
    for resume in [ResumeMethod::Copy, ResumeMethod::ReadAgain] {
        for placement in [Placement::OwnFirst, Placement::Random] {
            let scenario = Scenario {
                placement,
                resume,
                outage: Some((OUTAGE_START, OUTAGE_DURATION)),
                ..kestrel_scenario()
            };
            let totals = Totals::of_runs(&scenario, seed);
            report.push([
                format!("{resume:?}"),
                format!("{placement:?}"),
                totals.on_time_percent(),
                totals.longest_pause.quantile(0.99),
                (totals.recomputed_tokens / RUN_COUNT).to_string(),
            ]);
        }
    }
    Ok(report)
}

/// The load of workload (a): many engines of one speed.
fn one_speed_scenario() -> Scenario {
    let kind = |priority, burst_factor, first_event_max_s| StreamKind {
        priority_class: PriorityClass::of_priority(priority),
        first_event_max: Duration::from_secs(first_event_max_s),
        burst_factor,
    };
    Scenario {
        profile: EngineProfile {
            decode_step: Duration::from_micros(6_080),
            prefill_tokens_per_ms: 8,
            prefill_chunk_tokens: 200,
            slot_count: 48,
            kv_cache_tokens: 88_000,
            tokens_per_event: 5,
        },
        losses: Some(RecurringLosses {
            interval: Duration::from_secs(7),
            duration: Duration::from_millis(1_200),
            share: (0.88, 0.99),
        }),
        kinds: vec![kind(0, 1.0, 4), kind(1, 2.3, 5), kind(2, 1.0, 10)],
        node_count: 67,
        engine_count: 120,
        data_centre_count: 4,
        streams_per_s: 28.0,
        answer_tokens: 650,
        ..kestrel_scenario()
    }
}

/// The load of workload (b): engines of two speeds, of which some are slow for a moment.
fn uneven_scenario() -> Scenario {
    Scenario {
        speeds: vec![0.55, 1.2, 1.2, 1.2],
        slowdowns: Some(Slowdowns {
            interval: Duration::from_secs(4),
            duration: Duration::from_millis(600),
            share: 0.15,
            factor: 2.5,
        }),
        node_count: 59,
        engine_count: 180,
        streams_per_s: 48.0,
        answer_tokens: 600,
        ..one_speed_scenario()
    }
}

/// The load and the engines of Kestrel, one of the reference deployments.
fn kestrel_scenario() -> Scenario {
    Scenario {
        profile: EngineProfile {
            decode_step: Duration::from_micros(3_790),
            prefill_tokens_per_ms: 8,
            prefill_chunk_tokens: 512,
            slot_count: 64,
            kv_cache_tokens: 88_000,
            tokens_per_event: 7,
        },
        speeds: vec![1.0],
        slowdowns: None,
        losses: None,
        kinds: vec![StreamKind {
            priority_class: PriorityClass::LAST,
            first_event_max: FIRST_EVENT_MAX,
            burst_factor: 1.0,
        }],
        node_count: 7,
        engine_count: 24,
        data_centre_count: 3,
        streams_per_s: 6.2,
        arrival_duration: Duration::from_secs(48),
        prompt_tokens: 8_200,
        answer_tokens: 980,
        outage: None,
        placement: Placement::OwnFirst,
        resume: ResumeMethod::Copy,
    }
}

/// Results of all runs of one scenario, which give one row of a table.
#[derive(Debug, Default)]
struct Totals {
    time_to_first_event: Sample,
    longest_pause: Sample,
    duration: Sample,
    /// Streams and streams on time, by kind.
    by_kind: BTreeMap<usize, (u64, u64)>,
    stream_count: u64,
    on_time_count: u64,
    recomputed_tokens: u64,
}

impl Totals {
    fn of_runs(scenario: &Scenario, seed: u64) -> Self {
        let mut totals = Self::default();
        for run in 0..RUN_COUNT {
            totals.add(scenario, &Simulator::run(scenario.clone(), seed + run));
        }
        totals
    }

    fn add(&mut self, scenario: &Scenario, result: &SimulationResult) {
        self.recomputed_tokens += result.recomputed_tokens;
        for stream in &result.streams {
            self.stream_count += 1;
            let is_on_time = is_on_time(scenario, stream);
            self.on_time_count += u64::from(is_on_time);
            let of_kind = self.by_kind.entry(stream.kind).or_default();
            of_kind.0 += 1;
            of_kind.1 += u64::from(is_on_time);
            if let Some(time) = stream.duration() {
                self.duration.add_ms(time.as_secs_f64() * 1e3);
            }
            if let Some(time) = stream.time_to_first_event() {
                self.time_to_first_event.add_ms(time.as_secs_f64() * 1e3);
            }
            self.longest_pause
                .add_ms(stream.longest_pause.as_secs_f64() * 1e3);
        }
    }

    fn on_time_percent(&self) -> String {
        percent(self.on_time_count, self.stream_count)
    }

    fn on_time_percent_of(&self, kind: usize) -> String {
        let (count, on_time_count) = self.by_kind.get(&kind).copied().unwrap_or_default();
        percent(on_time_count, count)
    }
}

fn percent(part: u64, whole: u64) -> String {
    format!("{:.1}", part as f64 / whole.max(1) as f64 * 1e2)
}

fn is_on_time(scenario: &Scenario, stream: &Stream) -> bool {
    let first_event_max = scenario.kinds[stream.kind].first_event_max;
    let time_to_first_event = stream.time_to_first_event();
    stream.is_complete
        && stream.longest_pause <= PAUSE_MAX
        && time_to_first_event.is_some_and(|time| time <= first_event_max)
}
