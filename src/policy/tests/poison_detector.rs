use std::time::{Duration, Instant};

use crate::policy::crash_evidence::{Clearance, Crash, Incarnation, SUSPECT_PARTS_MAX};
use crate::policy::crash_time::{CrashTime, Survival};
use crate::policy::poison_detector::{PoisonDetector, Verdict};

/// The first part of most prompts.
const COMMON: u64 = 1_001;
/// A part that some sound prompts have.
const RARE: u64 = 1_002;
/// A part that crashes each upstream.
const CRASHING: u64 = 1_003;
const DELAY: Duration = Duration::from_secs(1);

/// Features of a request with these parts.
fn features(request: u64, parts: &[u64]) -> Vec<u64> {
    [&[request], parts].concat()
}

fn start_of(id: &str, born_unix_ms: u64) -> Incarnation {
    Incarnation {
        id: id.to_owned(),
        born_unix_ms,
    }
}

/// A detector, and the time since its start.
struct Scene {
    detector: PoisonDetector,
    now: Instant,
    next_upstream: u64,
}

impl Scene {
    /// A detector at a node that served prompts with the common and the rare part before.
    fn new() -> Self {
        let now = Instant::now();
        let mut detector = PoisonDetector::default();
        detector.record_sound_parts(&[COMMON, RARE], now);
        Self {
            detector,
            now,
            next_upstream: 0,
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    /// A crash of an upstream that had no crash before.
    fn crash(&mut self, request: u64, parts: &[u64]) -> Crash {
        self.next_upstream += 1;
        let upstream = format!("e-{}", self.next_upstream);
        self.crash_of(&upstream, request, parts, true)
    }

    fn crash_of(
        &mut self,
        upstream: &str,
        request: u64,
        parts: &[u64],
        was_writing: bool,
    ) -> Crash {
        let crash = Crash {
            upstream: start_of(upstream, 1),
            request,
            parts: parts.to_vec(),
            was_writing,
            time: CrashTime::IMMEDIATE,
            version: 1_000 + self.next_upstream,
        };
        self.detector.record_crash(crash.clone(), self.now);
        crash
    }

    /// A crash of an upstream that had written the answer for this time.
    fn late_crash(&mut self, request: u64, parts: &[u64], written: Duration) {
        self.next_upstream += 1;
        let crash = Crash {
            upstream: start_of(&format!("e-{}", self.next_upstream), 1),
            request,
            parts: parts.to_vec(),
            was_writing: true,
            time: CrashTime::of(written),
            version: 1_000 + self.next_upstream,
        };
        self.detector.record_crash(crash, self.now);
    }

    /// Crashes half a second apart.
    fn crashes(&mut self, parts_by_request: &[(u64, &[u64])]) {
        for (request, parts) in parts_by_request {
            self.crash(*request, parts);
            self.wait(Duration::from_millis(500));
        }
    }

    fn survival(&mut self, request: u64, parts: &[u64]) -> Vec<Clearance> {
        self.survival_of(request, parts, Duration::from_millis(500))
    }

    /// A run that goes on for this time.
    fn survival_of(&mut self, request: u64, parts: &[u64], time: Duration) -> Vec<Clearance> {
        let began_at = self.now;
        self.wait(time);
        let features = features(request, parts);
        let survival = Survival::of_running(began_at, self.now).expect("it went on");
        self.detector.record_survival(&features, survival, self.now)
    }

    fn verdict(&mut self, request: u64, parts: &[u64]) -> Verdict {
        self.detector.verdict(&features(request, parts), self.now)
    }

    fn is_refused(&mut self, request: u64, parts: &[u64]) -> bool {
        self.verdict(request, parts) != Verdict::Allowed
    }
}

#[test]
fn a_request_is_poison_at_the_third_crashed_upstream_and_each_counts_once() {
    let mut scene = Scene::new();

    for upstream in ["a", "b", "b", "a"] {
        scene.crash_of(upstream, 7, &[], false);
        scene.wait(Duration::from_millis(500));
    }
    assert!(!scene.is_refused(7, &[]));

    scene.crash_of("c", 7, &[], false);
    assert!(matches!(
        scene.verdict(7, &[]),
        Verdict::CrashesUpstreams(_)
    ));
    assert!(!scene.is_refused(8, &[]));
}

/// A harmless request is running when engines of several data centres crash, and
/// goes on in between.
#[test]
fn a_request_that_went_on_is_cleared() {
    let mut scene = Scene::new();

    scene.crashes(&[(7, &[]), (7, &[])]);
    scene.survival(7, &[]);
    scene.crashes(&[(7, &[]), (7, &[])]);

    assert!(!scene.is_refused(7, &[]));
}

#[test]
fn a_part_that_crashes_is_told_from_the_parts_beside_it_by_sound_runs() {
    let mut scene = Scene::new();

    scene.crashes(&[
        (1, &[COMMON, CRASHING]),
        (2, &[COMMON, RARE, CRASHING]),
        (3, &[COMMON, CRASHING]),
    ]);
    assert!(
        !scene.is_refused(4, &[COMMON, RARE]),
        "not all of the suspects"
    );
    scene.survival(5, &[COMMON]);
    scene.wait(DELAY);

    assert!(matches!(
        scene.verdict(6, &[CRASHING]),
        Verdict::SharesFeatures(_)
    ));
    assert!(scene.is_refused(6, &[RARE, CRASHING]));
    for parts in [&[COMMON][..], &[RARE], &[COMMON, RARE]] {
        assert!(!scene.is_refused(6, parts), "{parts:?}");
    }
}

/// Three requests had crashed three engines each before the part was convicted.
#[test]
fn crashes_under_single_requests_count_against_the_part_that_they_share() {
    let mut scene = Scene::new();

    for request in 1..=3 {
        for _ in 0..3 {
            scene.crashes(&[(request, &[COMMON, CRASHING])]);
        }
    }
    scene.survival(9, &[COMMON]);

    assert!(scene.is_refused(10, &[CRASHING]));
    assert!(!scene.is_refused(10, &[COMMON]));
}

/// Sound streams run at the engines that a crashing part takes down.
#[test]
fn a_call_that_waited_is_no_suspect_where_another_was_being_answered() {
    let mut scene = Scene::new();

    for n in 0..5_u64 {
        let crash = scene.crash(n, &[CRASHING]);
        scene.crash_of(&crash.upstream.id, 100 + n, &[COMMON, RARE], false);
        scene.wait(Duration::from_millis(700));
    }
    scene.wait(DELAY);

    assert!(scene.is_refused(10, &[CRASHING]));
    assert!(!scene.is_refused(10, &[COMMON, RARE]));
}

/// Of twelve engines that crash together, four had requests with one part.
#[test]
fn the_loss_of_a_data_centre_convicts_no_part() {
    let mut scene = Scene::new();

    for n in 0..12_u64 {
        let part = if n < 4 { RARE } else { 2_000 + n };
        scene.crash(n, &[part]);
    }
    scene.wait(DELAY);

    assert!(!scene.is_refused(20, &[RARE]));
}

/// Four parts crash engines at the same time, so that none has most of the crashes.
#[test]
fn several_parts_that_crash_at_once_are_all_found() {
    let mut scene = Scene::new();

    for moment in 0..4_u64 {
        for part in 0..4_u64 {
            scene.crash(10 * moment + part, &[COMMON, CRASHING + part]);
            scene.wait(Duration::from_millis(10));
        }
        scene.wait(Duration::from_millis(600));
    }
    scene.survival(100, &[COMMON]);
    scene.wait(DELAY);

    for part in 0..4 {
        assert!(scene.is_refused(101, &[COMMON, CRASHING + part]), "{part}");
    }
    assert!(!scene.is_refused(101, &[COMMON]));
}

#[test]
fn the_loss_of_many_upstreams_does_not_end_a_conviction() {
    let mut scene = Scene::new();
    scene.crashes(&[(1, &[CRASHING]), (2, &[CRASHING]), (3, &[CRASHING])]);
    scene.wait(DELAY);
    assert!(scene.is_refused(4, &[CRASHING]));

    for n in 0..1_000 {
        scene.crash(100 + n, &[2_000 + n]);
    }
    scene.wait(DELAY);

    assert!(scene.is_refused(4, &[CRASHING]));
}

#[test]
fn a_conviction_that_bars_other_requests_waits_for_sound_runs() {
    let mut scene = Scene::new();

    scene.crashes(&[(1, &[COMMON]), (2, &[COMMON]), (3, &[COMMON])]);
    assert!(!scene.is_refused(4, &[COMMON]));
    scene.survival(4, &[COMMON]);
    scene.wait(DELAY);

    assert!(!scene.is_refused(5, &[COMMON]));
}

/// Each failed trial makes the next one wait longer, and a sound one ends it.
#[test]
fn a_conviction_ends_by_a_trial_at_growing_intervals() {
    let mut scene = Scene::new();
    scene.crashes(&[(1, &[CRASHING]), (2, &[CRASHING]), (3, &[CRASHING])]);

    let mut intervals_s = Vec::new();
    for request in 4..7 {
        scene.wait(DELAY);
        let Verdict::SharesFeatures(wait) = scene.verdict(request, &[CRASHING]) else {
            panic!("refused until the trial");
        };
        intervals_s.push((wait + DELAY).as_secs());
        scene.wait(wait);
        let Verdict::TrialDue(key) = scene.verdict(request, &[CRASHING]) else {
            panic!("a trial is due");
        };
        scene.detector.begin_trial(key, scene.now);
        assert!(matches!(
            scene.verdict(request + 10, &[CRASHING]),
            Verdict::SharesFeatures(_)
        ));
        if request < 6 {
            scene.crash(request, &[CRASHING]);
        } else {
            scene.survival(request, &[CRASHING]);
        }
    }

    assert_eq!(intervals_s, vec![5, 48, 384]);
    assert!(!scene.is_refused(20, &[CRASHING]));
}

/// Announcements reach nodes in any order, and more than once.
#[test]
fn the_order_of_crashes_and_clearances_does_not_matter() {
    let clearance = Clearance {
        feature: COMMON,
        up_to: 1_002,
        longest: CrashTime::IMMEDIATE,
    };
    for clearance_at in 0..=3 {
        let mut scene = Scene::new();
        for n in 0..=3 {
            if n == clearance_at {
                scene.detector.apply_clearance(clearance, scene.now);
                scene.detector.apply_clearance(clearance, scene.now);
            }
            scene.crashes(&[(n, &[COMMON])]);
        }
        scene.wait(DELAY);

        assert!(!scene.is_refused(9, &[COMMON]), "cleared at {clearance_at}");
        scene.crashes(&[(8, &[COMMON])]);
        scene.wait(DELAY);
        assert!(scene.is_refused(9, &[COMMON]), "cleared at {clearance_at}");
    }
}

/// A part that was sound before is found too, since the others are sound after it.
#[test]
fn the_parts_that_were_least_lately_in_sound_prompts_are_suspects_first() {
    let mut scene = Scene::new();
    let company: Vec<u64> = (2_000..3_000).collect();
    scene.detector.record_sound_parts(&[CRASHING], scene.now);
    scene.wait(DELAY);
    scene.detector.record_sound_parts(&company, scene.now);
    let parts = [&[CRASHING], company.as_slice(), &[RARE]].concat();

    let suspects = scene.detector.suspect_parts(parts);

    assert_eq!(suspects.len(), SUSPECT_PARTS_MAX);
    assert_eq!(suspects[..3], [RARE, CRASHING, 2_999]);
}

/// Guards against runs that clear the part of earlier crashes, though they end in one as late.
#[test]
fn a_late_crash_is_refuted_only_by_runs_that_go_on_for_longer() {
    let mut scene = Scene::new();
    let crash_time = Duration::from_millis(880);
    for request in 1..=3 {
        scene.late_crash(request, &[COMMON, CRASHING], crash_time);
        scene.survival_of(10 + request, &[CRASHING], crash_time);
    }
    scene.survival_of(20, &[COMMON], 2 * crash_time);
    scene.wait(DELAY);

    assert!(scene.is_refused(30, &[COMMON, CRASHING]));
    assert!(scene.is_refused(30, &[CRASHING]));
    assert!(!scene.is_refused(30, &[COMMON]));
}

/// Guards against a sound part that is convicted since long streams run wherever a data centre
/// is lost: three losses, of which each ends eight streams that had gone on for a second or two.
#[test]
fn the_loss_of_data_centres_under_long_streams_convicts_no_part() {
    let mut scene = Scene::new();

    for loss in 0..3_u64 {
        for n in 0..8_u64 {
            let written = Duration::from_millis(600 + 200 * n);
            scene.late_crash(100 * loss + n, &[COMMON], written);
            scene.wait(Duration::from_millis(40));
        }
        scene.survival_of(90, &[COMMON], Duration::from_secs(4));
        assert!(!scene.is_refused(91, &[COMMON]), "loss {loss}");
        scene.wait(Duration::from_millis(2_700));
    }
}

/// Guards against a late crash for which a sound call is blamed that had just begun there, and
/// against blaming sound streams that were under way.
#[test]
fn calls_that_had_begun_and_those_under_way_are_suspects_until_sound_runs_clear_them() {
    for (crashing_time, sound_time) in [(0, 1_000), (1_000, 0)] {
        let mut scene = Scene::new();
        for n in 0..5_u64 {
            let crash = Crash {
                time: CrashTime::of(Duration::from_millis(crashing_time)),
                ..scene.crash(n, &[])
            };
            let sound = Crash {
                request: 100 + n,
                parts: vec![RARE],
                time: CrashTime::of(Duration::from_millis(sound_time)),
                ..crash.clone()
            };
            let crash = Crash {
                request: 200 + n,
                parts: vec![CRASHING],
                ..crash
            };
            scene.detector.record_crash(crash, scene.now);
            scene.detector.record_crash(sound, scene.now);
            scene.wait(Duration::from_millis(700));
        }
        scene.survival_of(50, &[RARE], Duration::from_secs(4));

        assert!(
            scene.is_refused(10, &[CRASHING]),
            "after {crashing_time} ms"
        );
        assert!(!scene.is_refused(10, &[RARE]), "beside {sound_time} ms");
    }
}

/// Guards against crashes that are counted by ids where upstreams come back under these, and
/// against a crash that counts twice because a node of an earlier build does not tell the start.
#[test]
fn each_start_of_an_upstream_counts_once() {
    let mut scene = Scene::new();
    let starts = [("a", 1), ("a", 0), ("b", 0), ("b", 1), ("a", 2), ("b", 2)];
    let mut refused = Vec::new();
    for (request, (id, born)) in (1..).zip(starts) {
        let crash = Crash {
            upstream: start_of(id, born),
            ..scene.crash(request, &[RARE])
        };
        let parts = vec![CRASHING];
        scene
            .detector
            .record_crash(Crash { parts, ..crash }, scene.now);
        scene.wait(2 * DELAY);
        refused.push(scene.is_refused(20, &[CRASHING]));
    }

    assert_eq!(refused, [false, false, false, false, true, true]);
}

/// Guards against nodes that know nothing of a conviction after all of them were killed, and
/// against one that they would never try again.
#[test]
fn a_conviction_holds_after_a_restart_with_the_crashes_from_the_store() {
    let mut scene = Scene::new();
    for request in 1..=30 {
        let crash_time = Duration::from_millis(880);
        scene.late_crash(request, &[COMMON, CRASHING], crash_time);
        scene.wait(Duration::from_millis(700));
    }
    scene.survival_of(40, &[COMMON], Duration::from_secs(4));
    let stored = scene.detector.convicting_crashes(scene.now);

    let mut restarted = Scene::new();
    restarted.wait(Duration::from_secs(100));
    for (crash, age) in &stored {
        restarted
            .detector
            .record_crash(crash.clone(), restarted.now - *age);
    }

    assert!(stored.len() <= 24, "{} crashes", stored.len());
    for parts in [&[CRASHING][..], &[COMMON, CRASHING], &[COMMON], &[RARE]] {
        let before = scene.verdict(50, parts);
        assert_eq!(restarted.verdict(50, parts), before, "{parts:?}");
    }
    assert!(restarted.is_refused(50, &[CRASHING]));
    restarted.wait(Duration::from_secs(6));
    assert!(matches!(
        restarted.verdict(50, &[CRASHING]),
        Verdict::TrialDue(_)
    ));
}

/// Guards against a node whose clock is ahead, or was until it jumped back, whose sound run
/// clears the part of crashes that nodes with a correct clock see later.
#[test]
fn a_clearance_by_a_clock_that_is_ahead_clears_no_later_crash() {
    const AHEAD_MS: u64 = 8_000;
    let mut scene = Scene::new();
    let first = scene.crash(1, &[CRASHING]);
    let ahead = Crash {
        upstream: start_of("ahead", 1),
        version: first.version + AHEAD_MS,
        ..first.clone()
    };
    scene.detector.record_crash(ahead.clone(), scene.now);
    let clearance = Clearance {
        feature: CRASHING,
        up_to: ahead.version,
        longest: CrashTime::IMMEDIATE,
    };
    scene.detector.apply_clearance(clearance, scene.now);

    for request in 2..=4_u64 {
        scene.wait(Duration::from_millis(500));
        let crash = Crash {
            upstream: start_of("correct", request),
            request,
            version: scene.detector.next_version(first.version + 500 * request),
            ..first.clone()
        };
        scene.detector.record_crash(crash, scene.now);
    }
    scene.wait(DELAY);

    assert!(scene.is_refused(10, &[CRASHING]));
}

/// Guards against a sound part of short streams that nothing clears of the losses of data centres:
/// a whole answer goes on for no longer than such a stream can.
#[test]
fn whole_answers_clear_the_crashes_of_streams_of_their_length() {
    let mut scene = Scene::new();

    for loss in 0..4 {
        scene.late_crash(loss, &[COMMON], Duration::from_millis(940));
        scene.late_crash(10 + loss, &[COMMON], Duration::from_millis(800));
        scene.wait(Duration::from_millis(100));
        let began_at = scene.now;
        scene.wait(Duration::from_millis(960));
        let survival = Survival::of_whole_answer(began_at, scene.now);
        let features = features(50, &[COMMON]);
        scene
            .detector
            .record_survival(&features, survival, scene.now);
        scene.wait(Duration::from_secs(6));
        assert!(!scene.is_refused(60, &[COMMON]), "loss {loss}");
    }
}

/// Guards against a crashing part that is sent on while a part of most sound prompts is convicted
/// of its crashes, and explains them, until sound runs clear that.
#[test]
fn a_part_of_many_sound_prompts_does_not_hide_the_part_that_crashes() {
    let mut scene = Scene::new();
    for n in 1..=4_u64 {
        let crashed = format!("e-{n}");
        if n > 1 {
            scene.crash_of(&crashed, n, &[CRASHING], true);
        }
        scene.crash_of(&crashed, 10 + n, &[COMMON], true);
        scene.wait(Duration::from_millis(600));
    }
    scene.wait(DELAY);

    assert!(scene.is_refused(21, &[CRASHING]));
    assert!(!scene.is_refused(22, &[COMMON]));
}

/// Guards against runs that clear a part of late crashes and then crash themselves, only later.
#[test]
fn runs_under_a_part_that_had_no_whole_answer_do_not_clear_it_before_they_crash() {
    let mut scene = Scene::new();
    for n in 1..=4_u64 {
        scene.late_crash(n, &[CRASHING], Duration::from_millis(890));
        scene.wait(Duration::from_millis(600));
    }

    for n in 5..=7 {
        let written = Duration::from_millis(2_300);
        scene.survival_of(n, &[CRASHING], written);
        scene.late_crash(n, &[CRASHING], written);
        assert!(scene.is_refused(20, &[CRASHING]));
        scene.wait(Duration::from_millis(100));
    }
    scene.survival_of(8, &[CRASHING], Duration::from_secs(5));
    scene.wait(DELAY);
    assert!(!scene.is_refused(21, &[CRASHING]));
}
