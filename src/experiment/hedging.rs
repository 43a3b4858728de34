//! Compares when plain calls are sent a second time, in a simulation.
//!
//! A call is on time if its answer comes within [`ON_TIME_MAX`].

use std::io;
use std::time::Duration;

use crate::observe::report::Report;
use crate::observe::sample::Sample;
use crate::policy::retry_budget_share::RetryLimits;
use crate::simulation::hedging::{HedgeResult, HedgeScenario, HedgeSimulator, SecondSend, Trouble};

/// Simulation runs per row. Run `n` uses the seed `seed + n`.
const RUN_COUNT: u64 = 3;
/// Longest time to an answer on time.
const ON_TIME_MAX: Duration = Duration::from_millis(100);
/// The fleet-wide retry budget of the reference deployments.
const RETRY_LIMITS: RetryLimits = RetryLimits {
    ratio: 0.8,
    slack: 150.0,
    window: Duration::from_secs(10),
};

/// Compares no second sends, those after 200 ms, and hedges within three limits.
pub(crate) fn measure_hedging(seed: u64) -> io::Result<Report> {
    let columns = [
        "trouble",
        "second_send",
        "p50_ms",
        "p99_ms",
        "p99.9_ms",
        "on_time_%",
        "extra_%",
        "hedges_%",
        "trouble_extra_%",
        "trouble_hedges_%",
        "onset_extra",
    ];
    let mut report = Report::new("plain calls sent a second time (model)", &columns);
    for trouble in [
        Trouble::Calm,
        Trouble::OneSlow,
        Trouble::SlowInTurn,
        Trouble::ThirdSilent,
        Trouble::AllSlow,
        Trouble::TwoModes,
        Trouble::Overload,
    ] {
        for second_send in [
            SecondSend::Never,
            SecondSend::Fixed,
            SecondSend::Hedge(0.01),
            SecondSend::Hedge(0.03),
            SecondSend::Hedge(0.05),
        ] {
            let scenario = HedgeScenario {
                trouble,
                second_send,
                retry: RETRY_LIMITS,
            };
            let totals = Totals::of_runs(scenario, seed);
            report.push([
                format!("{trouble:?}"),
                format!("{second_send:?}"),
                totals.answer_times.quantile(0.5),
                totals.answer_times.quantile(0.99),
                totals.answer_times.quantile(0.999),
                percent(totals.on_time_count, totals.call_count),
                percent(totals.extra_send_count, totals.call_count),
                percent(totals.hedge_count, totals.call_count),
                percent(totals.trouble_extra_send_count, totals.trouble_call_count),
                percent(totals.trouble_hedge_count, totals.trouble_call_count),
                totals.onset_extra_send_count.to_string(),
            ]);
        }
    }
    Ok(report)
}

/// Results of all runs of one scenario, which give one row of the table. The times are
/// those of answered calls; a call that is given up is not on time.
#[derive(Debug, Default)]
struct Totals {
    answer_times: Sample,
    call_count: u64,
    on_time_count: u64,
    extra_send_count: u64,
    hedge_count: u64,
    trouble_hedge_count: u64,
    trouble_call_count: u64,
    trouble_extra_send_count: u64,
    onset_extra_send_count: u64,
}

impl Totals {
    fn of_runs(scenario: HedgeScenario, seed: u64) -> Self {
        let mut totals = Self::default();
        for run in 0..RUN_COUNT {
            totals.add(&HedgeSimulator::run(scenario, seed + run));
        }
        totals
    }

    fn add(&mut self, result: &HedgeResult) {
        for time in &result.answer_times {
            self.answer_times.add_ms(time.as_secs_f64() * 1e3);
            self.on_time_count += u64::from(*time <= ON_TIME_MAX);
        }
        self.call_count += result.call_count;
        self.extra_send_count += result.extra_send_count;
        self.hedge_count += result.hedge_count;
        self.trouble_hedge_count += result.trouble_hedge_count;
        self.trouble_call_count += result.trouble_call_count;
        self.trouble_extra_send_count += result.trouble_extra_send_count;
        self.onset_extra_send_count += result.onset_extra_send_count;
    }
}

fn percent(count: u64, of: u64) -> String {
    format!("{:.2}", count as f64 / of.max(1) as f64 * 1e2)
}
