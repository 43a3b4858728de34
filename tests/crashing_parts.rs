//! Prompts with a part that crashes each engine which begins to write an answer on
//! it, whatever else they hold, beside sound prompts that share their other parts.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use support::edge_environment::caller::Caller;
use support::edge_environment::engine::CRASHING_PART;
use support::edge_environment::silent_links::set_cut;
use support::edge_environment::{KillableNode, NodeSpec, TestEnvironment, eventually};
use tokio::task::JoinHandle;

/// Time after which all nodes know what one of them saw.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes under a part from which the bounds count.
const COUNTED_CRASHES: usize = 5;
/// Number of requests with the part that may reach engines later than
/// [`CONTACT_TIME`] after the last counted crash.
const LATE_ARRIVALS_MAX: usize = 3;
const NODE_COUNT: usize = 4;
/// Port at which nodes listen to each other.
const PEER_PORT: u16 = 7340;
const ENGINE_COUNT: usize = 16;
const ENGINE_DOWN_TIME: Duration = Duration::from_millis(700);
/// Time during which the crashing part is sent.
const CRASHING_TIME: Duration = Duration::from_secs(14);
/// Minimum time for which prompts are sent after the last counted crash. The fifth crash may be a
/// trial that comes late, and at least 20 sound prompts must follow 6 s after it.
const TIME_AFTER_COUNTED_CRASH: Duration = Duration::from_secs(9);
/// Time between two crashes of a data centre.
const OUTAGE_INTERVAL: Duration = Duration::from_millis(1_500);

static NEXT_OWN_PART: AtomicU64 = AtomicU64::new(1);

/// What is sent, and which other trouble there is.
#[derive(Clone, Copy, Debug)]
struct Scene {
    /// Shared parts of the prompts that crash engines.
    crashing: &'static [&'static str],
    /// Shared parts of the sound prompts.
    sound: &'static [&'static str],
    /// Events of the answers to the crashing prompts, and to the sound ones.
    events: (u64, u64),
    crash_interval: Duration,
    sound_interval: Duration,
    /// Time between two crashes of a data centre, if there are any.
    outage_interval: Option<Duration>,
    engine_count: usize,
    /// Engines come back under the ids that they had.
    has_stable_ids: bool,
    /// Engines fall silent for this time and leave their connections open, if it is set.
    silence: Option<Duration>,
    /// Nodes are cut off from each other for this time when the crashing part is first sent.
    peer_cut: Option<Duration>,
    /// Minimum time during which the crashing part is sent.
    duration: Duration,
}

impl Scene {
    fn new(crashing: &'static [&'static str], sound: &'static [&'static str]) -> Self {
        Self {
            crashing,
            sound,
            events: (20, 60),
            crash_interval: Duration::from_millis(150),
            sound_interval: Duration::from_millis(60),
            outage_interval: Some(OUTAGE_INTERVAL),
            engine_count: ENGINE_COUNT,
            has_stable_ids: false,
            silence: None,
            peer_cut: None,
            duration: CRASHING_TIME,
        }
    }
}

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

/// Sends requests with a crashing part to the nodes in turn.
fn send_crashing_parts(callers: &[Caller], scene: Scene) -> JoinHandle<()> {
    let callers = callers.to_vec();
    tokio::spawn(async move {
        for n in 0.. {
            let caller = callers[n % callers.len()].clone();
            let shared_parts = scene.crashing[n % scene.crashing.len()];
            tokio::spawn(async move { send_prompt(&caller, shared_parts, scene.events.0).await });
            tokio::time::sleep(scene.crash_interval).await;
        }
    })
}

/// Sends sound requests to the nodes in turn until `is_over` is set.
fn send_sound_parts(
    callers: &[Caller],
    scene: Scene,
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
            let shared_parts = scene.sound[n % scene.sound.len()];
            let sent_at = Instant::now();
            let sending =
                tokio::spawn(
                    async move { send_prompt(&caller, shared_parts, scene.events.1).await },
                );
            sent.push((sent_at, sending));
            tokio::time::sleep(scene.sound_interval).await;
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

/// Checks how many prompts with the crashing part arrived at engines too late after the last
/// counted crash.
fn assert_few_late_arrivals(environment: &TestEnvironment, counted_crash: Instant) {
    let late = arrivals(environment, CRASHING_PART).into_iter();
    let late_count = late.filter(|at| *at > counted_crash + CONTACT_TIME).count();
    println!(
        "engines crashed {}, late arrivals {late_count}",
        part_crashes(environment).len()
    );
    assert!(
        late_count <= LATE_ARRIVALS_MAX,
        "{late_count} late arrivals"
    );
}

/// Crashes all engines of one data centre again and again.
fn crash_a_data_centre_in_turn(
    environment: &TestEnvironment,
    interval: Option<Duration>,
) -> JoinHandle<()> {
    let engines = environment.engines.clone();
    tokio::spawn(async move {
        let Some(interval) = interval else {
            return;
        };
        loop {
            tokio::time::sleep(interval).await;
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
async fn assert_part_is_found(scene: Scene) {
    let mut crashing = scene.crashing.iter();
    assert!(crashing.all(|parts| parts.contains(CRASHING_PART)));
    let environment = TestEnvironment::start(scene.engine_count).await;
    for engine in &environment.engines {
        *engine.prefill_time.lock().expect("unpoisoned") = Duration::from_millis(300);
        *engine.event_interval.lock().expect("unpoisoned") = Duration::from_millis(15);
        let is_silent = scene.silence.is_some();
        engine.crashes_silently.store(is_silent, Ordering::Relaxed);
    }
    let (_nodes, callers) = environment.start_ready_nodes(NODE_COUNT).await;
    let peers = callers.iter().map(|caller| caller.address.ip());
    let peers: Vec<SocketAddr> = peers.map(|ip| (ip, PEER_PORT).into()).collect();
    let down_time = scene.silence.unwrap_or(ENGINE_DOWN_TIME);
    let restarting = if scene.has_stable_ids {
        environment.restart_crashed_engines_under_same_ids(down_time)
    } else {
        environment.restart_crashed_engines(down_time)
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let sound = send_sound_parts(&callers, scene, &is_over);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let began_at = Instant::now();
    let crashing = send_crashing_parts(&callers, scene);
    let outages = crash_a_data_centre_in_turn(&environment, scene.outage_interval);
    let cut_time = scene.peer_cut.unwrap_or_default();
    if scene.peer_cut.is_some() {
        assert!(set_cut(&peers, true) > 0, "no socket was cut");
        tokio::time::sleep(cut_time).await;
        set_cut(&peers, false);
    }
    let connected_at = Instant::now();
    tokio::time::sleep(scene.duration - cut_time).await;
    let fifth_crash = part_crashes(&environment)
        .get(COUNTED_CRASHES - 1)
        .copied()
        .unwrap_or(began_at);
    // The bounds hold for nodes that are connected.
    let counted_crash = match scene.peer_cut {
        Some(_) => fifth_crash.max(connected_at),
        None => fifth_crash,
    };
    let end = counted_crash + TIME_AFTER_COUNTED_CRASH;
    tokio::time::sleep_until(end.into()).await;
    is_over.store(true, Ordering::Relaxed);
    let sound = sound.await.expect("no panic");
    crashing.abort();
    outages.abort();
    restarting.abort();

    let crashes = part_crashes(&environment);
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
    assert_part_is_found(Scene::new(CRASHING, SOUND)).await;
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
    assert_part_is_found(Scene::new(crashing.leak(), Vec::from(sound).leak())).await;
}

/// Streams of up to two seconds, a crashing prompt every 0.3 s, and a data centre that crashes
/// every four.
fn long_streams(crashing: &'static [&'static str], sound: &'static [&'static str]) -> Scene {
    Scene {
        events: (120, 120),
        crash_interval: Duration::from_millis(300),
        outage_interval: Some(Duration::from_secs(4)),
        ..Scene::new(crashing, sound)
    }
}

/// Guards against crashes that count for nothing because they come over half a second after
/// the first event of the answer: 34 events take over 0.5 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_that_crashes_engines_just_over_500_ms_after_the_first_event() {
    const CRASHING: &[&str] = &[
        "aa:200,dead34:300,",
        "aa:200,bb:50,dead34:300,",
        "dead34:300,",
    ];
    const SOUND: &[&str] = &["aa:200,", "aa:200,bb:50,", "aa:200,cc:40,"];
    assert_part_is_found(long_streams(CRASHING, SOUND)).await;
}

/// Guards against runs that clear the part of earlier crashes though they end in one, since
/// they went on for half a second before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_that_crashes_engines_880_ms_after_the_first_event() {
    const CRASHING: &[&str] = &[
        "aa:200,dead52:300,",
        "aa:200,bb:50,dead52:300,",
        "dead52:300,",
    ];
    const SOUND: &[&str] = &["aa:200,", "aa:200,bb:50,", "aa:200,cc:40,"];
    assert_part_is_found(long_streams(CRASHING, SOUND)).await;
}

/// Few engines, which come back under the ids that they had.
fn stable_ids(engine_count: usize) -> Scene {
    Scene {
        crash_interval: Duration::from_millis(600),
        sound_interval: Duration::from_millis(90),
        outage_interval: None,
        engine_count,
        has_stable_ids: true,
        ..Scene::new(
            &["aa:200,dead0:300,", "dead0:300,"],
            &["aa:200,", "aa:200,cc:40,"],
        )
    }
}

/// Guards against crashes that are counted by the ids of engines: with two ids nothing reaches
/// the three crashes of a conviction.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_where_two_engines_come_back_under_the_same_ids() {
    assert_part_is_found(stable_ids(2)).await;
}

/// Guards against the same with three ids, of which each counts once in half an hour.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_where_three_engines_come_back_under_the_same_ids() {
    assert_part_is_found(stable_ids(3)).await;
}

/// Sends prompts with a crashing part to a node one after the other, where the first of two engines
/// comes back after `down_time`, and checks how many of them reach engines.
async fn assert_part_is_found_at_one_engine(is_other_down: bool, down_time: Duration) {
    const REQUEST_COUNT: usize = 12;
    const REQUEST_INTERVAL: Duration = Duration::from_millis(1_500);
    let environment = TestEnvironment::start(2).await;
    let (_node, caller) = environment.start_ready_node("n-0").await;
    if is_other_down {
        environment.engines[1].crash();
    }
    let restarting = environment.restart_under_same_id(0, down_time);
    let restarting_other =
        (!is_other_down).then(|| environment.restart_under_same_id(1, down_time));
    for _ in 0..REQUEST_COUNT {
        let caller = caller.clone();
        tokio::spawn(async move { send_prompt(&caller, "dead0:300,", 20).await });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    restarting.abort();
    restarting_other.iter().for_each(JoinHandle::abort);

    let crashes = part_crashes(&environment);
    assert!(crashes.len() >= 3, "{} crashes", crashes.len());
    let last_counted = crashes[COUNTED_CRASHES.min(crashes.len()) - 1];
    assert_few_late_arrivals(&environment, last_counted);
}

/// Guards against crashes that count for nothing because no other engine can be reached when
/// they are checked: the engine's return as a later start tells that it crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_that_crashes_the_only_engine_that_is_left() {
    assert_part_is_found_at_one_engine(true, ENGINE_DOWN_TIME).await;
}

/// Guards against crashes that count for nothing because the engine is back at its address when
/// they are checked.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_where_engines_are_back_at_once() {
    assert_part_is_found_at_one_engine(false, Duration::ZERO).await;
}

/// Engines that fall silent for this time before they come back.
fn silent_crashes(silence: Duration, has_stable_ids: bool) -> Scene {
    Scene {
        crash_interval: Duration::from_millis(600),
        outage_interval: None,
        has_stable_ids,
        silence: Some(silence),
        ..Scene::new(
            &["aa:200,dead0:300,", "dead0:300,"],
            &["aa:200,", "aa:200,cc:40,"],
        )
    }
}

/// Guards against crashes that count for nothing because they leave the connections open.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_that_silences_engines_which_return_under_new_ids() {
    assert_part_is_found(silent_crashes(Duration::from_secs(3), false)).await;
}

/// Guards against the same at engines that return under the ids that they had.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_that_silences_engines_which_return_under_the_same_ids() {
    assert_part_is_found(silent_crashes(Duration::from_secs(3), true)).await;
}

/// Guards against silent crashes that are known only once the engine is back: with 5 s of silence
/// five engines crash before the third crash is known.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_that_silences_engines_for_5_s_which_return_under_new_ids() {
    assert_part_is_found(silent_crashes(Duration::from_secs(5), false)).await;
}

/// Guards against silent crashes that are known only once the engine is back, after 5 s and under
/// the id that it had.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_that_silences_engines_for_5_s_which_return_under_the_same_ids() {
    assert_part_is_found(silent_crashes(Duration::from_secs(5), true)).await;
}

/// Guards against silent crashes that are known only after 8 s, close to the time for which a node
/// waits for a later start of a silent engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_that_silences_engines_for_8_s_which_return_under_new_ids() {
    assert_part_is_found(silent_crashes(Duration::from_secs(8), false)).await;
}

/// Guards against silent crashes that are known only after 8 s, at engines that return under the
/// ids that they had.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_that_silences_engines_for_8_s_which_return_under_the_same_ids() {
    assert_part_is_found(silent_crashes(Duration::from_secs(8), true)).await;
}

/// Guards against a crash that counts against a call whose silent upstream went on: a restart for
/// another reason, soon after, would make each of its parts a suspect. Three such calls at three
/// engines would convict their sound part.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_not_convicted_of_restarts_of_engines_that_went_on_after_a_silence() {
    const SOUND_PART: &str = "aa:200,";
    /// Events of a stream, so many that all three run when the engines fall silent.
    const EVENT_COUNT: u64 = 120;
    /// Over the 2 s of silence after which an engine is taken for lost.
    const SILENCE: Duration = Duration::from_millis(2_600);
    /// Beyond the time within which late crashes count as one.
    const RESTART_INTERVAL: Duration = Duration::from_millis(700);
    /// Beyond the time after which a conviction takes effect, and before its first trial.
    const CONVICTION_TIME: Duration = Duration::from_millis(2_500);
    let environment = TestEnvironment::start(3).await;
    let (_node, caller) = environment.start_ready_node("n-0").await;
    let mut streams = Vec::new();
    for n in 1..=environment.engines.len() {
        let caller = caller.clone();
        streams.push(tokio::spawn(async move {
            send_prompt(&caller, SOUND_PART, EVENT_COUNT).await
        }));
        let engines = || environment.engines.iter();
        let has_begun = || {
            engines()
                .filter(|engine| engine.running_count() == 1)
                .count()
                == n
        };
        eventually("the stream runs at an engine of its own", has_begun).await;
    }
    environment.wait_for_running_stream().await;
    for engine in &environment.engines {
        // The streams can't leave their engines.
        engine.is_full.store(true, Ordering::Relaxed);
    }
    environment.set_all_engines_frozen(true);
    tokio::time::sleep(SILENCE).await;
    environment.set_all_engines_frozen(false);
    for stream in streams {
        assert!(stream.await.expect("no panic"), "a stream is not whole");
    }
    assert_eq!(environment.run_count(), 3, "a stream left its engine");

    for engine in &environment.engines {
        engine.is_full.store(false, Ordering::Relaxed);
        engine.crash();
        engine.restart_under_same_id().await;
        let entry = engine.entry("ready");
        environment.store.put("servers", &engine.id(), entry);
        tokio::time::sleep(RESTART_INTERVAL).await;
    }
    tokio::time::sleep(CONVICTION_TIME).await;
    for _ in 0..3 {
        let is_served = send_prompt(&caller, SOUND_PART, 3).await;
        assert!(is_served, "a sound part is refused");
    }
}

/// Guards against evidence that does not reach all nodes after they were cut off from each other
/// while it arose, or that contradicts itself then.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_found_whose_crashes_began_while_nodes_were_cut_off_from_each_other() {
    const CRASHING: &[&str] = &["aa:200,dead0:300,", "dead0:300,"];
    const SOUND: &[&str] = &["aa:200,", "aa:200,bb:50,", "aa:200,cc:40,"];
    assert_part_is_found(Scene {
        crash_interval: Duration::from_millis(300),
        peer_cut: Some(Duration::from_secs(4)),
        duration: Duration::from_secs(18),
        ..Scene::new(CRASHING, SOUND)
    })
    .await;
}

async fn start_nodes(specs: &[NodeSpec], environment: &TestEnvironment) -> Vec<KillableNode> {
    let mut nodes = Vec::new();
    for spec in specs {
        nodes.push(KillableNode::start(spec, environment.store.address).await);
    }
    for spec in specs {
        Caller::new(spec).wait_until_ready().await;
    }
    nodes
}

/// Guards against evidence that only lives in the memory of nodes: after all of them are killed,
/// the part would have to be found a second time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_is_known_to_nodes_that_were_all_killed_at_once() {
    let scene = Scene {
        crash_interval: Duration::from_millis(300),
        ..Scene::new(&["aa:200,dead0:300,", "dead0:300,"], &[])
    };
    let environment = TestEnvironment::start(scene.engine_count).await;
    let specs = NodeSpec::cluster(NODE_COUNT);
    let nodes = start_nodes(&specs, &environment).await;
    let callers: Vec<Caller> = specs.iter().map(Caller::new).collect();
    let restarting = environment.restart_crashed_engines(ENGINE_DOWN_TIME);
    let crashing = send_crashing_parts(&callers, scene);
    tokio::time::sleep(Duration::from_secs(6)).await;
    nodes.into_iter().for_each(KillableNode::kill);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let nodes = start_nodes(&specs, &environment).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    crashing.abort();
    restarting.abort();
    nodes.into_iter().for_each(KillableNode::kill);

    let crashes = part_crashes(&environment);
    let counted_crash = crashes[COUNTED_CRASHES - 1];
    assert_few_late_arrivals(&environment, counted_crash);
}

/// Guards against sound prompts that are refused because short streams ran wherever a data centre
/// was lost, again and again, and nothing clears their parts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sound_prompts_are_served_while_a_data_centre_is_lost_every_seven_seconds() {
    const CRASHING: &[&str] = &["aa:200,dead0:300,", "dead0:300,"];
    const SOUND: &[&str] = &["aa:200,", "aa:200,bb:50,", "aa:200,cc:40,"];
    assert_part_is_found(Scene {
        crash_interval: Duration::from_millis(300),
        outage_interval: Some(Duration::from_secs(7)),
        duration: Duration::from_secs(45),
        ..Scene::new(CRASHING, SOUND)
    })
    .await;
}
