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
        // The release restarts the runner in place, at the next version of its software.
        upgraded.stop();
        sleep(300);
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
        sleep(4_000);
        upgraded.stop();
        sleep(1_200);
        upgraded.start();
        sleep(1_000);
        if trouble {
            store.set_silent(false);
        }
    });
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::frontend).collect();
    let got = send_streams(scene, &addresses, "s", (60, 280), start + ms(7_000));
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
    let mut clients: Vec<Client> =
        (0..16).map(|n| Client::new(addresses[n % 2], &scene.record)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.stream(&format!("w{n:02}"), 14, None, |_| true);
    }
    if scene.trouble {
        scene.store.set_silent(true);
    }
    for runner in &old {
        runner.is_full.store(true, Ordering::SeqCst);
    }
    sleep(500);
    let threads: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(n, mut client)| {
            thread::spawn(move || {
                sleep(200 * n as u64);
                client.stream(&format!("s{n:02}"), 280, None, |_| true)
            })
        })
        .collect();
    let got: Vec<Got> = threads.into_iter().filter_map(|t| t.join().ok()).collect();
    if scene.trouble {
        scene.store.set_silent(false);
    }
    let lost = got.iter().filter(|got| got.status == 200 && !got.is_complete).count();
    let refused = got.iter().filter(|got| got.status == 503).count();
    let text = format!("streams {}, broken off {lost}, refused {refused}", got.len());
    scene.record.line(&text);
    println!("{text}");
    lost > 3
}

pub fn late_write_of_origins(_scene: &Scene) -> bool {
    false
}
