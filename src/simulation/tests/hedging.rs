use std::time::Duration;

use crate::policy::retry_budget_share::RetryLimits;
use crate::simulation::hedging::{HedgeResult, HedgeScenario, HedgeSimulator, SecondSend, Trouble};

const SEED: u64 = 1;

fn run(trouble: Trouble, second_send: SecondSend) -> HedgeResult {
    let retry = RetryLimits {
        ratio: 0.8,
        slack: 150.0,
        window: Duration::from_secs(10),
    };
    let scenario = HedgeScenario {
        trouble,
        second_send,
        retry,
    };
    HedgeSimulator::run(scenario, SEED)
}

fn quantile(result: &HedgeResult, quantile: f64) -> Duration {
    let mut times = result.answer_times.clone();
    times.sort_unstable();
    times[(times.len() as f64 * quantile) as usize]
}

/// Guards against extra sends that keep an overloaded service overloaded.
#[test]
fn hedges_fall_to_nothing_while_a_service_is_overloaded() {
    let result = run(Trouble::Overload, SecondSend::Hedge(0.05));

    let share = result.trouble_extra_send_count as f64 / result.trouble_call_count as f64;
    assert!(share < 0.001, "{share}");
}

/// Guards against extra sends where each upstream is as slow as the others.
#[test]
fn hedges_fall_to_nothing_while_all_upstreams_are_slow() {
    let result = run(Trouble::AllSlow, SecondSend::Hedge(0.05));

    let share = result.trouble_hedge_count as f64 / result.trouble_call_count as f64;
    assert!(share < 0.005, "{share}");
}

/// Guards against calls that leave slow upstreams as if these were silent.
#[test]
fn fewer_calls_leave_slow_upstreams_than_after_a_fixed_time() {
    let fixed = run(Trouble::AllSlow, SecondSend::Fixed);

    let result = run(Trouble::AllSlow, SecondSend::Hedge(0.05));

    assert!(result.trouble_extra_send_count * 2 < fixed.trouble_extra_send_count);
}

/// Guards against hedges that cost work and save no time.
#[test]
fn hedges_within_the_limit_shorten_the_slowest_answers() {
    let without = run(Trouble::TwoModes, SecondSend::Never);
    let hedged = run(Trouble::TwoModes, SecondSend::Hedge(0.05));

    let share = hedged.hedge_count as f64 / hedged.call_count as f64;
    assert!(share <= 0.051, "{share}");
    assert!(quantile(&hedged, 0.99) < quantile(&without, 0.99).mul_f64(0.9));
    assert!(quantile(&hedged, 0.999) < quantile(&without, 0.999).mul_f64(0.9));
}

/// Guards against calls that wait for silent upstreams because hedges are withheld.
#[test]
fn calls_leave_silent_upstreams_though_their_hedges_have_a_limit() {
    let hedged = run(Trouble::ThirdSilent, SecondSend::Hedge(0.01));

    let answer_count = hedged.answer_times.len() as u64;
    assert!(
        hedged.call_count - answer_count <= 2,
        "{answer_count} of {}",
        hedged.call_count
    );
}
