//! Placement of prompts and ways to go on after a loss, on the model of engines.

use std::io;
use std::time::Duration;

use crate::observe::report::Report;
use crate::observe::sample::Sample;
use crate::simulation::engine::EngineProfile;
use crate::simulation::simulator::{
    Placement, ResumeMethod, Scenario, SimulationResult, Simulator,
};
use crate::simulation::stream::Stream;

/// Plays of each row, from seeds that follow the one given.
const PLAYS: u64 = 5;
/// Longest wait for a first event that is on time.
const FIRST_EVENT_MAX: Duration = Duration::from_millis(4_500);
/// Longest pause between events that is on time.
const PAUSE_MAX: Duration = Duration::from_millis(700);
/// When the first data centre is lost.
const LOST_AT: Duration = Duration::from_secs(20);
/// How long it stays lost.
const LOST_FOR: Duration = Duration::from_millis(1_200);

/// Compares ways to place prompts, at the usual load and at a burst.
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
            let plan = Scenario {
                streams_per_s,
                placement,
                ..usual_plan()
            };
            let figures = Figures::of(&plan, seed);
            report.push([
                format!("{placement:?}"),
                format!("{streams_per_s}"),
                figures.first_event.quantile(0.5),
                figures.first_event.quantile(0.99),
                figures.on_time_percent(),
            ]);
        }
    }
    Ok(report)
}

/// Compares ways to go on when a third of the engines die at once.
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
            let plan = Scenario {
                placement,
                resume,
                outage: Some((LOST_AT, LOST_FOR)),
                ..usual_plan()
            };
            let figures = Figures::of(&plan, seed);
            report.push([
                format!("{resume:?}"),
                format!("{placement:?}"),
                figures.on_time_percent(),
                figures.pause.quantile(0.99),
                (figures.reread_tokens / PLAYS).to_string(),
            ]);
        }
    }
    Ok(report)
}

/// The engines and the load of Kestrel's deployment of seven nodes.
fn usual_plan() -> Scenario {
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

#[derive(Debug, Default)]
struct Figures {
    first_event: Sample,
    pause: Sample,
    stream_count: u64,
    on_time_count: u64,
    reread_tokens: u64,
}

impl Figures {
    fn of(plan: &Scenario, seed: u64) -> Self {
        let mut figures = Self::default();
        for play in 0..PLAYS {
            figures.add(&Simulator::run(plan.clone(), seed + play));
        }
        figures
    }

    fn add(&mut self, outcome: &SimulationResult) {
        self.reread_tokens += outcome.recomputed_tokens;
        for stream in &outcome.streams {
            self.stream_count += 1;
            self.on_time_count += u64::from(is_on_time(stream));
            if let Some(after) = stream.time_to_first_event() {
                self.first_event.add_ms(after.as_secs_f64() * 1e3);
            }
            self.pause.add_ms(stream.longest_pause.as_secs_f64() * 1e3);
        }
    }

    fn on_time_percent(&self) -> String {
        let share = self.on_time_count as f64 / self.stream_count.max(1) as f64;
        format!("{:.1}", share * 1e2)
    }
}

fn is_on_time(stream: &Stream) -> bool {
    let first = stream.time_to_first_event();
    stream.is_complete
        && stream.longest_pause <= PAUSE_MAX
        && first.is_some_and(|after| after <= FIRST_EVENT_MAX)
}
