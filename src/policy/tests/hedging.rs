use std::time::{Duration, Instant};

use crate::policy::engine_speed::SpeedEstimate;
use crate::policy::hedging::{
    AnswerTimes, HedgeAllowance, HedgePlan, Withheld, choose_target, is_in_same_trouble,
};
use crate::policy::placement::Candidate;

const SHARE: f64 = 0.03;
const ANSWER_INTERVAL: Duration = Duration::from_millis(100);

/// Times of answers that arrive every 100 ms from `start` on.
fn answer_times(start: Instant, answers_ms: impl IntoIterator<Item = u64>) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for (number, ms) in (0_u32..).zip(answers_ms) {
        times.record(Duration::from_millis(ms), start + ANSWER_INTERVAL * number);
    }
    times
}

/// Hundred answers of 10 to 19 ms, every tenth of which takes 200 ms instead.
fn two_modes() -> impl Iterator<Item = u64> {
    (0..100).map(|n| if n % 10 == 0 { 200 } else { 10 + n % 10 })
}

fn plan_at(times: &mut AnswerTimes, at: Instant) -> Result<HedgePlan, Withheld> {
    times.plan(SHARE, at)
}

fn candidate(id: &str, latency_ms: u64) -> Candidate<'_> {
    Candidate {
        id,
        data_centre: "a",
        pending_prompt_tokens: 0,
        kv_cache_tokens: 0,
        call_count: 0,
        latency: Duration::from_millis(latency_ms),
        failure_share: 0.0,
        is_avoided: false,
        was_tried: false,
        is_assigned: false,
        speed: SpeedEstimate::default(),
    }
}

/// Guards against a hedge so late that nothing of a slow answer is left to save: the 97th
/// percentile lies inside the slow tenth.
#[test]
fn with_two_modes_the_hedge_starts_where_the_slow_one_begins() {
    let start = Instant::now();
    let mut times = answer_times(start, two_modes());

    let plan = plan_at(&mut times, start + Duration::from_secs(10)).expect("a plan");

    assert_eq!(plan.delay, Duration::from_millis(19));
    assert_eq!(plan.remaining, Duration::from_millis(181));
}

/// Guards against hedges to an upstream that would take as long as the first.
#[test]
fn no_hedge_is_sent_if_all_answers_take_equally_long() {
    let start = Instant::now();
    let mut times = answer_times(start, (0..100).map(|n| 300 + n % 10));

    let plan = plan_at(&mut times, start + Duration::from_secs(10));

    assert_eq!(plan, Err(Withheld::SmallGain));
}

/// Guards against hedges that add to an overload.
#[test]
fn no_hedge_is_sent_while_all_upstreams_are_slow_and_they_return_afterwards() {
    let start = Instant::now();
    let slow = two_modes().map(|ms| ms * 5);
    let mut times = answer_times(start, two_modes().chain(slow));
    let trouble_end = start + Duration::from_secs(20);

    let in_trouble = plan_at(&mut times, trouble_end);
    for (number, ms) in (0_u32..).zip(two_modes()) {
        let at = trouble_end + ANSWER_INTERVAL * number;
        times.record(Duration::from_millis(ms), at);
    }
    let after = plan_at(&mut times, trouble_end + Duration::from_secs(10));

    assert_eq!(in_trouble, Err(Withheld::AllSlow));
    assert!(after.is_ok(), "{after:?}");
}

/// Guards against a service that became slower for good and is never hedged again.
#[test]
fn answers_that_stay_slower_become_the_usual_ones() {
    let start = Instant::now();
    let slower = (0..25).flat_map(|_| two_modes()).map(|ms| ms * 5);
    let mut times = answer_times(start, two_modes().chain(slower));

    let plan = plan_at(&mut times, start + Duration::from_secs(260));

    assert!(plan.is_ok(), "{plan:?}");
}

/// Guards against hedges on a guess after a start, and against waiting for hundred answers
/// on a route with ten a minute.
#[test]
fn a_node_hedges_from_the_twentieth_answer_on() {
    let start = Instant::now();
    let mut few = answer_times(start, two_modes().take(19));
    let mut enough = answer_times(start, two_modes().take(20));
    let now = start + Duration::from_secs(2);

    assert_eq!(plan_at(&mut few, now), Err(Withheld::FewSamples));
    let plan = plan_at(&mut enough, now).expect("a plan");
    assert!(plan.quantile <= 0.9, "{plan:?}");
}

/// Guards against a panic or old answers in use where a VM stood still or its clock jumped.
#[test]
fn answers_are_dropped_after_a_jump_forward_and_kept_after_one_back() {
    let start = Instant::now() + Duration::from_secs(3_600);
    let mut times = answer_times(start, two_modes());

    let back = plan_at(&mut times, start - Duration::from_secs(3_600));
    let forward = plan_at(&mut times, start + Duration::from_secs(3_600));

    assert_eq!(back.expect("a plan").oldest_age, Duration::ZERO);
    assert_eq!(forward, Err(Withheld::FewSamples));
}

/// Guards against a burst of slow answers that uses up more than the operators' limit.
#[test]
fn hedges_stay_within_the_limit_in_every_burst() {
    let mut allowance = HedgeAllowance::new(0.5);
    let mut spend_all = |calls: u32| {
        (0..calls).for_each(|_| allowance.record_call(SHARE));
        (0..calls).filter(|_| allowance.try_spend()).count()
    };

    let bursts = [spend_all(10), spend_all(10_000), spend_all(10)];

    assert_eq!(bursts, [0, 2, 0]);
}

/// Guards against a limit that is used up in part only, or passed, in steady load.
#[test]
fn steady_hedges_reach_the_limit() {
    let mut allowance = HedgeAllowance::new(0.0);
    let hedged = (0..10_000).filter(|_| {
        allowance.record_call(SHARE);
        allowance.try_spend()
    });

    let count = hedged.count();

    assert!((299..=300).contains(&count), "{count}");
}

/// Guards against calls that leave upstreams as silent while all are slow, and against
/// calls that wait for a silent upstream because others were silent before.
#[test]
fn a_call_leaves_a_silent_upstream_later_where_answers_are_slow_but_not_much_later() {
    let start = Instant::now();
    let latency = Duration::from_millis(20);
    let patience = |answer_ms| answer_times(start, [answer_ms; 100]).silence_patience(latency);

    let patiences = [patience(15), patience(300), patience(2_000)];

    assert_eq!(patiences, [200, 600, 800].map(Duration::from_millis));
}

/// Guards against hedges to an upstream that fails fast, and so looks like the quickest, or
/// is full, slow, or unknown.
#[test]
fn the_target_is_the_quickest_upstream_that_is_sound() {
    let candidates = [
        Candidate {
            failure_share: 0.4,
            ..candidate("fails-fast", 1)
        },
        Candidate {
            is_avoided: true,
            ..candidate("full", 2)
        },
        Candidate {
            was_tried: true,
            ..candidate("first", 3)
        },
        candidate("unknown", 0),
        candidate("slow", 300),
        candidate("sound", 20),
    ];
    let remaining = Duration::from_millis(180);

    let chosen = choose_target(&candidates, "a", remaining, 7);

    assert_eq!(chosen, Some(5));
    assert_eq!(choose_target(&candidates[..5], "a", remaining, 7), None);
}

/// Guards against a hedge from one silent upstream to another.
#[test]
fn an_upstream_that_owes_an_answer_as_well_is_in_the_same_trouble() {
    let waited = Duration::from_millis(100);

    assert!(is_in_same_trouble(Duration::from_millis(90), waited));
    assert!(!is_in_same_trouble(Duration::from_millis(20), waited));
}
