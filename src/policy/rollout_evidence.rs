//! Judges a new software version by comparing its answers with those of the old version on
//! the same routes, in the same time. `docs/design/rollouts.md` describes the rules.

use std::collections::BTreeMap;
use std::time::Duration;

/// Name of a route in the configuration.
pub(crate) type RouteName = String;

/// Number of classes of a time, which are half octaves.
pub(crate) const TIME_CLASS_COUNT: usize = 28;
/// Upper bound of the first class of a time.
const FIRST_CLASS_MS: f64 = 4.0;
/// Classes above the old version's median from which on an answer counts as slow: at least
/// twice the median.
const SLOW_CLASSES: usize = 3;
/// Lowest class that counts as the old version's median. Differences below some
/// milliseconds come from the node itself.
const MEDIAN_CLASS_MIN: usize = 2;
/// Answers of the old version that are needed for its median.
const MEDIAN_ANSWERS_MIN: u32 = 10;
/// Weight of the assumption about a version of which no answers are known, in answers.
const PRIOR_ANSWERS: f64 = 25.0;
/// Bad answers that this weight assumes.
const PRIOR_BAD: f64 = 0.5;
/// Failures with which a version may count as bad.
const FAILURES_MIN: u32 = 4;
/// Slow answers with which a version may count as bad.
const SLOW_MIN: u32 = 6;
/// Answers that a version needs to be accepted.
const ANSWERS_MIN: u32 = 12;
/// Share of the old version's answers from which on a route needs an answer of the new
/// version before that is accepted.
const ROUTE_SHARE_MIN: f64 = 0.1;
/// Additional rate of bad answers with which a version is still accepted.
const ACCEPTED_EXCESS: f64 = 0.05;
/// Additional rate on one route, of which fewer answers are known.
const ACCEPTED_ROUTE_EXCESS: f64 = 0.2;

/// Which of the versions of a service an answer came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Side {
    /// Any version but the target.
    Old,
    /// The version to which the service is to be moved.
    Target,
}

/// Number of measured times in each class.
pub(crate) type TimeClasses = [u32; TIME_CLASS_COUNT];

/// How many answers came from one side on one route, and how they were.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    /// Answers, failures included.
    pub(crate) answer_count: u32,
    pub(crate) failure_count: u32,
    /// Times to the answer, or to the first event of a stream.
    pub(crate) times: TimeClasses,
    /// Mean times between the first events of streams.
    pub(crate) gaps: TimeClasses,
}

impl Tally {
    /// Adds another tally.
    pub(crate) fn add(&mut self, other: &Self) {
        self.answer_count = self.answer_count.saturating_add(other.answer_count);
        self.failure_count = self.failure_count.saturating_add(other.failure_count);
        add_classes(&mut self.times, &other.times);
        add_classes(&mut self.gaps, &other.gaps);
    }
}

fn add_classes(sum: &mut TimeClasses, added: &TimeClasses) {
    for (sum, added) in sum.iter_mut().zip(added) {
        *sum = sum.saturating_add(*added);
    }
}

/// Class of a time.
fn time_class(time: Duration) -> usize {
    let octaves = (time.as_secs_f64() * 1_000.0 / FIRST_CLASS_MS).log2();
    let class = (octaves * 2.0).floor() + 1.0;
    // A time below the first bound gives a negative number, or minus infinity.
    (class.max(0.0) as usize).min(TIME_CLASS_COUNT - 1)
}

/// How one send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// An answer came, or a stream began, after this time.
    Answered(Duration),
    /// The answer was a server error, or broke off.
    Failed,
}

/// The answers of both versions of a service, by route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Evidence {
    pub(crate) tallies: BTreeMap<(RouteName, Side), Tally>,
}

impl Evidence {
    /// Records how one send ended.
    pub(crate) fn record(&mut self, route: &str, side: Side, outcome: Outcome) {
        let tally = self.tally(route, side);
        tally.answer_count += 1;
        match outcome {
            Outcome::Answered(time) => tally.times[time_class(time)] += 1,
            Outcome::Failed => tally.failure_count += 1,
        }
    }

    /// Records that a stream broke off after it had begun, which was recorded as an answer.
    pub(crate) fn record_broken(&mut self, route: &str, side: Side) {
        let tally = self.tally(route, side);
        tally.failure_count += 1;
        tally.answer_count = tally.answer_count.max(tally.failure_count);
    }

    /// Records the mean time between the first events of a stream.
    pub(crate) fn record_gap(&mut self, route: &str, side: Side, gap: Duration) {
        self.tally(route, side).gaps[time_class(gap)] += 1;
    }

    /// Adds what another node counted.
    pub(crate) fn add(&mut self, other: &Self) {
        for ((route, side), tally) in &other.tallies {
            self.tally(route, *side).add(tally);
        }
    }

    /// Sum over all routes.
    pub(crate) fn total(&self, side: Side) -> Tally {
        let mut total = Tally::default();
        let of_side = self.tallies.iter().filter(|((_, s), _)| *s == side);
        of_side.for_each(|(_, tally)| total.add(tally));
        total
    }

    /// Whether the target is bad beyond doubt, for the reason returned.
    pub(crate) fn alarm(&self) -> Option<String> {
        let total = alarm_of(&self.total(Side::Old), &self.total(Side::Target));
        let total = total.map(|cause| format!("{cause} in sum"));
        total.or_else(|| {
            let mut alarms = self.by_route().into_iter().filter_map(|(route, old, new)| {
                alarm_of(&old, &new).map(|cause| format!("{cause} on route {route}"))
            });
            alarms.next()
        })
    }

    /// Why the target can't be accepted, if it can't.
    pub(crate) fn objection(&self) -> Option<String> {
        if let Some(alarm) = self.alarm() {
            return Some(alarm);
        }
        let (old, new) = (self.total(Side::Old), self.total(Side::Target));
        if new.answer_count < ANSWERS_MIN {
            return Some(format!("only {} answers of the target", new.answer_count));
        }
        if has_excess(&old, &new, ACCEPTED_EXCESS) {
            return Some(format!("{} failures of the target", new.failure_count));
        }
        let mut objections = self
            .by_route()
            .into_iter()
            .filter_map(|(route, of_old, of_new)| {
                let share = f64::from(of_old.answer_count) / f64::from(old.answer_count.max(1));
                if share >= ROUTE_SHARE_MIN && of_new.answer_count == 0 {
                    return Some(format!("no answer of the target on route {route}"));
                }
                let is_worse = has_excess(&of_old, &of_new, ACCEPTED_ROUTE_EXCESS);
                is_worse.then(|| format!("{} failures on route {route}", of_new.failure_count))
            });
        objections.next()
    }

    fn tally(&mut self, route: &str, side: Side) -> &mut Tally {
        self.tallies.entry((route.to_owned(), side)).or_default()
    }

    /// The tallies of the old version and of the target on each route.
    fn by_route(&self) -> Vec<(&str, Tally, Tally)> {
        let mut routes: Vec<&str> = self
            .tallies
            .keys()
            .map(|(route, _)| route.as_str())
            .collect();
        routes.dedup();
        let of = |route: &str, side| {
            let tally = self.tallies.get(&(route.to_owned(), side));
            tally.cloned().unwrap_or_default()
        };
        let routes = routes.into_iter();
        routes
            .map(|route| (route, of(route, Side::Old), of(route, Side::Target)))
            .collect()
    }
}

/// Whether more than one answer failed, and at a rate clearly above the old version's.
fn has_excess(old: &Tally, new: &Tally, accepted: f64) -> bool {
    let rate = f64::from(new.failure_count) / f64::from(new.answer_count.max(1));
    let expected = rate_of(old.failure_count, old.answer_count);
    new.failure_count > 1 && rate > 2.0 * expected + accepted
}

fn alarm_of(old: &Tally, new: &Tally) -> Option<String> {
    let old_rate = rate_of(old.failure_count, old.answer_count);
    if exceeds(new.failure_count, new.answer_count, old_rate, FAILURES_MIN) {
        let (failed, all) = (new.failure_count, new.answer_count);
        return Some(format!("{failed} of {all} answers failed"));
    }
    let of_times = slow_alarm(&old.times, &new.times).map(|cause| format!("{cause} answers slow"));
    of_times
        .or_else(|| slow_alarm(&old.gaps, &new.gaps).map(|cause| format!("{cause} streams slow")))
}

/// Compares the parts of both distributions above each bound that is well above the old
/// median.
fn slow_alarm(old: &TimeClasses, new: &TimeClasses) -> Option<String> {
    let old_count: u32 = old.iter().sum();
    let new_count: u32 = new.iter().sum();
    if old_count < MEDIAN_ANSWERS_MIN {
        return None;
    }
    let first_slow = median_class(old, old_count).max(MEDIAN_CLASS_MIN) + SLOW_CLASSES;
    (first_slow..TIME_CLASS_COUNT).find_map(|bound| {
        let old_slow: u32 = old[bound..].iter().sum();
        let new_slow: u32 = new[bound..].iter().sum();
        let is_bad = exceeds(new_slow, new_count, rate_of(old_slow, old_count), SLOW_MIN);
        is_bad.then(|| format!("{new_slow} of {new_count}"))
    })
}

fn median_class(classes: &TimeClasses, count: u32) -> usize {
    let mut seen = 0;
    let is_median = |class: &u32| {
        seen += class;
        seen * 2 >= count
    };
    classes.iter().position(is_median).unwrap_or_default()
}

/// Rate of bad answers of the old version.
fn rate_of(bad_count: u32, answer_count: u32) -> f64 {
    (f64::from(bad_count) + PRIOR_BAD) / (f64::from(answer_count) + PRIOR_ANSWERS)
}

/// Whether so many bad answers can't be chance, or a moderate difference, at this rate.
fn exceeds(bad_count: u32, answer_count: u32, rate: f64, min_count: u32) -> bool {
    let expected = f64::from(answer_count) * rate;
    let limit = 2.0 * expected + 3.0 * expected.sqrt() + f64::from(min_count) - 1.0;
    bad_count >= min_count && f64::from(bad_count) > limit
}
