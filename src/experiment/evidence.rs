//! Cost of the evidence on what crashes upstreams: processor time of a node, its
//! memory, and the bytes that tell other nodes of a crash.

use std::hint::black_box;
use std::time::{Duration, Instant};

use prost::Message;

use crate::membership::announcement::to_record;
use crate::membership::crash_announcement::{from_clearance, from_crash};
use crate::observe::process_usage::ProcessUsage;
use crate::observe::report::Report;
use crate::policy::crash_evidence::{Clearance, Crash, Incarnation};
use crate::policy::crash_time::CrashTime;
use crate::policy::poison_detector::PoisonDetector;

/// Numbers of known crashes; a node keeps no more than the last.
const CRASH_COUNTS: [u64; 5] = [0, 1, 16, 64, 256];
/// Shared parts of each prompt.
const PART_COUNT: u64 = 4;
/// Verdicts of which the mean is taken.
const VERDICT_COUNT: u32 = 100_000;
/// Evaluations of which the mean is taken.
const EVALUATION_COUNT: u32 = 50;
/// Detectors of which the mean memory is taken.
const DETECTOR_COUNT: u64 = 200;
/// Time between two crashes, as in an outage of a data centre.
const CRASH_INTERVAL: Duration = Duration::from_millis(20);

/// Measures one detector for each number of crashes.
pub(crate) fn measure_evidence() -> Report {
    let columns = [
        "crashes",
        "verdict_ns",
        "evaluation_us",
        "memory_kb",
        "crash_bytes",
        "clearance_bytes",
    ];
    let mut report = Report::new("evidence on what crashes upstreams, one node", &columns);
    for crash_count in CRASH_COUNTS {
        report.push([
            crash_count.to_string(),
            format!("{:.0}", verdict_time(crash_count).as_secs_f64() * 1e9),
            format!("{:.1}", evaluation_time(crash_count).as_secs_f64() * 1e6),
            format!("{:.1}", memory_bytes(crash_count) as f64 / 1e3),
            to_record(&from_crash(&crash(0)), Duration::ZERO)
                .encoded_len()
                .to_string(),
            to_record(&from_clearance(clearance()), Duration::ZERO)
                .encoded_len()
                .to_string(),
        ]);
    }
    report
}

/// The crash of an upstream under a request whose first part all requests share.
fn crash(number: u64) -> Crash {
    let own_parts = (1..PART_COUNT).map(|part| number * PART_COUNT + part + 1);
    Crash {
        upstream: Incarnation {
            id: format!("i-{number:010x}"),
            born_unix_ms: crate::clock::unix_ms(),
        },
        request: u64::MAX - number,
        parts: [0].into_iter().chain(own_parts).collect(),
        was_writing: true,
        time: CrashTime::IMMEDIATE,
        version: crate::clock::unix_ms(),
    }
}

fn clearance() -> Clearance {
    Clearance {
        feature: u64::MAX,
        up_to: crate::clock::unix_ms(),
        longest: CrashTime::IMMEDIATE,
    }
}

/// A detector, and the time at which it got its last crash.
fn detector(crash_count: u64) -> (PoisonDetector, Instant) {
    let mut detector = PoisonDetector::default();
    let mut now = Instant::now();
    for number in 0..crash_count {
        now += CRASH_INTERVAL;
        detector.record_crash(crash(number), now);
    }
    (detector, now)
}

/// Time of a verdict on a request that shares nothing with those that crashed
/// upstreams.
fn verdict_time(crash_count: u64) -> Duration {
    let (mut detector, now) = detector(crash_count);
    let features: Vec<u64> = (1..=PART_COUNT + 1).map(|n| u64::MAX / 2 + n).collect();
    let began_at = Instant::now();
    for _ in 0..VERDICT_COUNT {
        black_box(detector.verdict(black_box(&features), now));
    }
    began_at.elapsed() / VERDICT_COUNT
}

/// Time of an evaluation after a change.
fn evaluation_time(crash_count: u64) -> Duration {
    let (mut detector, mut now) = detector(crash_count);
    let mut spent = Duration::ZERO;
    for number in 0..EVALUATION_COUNT {
        now += Duration::from_secs(1);
        let up_to = u64::from(number) + 1;
        detector.apply_clearance(
            Clearance {
                up_to,
                ..clearance()
            },
            now,
        );
        let began_at = Instant::now();
        black_box(detector.verdict(&[], now));
        spent += began_at.elapsed();
    }
    spent / EVALUATION_COUNT
}

fn memory_bytes(crash_count: u64) -> u64 {
    let before = ProcessUsage::now().memory_bytes;
    let detectors: Vec<PoisonDetector> = (0..DETECTOR_COUNT)
        .map(|_| detector(crash_count).0)
        .collect();
    let used = ProcessUsage::now().memory_bytes.saturating_sub(before);
    black_box(detectors);
    used / DETECTOR_COUNT
}
