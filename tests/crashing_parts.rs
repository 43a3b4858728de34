//! Prompts with a part that crashes each engine which begins to write an answer on
//! it, whatever else they hold, beside sound prompts that share their other parts.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use support::edge_environment::TestEnvironment;
use support::edge_environment::caller::Caller;
use support::edge_environment::engine::CRASHING_PART;
use tokio::task::JoinHandle;

/// Time after which all nodes know what one of them saw.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes under a part from which the bounds count.
const COUNTED_CRASHES: usize = 5;
/// Number of requests with the part that may reach engines later than
/// [`CONTACT_TIME`] after the last counted crash.
const LATE_ARRIVALS_MAX: usize = 3;
const NODE_COUNT: usize = 4;
const ENGINE_COUNT: usize = 16;
const ENGINE_DOWN_TIME: Duration = Duration::from_millis(700);
/// Time during which the crashing part is sent.
const CRASHING_TIME: Duration = Duration::from_secs(14);

static NEXT_OWN_PART: AtomicU64 = AtomicU64::new(1);

/// A sound request, and whether it was served in full.
#[derive(Clone, Copy, Debug)]
struct SoundRequest {
    sent_at: Instant,
    is_served: bool,
}

/// Sends a request whose prompt has these parts and one of its own, and reads the
/// whole answer. Returns whether it was complete.
async fn send_prompt(caller: &Caller, shared_parts: &str, events: u64) -> bool {
    let own = NEXT_OWN_PART.fetch_add(1, Ordering::Relaxed);
    let headers = format!(
        "x-zinniawing-prefix-hash: {shared_parts}f{own:x}:600\r\n\
         x-zinniawing-deadline-ms: 6000\r\nx-zinniawing-token-usage: 800,{events}\r\n"
    );
    let path = format!("/chat/{own}");
    let answer = caller.call("POST", &path, &headers).await;
    answer.is_complete && answer.event_ids() == (1..=events).collect::<Vec<u64>>()
}

/// Sends a request with a crashing part to the nodes in turn, every `interval`.
fn send_crashing_parts(
    callers: &[Caller],
    prompts: &'static [&'static str],
    interval: Duration,
) -> JoinHandle<()> {
    let callers = callers.to_vec();
    tokio::spawn(async move {
        for n in 0.. {
            let caller = callers[n % callers.len()].clone();
            let shared_parts = prompts[n % prompts.len()];
            tokio::spawn(async move { send_prompt(&caller, shared_parts, 20).await });
            tokio::time::sleep(interval).await;
        }
    })
}

/// Sends sound requests to the nodes in turn until `is_over` is set.
fn send_sound_parts(
    callers: &[Caller],
    prompts: &'static [&'static str],
    is_over: &Arc<AtomicBool>,
) -> JoinHandle<Vec<SoundRequest>> {
    let (callers, is_over) = (callers.to_vec(), is_over.clone());
    tokio::spawn(async move {
        let mut sent = Vec::new();
        for n in 0.. {
            if is_over.load(Ordering::Relaxed) {
                break;
            }
            let caller = callers[n % callers.len()].clone();
            let shared_parts = prompts[n % prompts.len()];
            let sent_at = Instant::now();
            let sending = tokio::spawn(async move { send_prompt(&caller, shared_parts, 60).await });
            sent.push((sent_at, sending));
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        let mut requests = Vec::new();
        for (sent_at, sending) in sent {
            let is_served = sending.await.expect("no panic");
            requests.push(SoundRequest { sent_at, is_served });
        }
        requests
    })
}

fn served_share(requests: &[SoundRequest], is_counted: impl Fn(Instant) -> bool) -> f64 {
    let counted: Vec<bool> = requests
        .iter()
        .filter(|request| is_counted(request.sent_at))
        .map(|request| request.is_served)
        .collect();
    assert!(counted.len() >= 20, "{} requests counted", counted.len());
    counted.iter().filter(|is_served| **is_served).count() as f64 / counted.len() as f64
}

/// Times at which prompts with a part of this name arrived at engines.
fn arrivals(environment: &TestEnvironment, part: &str) -> Vec<Instant> {
    let runs = environment.engines.iter().flat_map(|engine| engine.runs());
    let parts = |run: &support::edge_environment::engine::EngineRun| {
        run.request
            .header("x-zinniawing-prefix-hash")
            .map(str::to_owned)
    };
    runs.filter(|run| parts(run).is_some_and(|parts| parts.contains(part)))
        .map(|run| run.started_at)
        .collect()
}

fn part_crashes(environment: &TestEnvironment) -> Vec<Instant> {
    let engines = environment.engines.iter();
    let mut crashes: Vec<Instant> = engines
        .flat_map(|engine| engine.part_crashes_of(CRASHING_PART))
        .collect();
    crashes.sort();
    crashes
}

/// Crashes all engines of one data centre every second and a half.
fn crash_a_data_centre_in_turn(environment: &TestEnvironment) -> JoinHandle<()> {
    let engines = environment.engines.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            for engine in engines.iter().skip(1).step_by(2) {
                if engine.down_time().is_none() {
                    engine.crash();
                }
            }
        }
    })
}

/// Sends prompts with a crashing part beside sound ones, while other engines crash too, and
/// checks how many of the first reach engines, and that the others are served.
async fn assert_part_is_found(crashing: &'static [&'static str], sound: &'static [&'static str]) {
    assert!(crashing.iter().all(|parts| parts.contains(CRASHING_PART)));
    let environment = TestEnvironment::start(ENGINE_COUNT).await;
    for engine in &environment.engines {
        *engine.prefill_time.lock().expect("unpoisoned") = Duration::from_millis(300);
        *engine.event_interval.lock().expect("unpoisoned") = Duration::from_millis(15);
    }
    let (_nodes, callers) = environment.start_ready_nodes(NODE_COUNT).await;
    let restarting = environment.restart_crashed_engines(ENGINE_DOWN_TIME);
    let is_over = Arc::new(AtomicBool::new(false));
    let sound = send_sound_parts(&callers, sound, &is_over);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let began_at = Instant::now();
    let crashing = send_crashing_parts(&callers, crashing, Duration::from_millis(150));
    let outages = crash_a_data_centre_in_turn(&environment);
    tokio::time::sleep(CRASHING_TIME).await;
    is_over.store(true, Ordering::Relaxed);
    let sound = sound.await.expect("no panic");
    crashing.abort();
    outages.abort();
    restarting.abort();

    let crashes = part_crashes(&environment);
    let counted_crash = *crashes.get(COUNTED_CRASHES - 1).unwrap_or(&began_at);
    let late = arrivals(&environment, CRASHING_PART);
    let late = late.iter().filter(|at| **at > counted_crash + CONTACT_TIME);
    let late_count = late.count();
    let share_before = served_share(&sound, |at| at < began_at);
    let share_after = served_share(&sound, |at| at > counted_crash + 2 * CONTACT_TIME);
    println!(
        "engines crashed {}, late arrivals {late_count}, sound share {share_before:.2} before and {share_after:.2} after",
        crashes.len()
    );
    assert!(
        late_count <= LATE_ARRIVALS_MAX,
        "{late_count} late arrivals"
    );
    assert!(share_after >= share_before / 2.0);
}

/// Each request differs, so no request crashes three engines and comes again. The
/// crashing part is the first, or stands behind parts that sound prompts have too.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_that_crashes_engines_reaches_three_at_most_and_sound_prompts_are_served() {
    const CRASHING: &[&str] = &["aa:200,dead0:300,", "aa:200,bb:50,dead0:300,", "dead0:300,"];
    const SOUND: &[&str] = &["aa:200,", "aa:200,bb:50,", "aa:200,cc:40,"];
    assert_part_is_found(CRASHING, SOUND).await;
}

/// A prompt with `count` parts that sound prompts have too, and the crashing one at `place`.
fn long_prompt(count: usize, place: Option<usize>) -> &'static str {
    let mut parts: Vec<String> = (1..=count).map(|n| format!("c{n:04}:20,")).collect();
    if let Some(place) = place {
        parts.insert(place, format!("{CRASHING_PART}0:40,"));
    }
    parts.concat().leak()
}

/// Guards against a crashing part that is never found because a prompt has many parts, of which
/// only the first were suspects.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crashing_part_is_found_among_any_number_of_parts_that_sound_prompts_share() {
    let crashing: Vec<&str> = [16, 100, 400]
        .into_iter()
        .flat_map(|count| [0, count / 2, count].map(|place| long_prompt(count, Some(place))))
        .collect();
    let sound = [16, 100, 400].map(|count| long_prompt(count, None));
    assert_part_is_found(crashing.leak(), Vec::from(sound).leak()).await;
}
