//! Compares policies by which a node chooses the engine for a prompt, and ways to
//! resume streams after the failure of their engines, in a simulation.
//!
//! A stream is on time if it completes and its caller waits neither too long for
//! the first event nor too long between two events.

use std::io;
use std::time::Duration;

use crate::observe::report::Report;
use crate::observe::sample::Sample;
use crate::simulation::engine::EngineProfile;
use crate::simulation::simulator::{
    Placement, ResumeMethod, Scenario, SimulationResult, Simulator,
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

/// Compares placement policies at the usual load and at about two and three
/// times that load.
pub(crate) fn measure_placement(seed: u64) -> io::Result<Report> {
    let columns = [
        "placement",
        "streams_per_s",
        "first_p50_ms",
        "first_p99_ms",
        "on_time_%",
    ];
    let mut report = Report::new("prompts placed on 24 engines by 7 nodes (model)", &columns);
    for streams_per_s in [6.2, 12.5, 18.7] {
        for placement in [
            Placement::OwnFirst,
            Placement::KnownTokens,
            Placement::FewestCalls,
            Placement::Random,
        ] {
            let scenario = Scenario {
                streams_per_s,
                placement,
                ..kestrel_scenario()
            };
            let totals = Totals::of_runs(&scenario, seed);
            report.push([
                format!("{placement:?}"),
                format!("{streams_per_s}"),
                totals.time_to_first_event.quantile(0.5),
                totals.time_to_first_event.quantile(0.99),
                totals.on_time_percent(),
            ]);
        }
    }
    Ok(report)
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
    stream_count: u64,
    on_time_count: u64,
    recomputed_tokens: u64,
}

impl Totals {
    fn of_runs(scenario: &Scenario, seed: u64) -> Self {
        let mut totals = Self::default();
        for run in 0..RUN_COUNT {
            totals.add(&Simulator::run(scenario.clone(), seed + run));
        }
        totals
    }

    fn add(&mut self, result: &SimulationResult) {
        self.recomputed_tokens += result.recomputed_tokens;
        for stream in &result.streams {
            self.stream_count += 1;
            self.on_time_count += u64::from(is_on_time(stream));
            if let Some(time) = stream.time_to_first_event() {
                self.time_to_first_event.add_ms(time.as_secs_f64() * 1e3);
            }
            self.longest_pause
                .add_ms(stream.longest_pause.as_secs_f64() * 1e3);
        }
    }

    fn on_time_percent(&self) -> String {
        let share = self.on_time_count as f64 / self.stream_count.max(1) as f64;
        format!("{:.1}", share * 1e2)
    }
}

fn is_on_time(stream: &Stream) -> bool {
    let time_to_first_event = stream.time_to_first_event();
    stream.is_complete
        && stream.longest_pause <= PAUSE_MAX
        && time_to_first_event.is_some_and(|time| time <= FIRST_EVENT_MAX)
}
