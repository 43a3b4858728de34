//! The scripted cases. Each returns whether the rule was broken.

use super::*;

type Results = Arc<Mutex<Vec<Got>>>;

/// Sends streams at intervals, each from a thread of its own, until `until`.
fn send_streams(
    scene: &Scene,
    addresses: &[SocketAddr],
    name: &str,
    (interval, tokens): (u64, u64),
    until: Instant,
) -> Vec<Got> {
    let results = Results::default();
    let mut threads = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        let address = addresses[number % addresses.len()];
        let (record, results) = (scene.record.clone(), results.clone());
        let id = format!("{name}{number:03}");
        threads.push(thread::spawn(move || {
            let got = Client::new(address, &record).stream(&id, tokens, None, |_| true);
            results.lock().unwrap().push(got);
        }));
        number += 1;
        sleep(interval);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let results = results.lock().unwrap();
    results.clone()
}

/// ORDER: no more than two streams hold events of two software versions.
pub fn restart_at_another_version(scene: &Scene) -> bool {
    let runner = |id| Runner::new(id, "v1", 30, 40, &scene.record);
    let runners = [runner("i-a1"), runner("i-b2"), runner("i-c3")];
    for runner in &runners {
        runner.start();
        scene.register(runner);
    }
    let nodes = start_nodes(2, &scene.store, &scene.folder, &scene.record);
    sleep(2_000);
    let start = Instant::now();
    let upgraded = runners[0].clone();
    let (store, trouble) = (scene.store.clone(), scene.trouble);
    let events = thread::spawn(move || {
        sleep(500);
        if trouble {
            store.set_silent(true);
        }
        sleep(500);
        // The runner crashes. It is back under its id, at the next version of its software,
        // which was put in place since it started last.
        upgraded.stop();
        sleep(1_200);
        *upgraded.version.lock().unwrap() = "v2".to_owned();
        upgraded.start();
        let registered = upgraded.clone();
        let registry = store.clone();
        // It registers as soon as the store takes that.
        thread::spawn(move || {
            while registry.is_silent.load(Ordering::SeqCst) {
                sleep(50);
            }
            registry.put("servers", &registered.id, &registered.entry("ready"));
        });
        // It crashes again.
        sleep(4_000);
        upgraded.stop();
        sleep(1_200);
        upgraded.start();
        sleep(500);
        if trouble {
            store.set_silent(false);
        }
    });
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::frontend).collect();
    let got = send_streams(scene, &addresses, "s", (60, 280), start + ms(8_000));
    let _ = events.join();
    let mixed: Vec<&Got> = got.iter().filter(|got| got.versions().len() > 1).collect();
    let text = format!("streams {}, of two versions {}", got.len(), mixed.len());
    scene.record.line(&text);
    println!("{text}");
    mixed.len() > 2
}

/// LOST: no more than three requests that a sound runner runs end without an answer.
pub fn correction_while_store_is_away(scene: &Scene) -> bool {
    let runner = |id, version| Runner::new(id, version, 30, 20, &scene.record);
    let old = [runner("i-a1", "v1"), runner("i-b2", "v1")];
    let new = [runner("i-c3", "v2"), runner("i-d4", "v2")];
    for runner in old.iter().chain(&new) {
        runner.start();
        scene.register(runner);
    }
    let nodes = start_nodes(2, &scene.store, &scene.folder, &scene.record);
    sleep(2_000);
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::frontend).collect();
    // Clients that keep their connections.
    let mut clients: Vec<Client> = (0..110)
        .map(|n| Client::new(addresses[n % 2], &scene.record))
        .collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.stream(&format!("w{n:03}"), 14, None, |_| true);
    }
    let start = Instant::now();
    let back_at = start + ms(7_600);
    if scene.trouble {
        scene.store.set_silent(true);
    }
    for runner in &old {
        runner.is_full.store(true, Ordering::SeqCst);
    }
    let threads: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(n, mut client)| {
            thread::spawn(move || {
                sleep(500 + 100 * n as u64);
                let got = client.stream(&format!("s{n:03}"), 280, None, |_| true);
                (got, Instant::now())
            })
        })
        .collect();
    thread::sleep(back_at.saturating_duration_since(Instant::now()));
    if scene.trouble {
        scene.store.set_silent(false);
    }
    let got: Vec<(Got, Instant)> = threads.into_iter().filter_map(|t| t.join().ok()).collect();
    let is_lost = |got: &Got| got.status == 200 && !got.is_complete && got.events.is_empty();
    let lost = got.iter().filter(|(got, _)| is_lost(got)).count();
    let lost_at = got
        .iter()
        .filter(|(got, _)| is_lost(got))
        .map(|(_, at)| *at);
    let last = lost_at
        .max()
        .map_or(0, |at| at.saturating_duration_since(back_at).as_millis());
    let text = format!(
        "streams {}, broken off without an event {lost}, the last {last} ms after the store's return",
        got.len()
    );
    scene.record.line(&text);
    println!("{text}");
    lost > 3
}

/// Takes streams up at intervals, and returns what the clients got.
fn take_up(
    scene: &Scene,
    addresses: &[SocketAddr],
    streams: &[Got],
    interval: u64,
    tokens: u64,
) -> Vec<Got> {
    let results = Results::default();
    let mut threads = Vec::new();
    for (n, began) in streams.iter().enumerate() {
        let Some(last_event) = began.last_event() else {
            continue;
        };
        let part = TakenUp {
            last_event,
            resumes: began.id.clone(),
        };
        let address = addresses[n % addresses.len()];
        let (record, results) = (scene.record.clone(), results.clone());
        let id = format!("{}-again", began.id);
        threads.push(thread::spawn(move || {
            // One more event shows that the stream goes on.
            let mut client = Client::new(address, &record);
            let got = client.stream(&id, tokens, Some(&part), |at| at <= last_event);
            results.lock().unwrap().push(got);
        }));
        sleep(interval);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let results = results.lock().unwrap();
    results.clone()
}

/// LOST: of twelve streams or more that clients take up again, the share that goes on is
/// under half of the share of new streams that begin.
pub fn late_write_of_origins(scene: &Scene) -> bool {
    let runner = |id, version| Runner::new(id, version, 30, 100, &scene.record);
    let runners = [
        runner("i-a1", "v1"),
        runner("i-b2", "v1"),
        runner("i-c3", "v2"),
        runner("i-d4", "v2"),
    ];
    for runner in &runners {
        runner.start();
        scene.register(runner);
    }
    let mut nodes = start_nodes(2, &scene.store, &scene.folder, &scene.record);
    sleep(2_000);
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::frontend).collect();
    for n in 0..2 {
        Client::new(addresses[n], &scene.record).stream(&format!("w{n}"), 14, None, |_| true);
    }
    sleep(1_000);
    let tokens = 7 * 180;
    let begun = Results::default();
    let mut threads = Vec::new();
    let mut begin = |n: usize, address: SocketAddr| {
        let (record, begun) = (scene.record.clone(), begun.clone());
        threads.push(thread::spawn(move || {
            let id = format!("s{n:02}");
            let got = Client::new(address, &record).stream(&id, tokens, None, |_| true);
            begun.lock().unwrap().push(got);
        }));
    };
    if scene.trouble {
        scene.store.lose_next_write("run-origins", ms(5_000));
    }
    begin(0, addresses[0]);
    sleep(600);
    for n in 1..15 {
        begin(n, addresses[0]);
        sleep(100);
    }
    sleep(4_000);
    // All processes are killed at once, and started again.
    nodes.iter_mut().for_each(Node::kill);
    for thread in threads {
        let _ = thread.join();
    }
    sleep(800);
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_until_ready);
    sleep(4_000);
    let begun: Vec<Got> = begun
        .lock()
        .unwrap()
        .iter()
        .filter(|g| g.id != "s00")
        .cloned()
        .collect();
    let again = take_up(scene, &addresses, &begun, 100, tokens);
    let goes_on = again.iter().filter(|got| !got.events.is_empty()).count();
    let fresh: Vec<Got> = (0..12)
        .map(|n| {
            let mut client = Client::new(addresses[n % 2], &scene.record);
            client.stream(&format!("n{n:02}"), 14, None, |_| true)
        })
        .collect();
    let begins = fresh.iter().filter(|got| !got.events.is_empty()).count();
    let text = format!(
        "taken up {}, go on {goes_on}; new streams {}, begin {begins}",
        again.len(),
        fresh.len()
    );
    scene.record.line(&text);
    println!("{text}");
    let share_on = goes_on as f64 / again.len().max(1) as f64;
    again.len() >= 12 && share_on < 0.5 * begins as f64 / fresh.len() as f64
}

/// The rate that each runner names, in requests a second.
const LIMIT: &str = "2";

/// LOST: of twelve streams or more that clients take up again, the share that goes on is
/// under half of the share of new streams that begin.
pub fn streams_of_limited_runners(scene: &Scene) -> bool {
    let runner = |id| Runner::new(id, "v1", 30, 100, &scene.record);
    let runners = [
        runner("i-a1"),
        runner("i-b2"),
        runner("i-c3"),
        runner("i-d4"),
    ];
    for runner in &runners {
        runner.start();
        scene.register(runner);
    }
    let nodes = start_nodes(3, &scene.store, &scene.folder, &scene.record);
    sleep(2_000);
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::frontend).collect();
    let tokens = 7 * 180;
    let begun = Results::default();
    let mut threads = Vec::new();
    for n in 0..14 {
        let (record, begun, address) = (scene.record.clone(), begun.clone(), addresses[0]);
        threads.push(thread::spawn(move || {
            let id = format!("s{n:02}");
            let got = Client::new(address, &record).stream(&id, tokens, None, |_| true);
            begun.lock().unwrap().push(got);
        }));
        sleep(100);
    }
    if scene.trouble {
        scene
            .record
            .line(&format!("runners: name a limit of {LIMIT} a second"));
        for runner in &runners {
            *runner.limit.lock().unwrap() = Some(LIMIT.to_owned());
        }
    }
    // The other nodes go on with new streams, about one a second each.
    let fresh = Results::default();
    let mut new_streams = |count: usize| {
        for n in 0..count {
            let (record, fresh, address) =
                (scene.record.clone(), fresh.clone(), addresses[1 + n % 2]);
            let id = format!("n{:03}", threads.len());
            threads.push(thread::spawn(move || {
                let got = Client::new(address, &record).stream(&id, 14, None, |_| true);
                fresh.lock().unwrap().push(got);
            }));
            sleep(500);
        }
    };
    new_streams(8);
    // The machine that runs the streams is restarted. It serves them on for most of the grace
    // period and then cuts them; its clients take them up at the other machines.
    nodes[0].terminate();
    new_streams(16);
    while begun.lock().unwrap().len() < 14 {
        sleep(10);
    }
    let begun = begun.lock().unwrap().clone();
    let again = thread::scope(|scope| {
        let taking_up = scope.spawn(|| take_up(scene, &addresses[1..], &begun, 500, tokens));
        new_streams(14);
        taking_up.join().unwrap_or_default()
    });
    for thread in threads {
        let _ = thread.join();
    }
    let fresh = fresh.lock().unwrap();
    let goes_on = again.iter().filter(|got| !got.events.is_empty()).count();
    let begins = fresh.iter().filter(|got| !got.events.is_empty()).count();
    let text = format!(
        "taken up {}, go on {goes_on}; new streams {}, begin {begins}",
        again.len(),
        fresh.len()
    );
    scene.record.line(&text);
    println!("{text}");
    let share_on = goes_on as f64 / again.len().max(1) as f64;
    again.len() >= 12 && share_on < 0.5 * begins as f64 / fresh.len() as f64
}

/// LOST: of twelve streams or more that clients take up again, the share that goes on is
/// under half of the share of new streams that begin.
pub fn broken_off_before_the_end(scene: &Scene) -> bool {
    let ids = ["i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6"];
    let runners = ids.map(|id| Runner::new(id, "v1", 10, 5, &scene.record));
    for runner in &runners {
        runner.start();
        scene.register(runner);
    }
    let nodes = start_nodes(2, &scene.store, &scene.folder, &scene.record);
    sleep(2_000);
    if scene.trouble {
        for runner in &runners[..3] {
            runner.breaks_one_in.store(50, Ordering::SeqCst);
        }
    }
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::frontend).collect();
    let (again, fresh) = (Results::default(), Results::default());
    let mut threads = Vec::new();
    for n in 0..2_800 {
        let (record, again, fresh) = (scene.record.clone(), again.clone(), fresh.clone());
        let (address, other) = (addresses[n % 2], addresses[(n + 1) % 2]);
        threads.push(thread::spawn(move || {
            let id = format!("s{n:04}");
            let got = Client::new(address, &record).stream(&id, 70, None, |_| true);
            fresh.lock().unwrap().push(got.clone());
            let (Some(last_event), false) = (got.last_event(), got.is_complete) else {
                return;
            };
            let part = TakenUp {
                last_event,
                resumes: id.clone(),
            };
            let mut client = Client::new(other, &record);
            let rest = client.stream(&format!("{id}-again"), 70, Some(&part), |_| true);
            again.lock().unwrap().push(rest);
        }));
        sleep(8);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let (again, fresh) = (again.lock().unwrap(), fresh.lock().unwrap());
    let ends = again
        .iter()
        .filter(|got| got.status == 200 && got.is_complete)
        .count();
    let begins = fresh.iter().filter(|got| !got.events.is_empty()).count();
    let text = format!(
        "taken up {}, of which end whole {ends}; new streams {}, begin {begins}",
        again.len(),
        fresh.len()
    );
    scene.record.line(&text);
    println!("{text}");
    let share_on = ends as f64 / again.len().max(1) as f64;
    again.len() >= 12 && share_on < 0.5 * begins as f64 / fresh.len() as f64
}

/// Time after the fifth crash from which requests with the part count.
const CONTACT: Duration = Duration::from_millis(3_000);

/// BUDGET: no more than three requests with a part that crashes runners reach runners later
/// than `contact-ms` after the fifth crash.
pub fn crashing_part_of_a_long_chat(scene: &Scene) -> bool {
    let part_count: usize = std::env::var("PARTS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(16);
    let runners: Vec<Arc<Runner>> = (0..16)
        .map(|n| Runner::new(&format!("i-r{n}"), "v1", 30, 50, &scene.record))
        .collect();
    for runner in &runners {
        runner
            .crashes_under_part
            .store(scene.trouble, Ordering::SeqCst);
        runner.start();
        scene.register(runner);
        // It is back after some seconds, as a new incarnation.
        let (runner, store) = (runner.clone(), scene.store.clone());
        thread::spawn(move || {
            loop {
                sleep(20);
                if !runner.is_up.load(Ordering::SeqCst) {
                    sleep(3_000);
                    runner.start();
                    store.put("servers", &runner.id, &runner.entry("ready"));
                }
            }
        });
    }
    let nodes = start_nodes(2, &scene.store, &scene.folder, &scene.record);
    sleep(2_000);
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::frontend).collect();
    // The turns of the chats, which all of them share.
    let turns: String = (1..=part_count).map(|n| format!("c0{n:02}:40,")).collect();
    let (sound, threads) = (Results::default(), Mutex::new(Vec::new()));
    let send = |id: String, address: SocketAddr, parts: String, events: u64, is_sound: bool| {
        let (record, sound) = (scene.record.clone(), sound.clone());
        let thread = thread::spawn(move || {
            let mut client = Client::new(address, &record);
            client.parts = parts;
            let got = client.stream(&id, events * 7, None, |_| true);
            if is_sound {
                sound.lock().unwrap().push(got);
            }
        });
        threads.lock().unwrap().push(thread);
    };
    for n in 0..160 {
        let address = addresses[n % 2];
        send(format!("s{n:03}"), address, turns.clone(), 20, true);
        if n % 5 == 4 && n > 20 {
            send(
                format!("x{n:03}"),
                addresses[n / 5 % 2],
                turns.clone() + "dead:40,",
                20,
                false,
            );
        }
        sleep(100);
    }
    for thread in threads.into_inner().unwrap() {
        let _ = thread.join();
    }
    let all = |of: fn(&Runner) -> &Mutex<Vec<Instant>>| {
        let mut times: Vec<Instant> = runners
            .iter()
            .flat_map(|r| of(r).lock().unwrap().clone())
            .collect();
        times.sort();
        times
    };
    let crashes = all(|runner| &runner.part_crashes);
    let arrivals = all(|runner| &runner.part_arrivals);
    let late = crashes.get(4).map_or(0, |fifth| {
        arrivals.iter().filter(|at| **at > *fifth + CONTACT).count()
    });
    let sound = sound.lock().unwrap();
    let lost = sound
        .iter()
        .filter(|got| !(got.status == 200 && got.is_complete))
        .count();
    let text = format!(
        "crashes {}, requests with the part at runners {}, of which late {late}; \
         sound streams {}, not whole {lost}",
        crashes.len(),
        arrivals.len(),
        sound.len()
    );
    scene.record.line(&text);
    println!("{text}");
    late > 3
}

/// ORDER: no more than two streams hold events of two software versions.
pub fn two_records_of_a_relayed_stream(scene: &Scene) -> bool {
    let runner = |id, version| Runner::new(id, version, 1_000, 100, &scene.record);
    let runners = [
        runner("i-a1", "v1"),
        runner("i-b2", "v1"),
        runner("i-c3", "v2"),
        runner("i-d4", "v2"),
    ];
    for runner in &runners {
        runner.start();
        runner.start_cut_path();
        scene.register(runner);
        let paths = (runner.address.to_string(), runner.cut_path.to_string());
        scene.store.view.lock().unwrap().push(paths);
    }
    let stores = [scene.store.address, scene.store.view_address];
    let mut nodes = start_nodes_at(&stores, &scene.folder, &scene.record);
    // The retry budget grows with the time that a node runs.
    sleep(11_000);
    let address = nodes[1].frontend();
    let tokens = 7 * 180;
    let begun = Results::default();
    let threads: Vec<_> = (0..16)
        .map(|n| {
            let (record, begun) = (scene.record.clone(), begun.clone());
            thread::spawn(move || {
                let id = format!("s{n:02}");
                let got = Client::new(address, &record).stream(&id, tokens, None, |_| true);
                begun.lock().unwrap().push(got);
            })
        })
        .collect();
    sleep(600);
    if scene.trouble {
        scene
            .record
            .line("the second node is cut off from all runners");
        runners.iter().for_each(|runner| runner.cut());
    }
    sleep(4_000);
    nodes.iter_mut().for_each(Node::kill);
    for thread in threads {
        let _ = thread.join();
    }
    sleep(800);
    // The cut has healed: the second node reaches the runners at their own addresses.
    scene.store.view.lock().unwrap().clear();
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_until_ready);
    sleep(1_500);
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::frontend).collect();
    let begun = begun.lock().unwrap().clone();
    let again = take_up(scene, &addresses, &begun, 100, tokens);
    let mut mixed = 0;
    for rest in &again {
        let first = begun
            .iter()
            .find(|got| rest.id == format!("{}-again", got.id));
        let versions: BTreeSet<String> = first
            .into_iter()
            .chain([rest])
            .flat_map(Got::versions)
            .collect();
        mixed += usize::from(versions.len() > 1);
    }
    let went_on = again.iter().filter(|got| !got.events.is_empty()).count();
    let text = format!(
        "taken up {}, went on {went_on}, of two versions {mixed}",
        again.len()
    );
    scene.record.line(&text);
    println!("{text}");
    mixed > 2
}
