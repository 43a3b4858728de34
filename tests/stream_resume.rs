//! Streams through an entry node whose engines are lost.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::outside::caller::{Caller, Got, new_call};
use support::outside::engine::Engine;
use support::outside::{NodePorts, STREAM_PATH, World, eventually, start_node, start_node_for};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use zinniawing::EdgeNode;

const EVENTS: u64 = 120;

fn begin(caller: &Caller) -> JoinHandle<Got> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.stream(EVENTS).await })
}

async fn wait_until_running(world: &World) {
    let runs = || world.engines.iter().any(|e| e.running_count() > 0);
    eventually("a stream runs", runs).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
}

/// A world whose one node has just begun to relay a stream.
async fn world_with_running_stream(engine_count: usize) -> (World, EdgeNode, JoinHandle<Got>) {
    let world = World::start(engine_count).await;
    let (node, caller) = world.node("n1").await;
    let stream = begin(&caller);
    wait_until_running(&world).await;
    (world, node, stream)
}

fn assert_whole(got: &Got) {
    assert_eq!(got.status, 200, "{}", got.head);
    assert!(got.is_whole, "{}", got.body);
    assert_eq!(got.events(), (1..=EVENTS).collect::<Vec<u64>>());
    let signature = got.header("x-zinniawing-server-signature");
    assert_eq!(signature, Some(format!("sig-{}", got.call).as_str()));
}

fn running_engine(world: &World) -> Arc<Engine> {
    world.running_engine().clone()
}

#[tokio::test]
async fn a_crashed_engine_s_stream_goes_on_from_its_copy_in_another_data_centre() {
    let (world, _node, stream) = world_with_running_stream(4).await;

    let lost = running_engine(&world);
    lost.crash();
    let got = stream.await.expect("no panic");

    assert_whole(&got);
    assert!(
        got.longest_pause < Duration::from_millis(300),
        "{:?}",
        got.longest_pause
    );
    let runs: Vec<_> = world.engines.iter().flat_map(|e| e.runs()).collect();
    assert_eq!(runs.iter().filter(|run| run.had_copy).count(), 1);
    let resumed = world
        .engines
        .iter()
        .find(|e| e.runs().iter().any(|r| r.had_copy));
    assert_ne!(resumed.expect("one resumed").data_centre, lost.data_centre);
}

#[tokio::test]
async fn a_silent_engine_s_stream_goes_on_before_its_caller_minds() {
    let (world, _node, stream) = world_with_running_stream(4).await;

    running_engine(&world).freeze(true);
    let got = stream.await.expect("no panic");

    assert_whole(&got);
    assert!(
        got.longest_pause < Duration::from_millis(700),
        "{:?}",
        got.longest_pause
    );
}

#[tokio::test]
async fn a_slow_engine_that_answers_is_not_given_up() {
    let world = World::start(4).await;
    let (_node, caller) = world.node("n1").await;
    for engine in &world.engines {
        *engine.reading.lock().expect("unpoisoned") = Duration::from_millis(2_200);
    }

    let got = caller.stream(5).await;

    assert_eq!(got.events(), vec![1, 2, 3, 4, 5]);
    assert_eq!(world.run_count(), 1);
}

#[tokio::test]
async fn an_engine_that_breaks_off_inside_an_event_leaves_no_half_of_it() {
    let (world, _node, stream) = world_with_running_stream(4).await;

    running_engine(&world).tears.store(true, Ordering::Relaxed);
    let got = stream.await.expect("no panic");

    assert_whole(&got);
}

#[tokio::test]
async fn a_copy_whose_keeper_was_lost_is_renewed_before_it_is_needed() {
    let world = World::start(6).await;
    let (_node, caller) = world.node("n1").await;
    for engine in &world.engines {
        *engine.pause.lock().expect("unpoisoned") = Duration::from_millis(30);
    }
    let stream = begin(&caller);
    wait_until_running(&world).await;
    let source = running_engine(&world);

    // The other data centre is lost with the copy, and comes back empty.
    let other: Vec<_> = world
        .engines
        .iter()
        .filter(|e| e.data_centre != source.data_centre)
        .collect();
    for engine in &other {
        engine.crash();
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    for engine in &other {
        engine.restart().await;
        world
            .store
            .put("servers", &engine.id(), engine.entry("ready"));
    }
    eventually("the run is copied again", || source.move_count() > 0).await;
    source.crash();
    let got = stream.await.expect("no panic");

    assert_whole(&got);
    assert!(
        got.longest_pause < Duration::from_millis(400),
        "{:?}",
        got.longest_pause
    );
    let runs: Vec<_> = world.engines.iter().flat_map(|e| e.runs()).collect();
    let read_again = runs.iter().filter(|r| !r.had_copy).count();
    assert_eq!(read_again, 1, "the prompt is read once");
}

#[tokio::test]
async fn a_second_loss_during_the_resume_is_survived() {
    let (world, _node, stream) = world_with_running_stream(6).await;

    running_engine(&world).crash();
    tokio::time::sleep(Duration::from_millis(120)).await;
    let resumed = |e: &&Arc<Engine>| e.running_count() > 0 && e.runs().iter().any(|r| r.had_copy);
    if let Some(second) = world.engines.iter().find(resumed) {
        second.crash();
    }
    let got = stream.await.expect("no panic");

    assert_whole(&got);
}

#[tokio::test]
async fn without_an_engine_left_the_stream_does_not_look_complete() {
    let (world, _node, stream) = world_with_running_stream(2).await;

    for engine in &world.engines {
        engine.crash();
    }
    let got = stream.await.expect("no panic");

    assert!(!got.is_whole, "{}", got.body);
    let events = got.events();
    assert_eq!(events, (1..=events.len() as u64).collect::<Vec<u64>>());
}

#[tokio::test]
async fn a_caller_that_leaves_ends_its_stream_at_the_engine() {
    let world = World::start(4).await;
    let (_node, caller) = world.node("n1").await;
    let usage = format!("x-zinniawing-token-usage: 800,{EVENTS}\r\n");
    let head = caller.head("POST", STREAM_PATH, &new_call(), &usage);
    let mut stream = TcpStream::connect(caller.address).await.expect("connected");
    let request = format!("{head}content-length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    wait_until_running(&world).await;

    drop(stream);
    tokio::time::sleep(Duration::from_millis(450)).await;

    assert!(world.engines.iter().all(|e| e.running_count() == 0));
    assert_eq!(world.run_count(), 1);
}

#[tokio::test]
async fn a_caller_resumes_where_its_connection_broke() {
    let world = World::start(4).await;
    let (_node, caller) = world.node("n1").await;

    let extra = "last-event-id: 7\r\nx-zinniawing-token-usage: 800,10\r\n";
    let got = caller.call("POST", STREAM_PATH, extra).await;

    assert_eq!(got.events(), vec![8, 9, 10]);
}

#[tokio::test]
async fn a_draining_engine_keeps_its_streams_and_gets_no_new_ones() {
    let world = World::start(2).await;
    let (_node, caller) = world.node("n1").await;
    let stream = begin(&caller);
    wait_until_running(&world).await;

    let leaving = running_engine(&world);
    world
        .store
        .put("servers", &leaving.id(), leaving.entry("draining"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let later = caller.stream(3).await;
    let got = stream.await.expect("no panic");

    assert_whole(&got);
    assert_eq!(later.events(), vec![1, 2, 3]);
    assert_eq!(leaving.runs().len(), 1);
}

#[tokio::test]
async fn a_request_that_crashes_its_engines_is_refused_by_all_nodes_after_the_third() {
    let world = World::start(8).await;
    let first = NodePorts::new("n1", "dc-a");
    let second = NodePorts::new("n2", "dc-b").with_seed(&first);
    let _one = start_node(&first, world.store.address).await;
    let _two = start_node(&second, world.store.address).await;
    let callers = [Caller::new(&first), Caller::new(&second)];
    for caller in &callers {
        caller.wait_until_ready().await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let usage = "x-zinniawing-token-usage: 800,20\r\n";

    let opening = callers[0].call("POST", "/chat/poison", usage).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = world.run_count();
    let mut statuses = Vec::new();
    for _ in 0..4 {
        for caller in &callers {
            statuses.push(caller.call("POST", "/chat/poison", usage).await.status);
        }
    }
    let sound = callers[1].stream(3).await;

    assert_ne!(opening.status, 200);
    assert!((3..=4).contains(&before), "{before} engines lost");
    assert_eq!(
        world.run_count() - 1,
        before,
        "only the sound one ran later"
    );
    assert_eq!(statuses, vec![422; 8]);
    assert_eq!(sound.events(), vec![1, 2, 3]);
}

#[tokio::test]
async fn a_stream_that_a_leaving_node_cuts_goes_on_where_its_prompt_lies() {
    let world = World::start(8).await;
    let first = NodePorts::new("n1", "dc-a");
    let second = NodePorts::new("n2", "dc-b").with_seed(&first);
    let one = start_node_for(&first, world.store.address, 3).await;
    let _two = start_node(&second, world.store.address).await;
    let callers = [Caller::new(&first), Caller::new(&second)];
    for caller in &callers {
        caller.wait_until_ready().await;
    }
    for engine in &world.engines {
        *engine.pause.lock().expect("unpoisoned") = Duration::from_millis(60);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let session = "x-zinniawing-prefix-hash: aa:200,5e55:600\r\n";
    let usage = format!("{session}x-zinniawing-token-usage: 800,{EVENTS}\r\n");
    let (caller, extra) = (callers[0].clone(), usage.clone());
    let stream = tokio::spawn(async move { caller.call("POST", STREAM_PATH, &extra).await });
    wait_until_running(&world).await;
    let engine = running_engine(&world);

    one.drain().await;
    let cut = stream.await.expect("no panic");
    let last = cut.events().len();
    let extra = format!("{usage}last-event-id: {last}\r\n");
    let rest = callers[1].call("POST", STREAM_PATH, &extra).await;

    assert!(!cut.is_whole, "{}", cut.head);
    assert_eq!(rest.events().first(), Some(&(last as u64 + 1)));
    assert_eq!(engine.runs().len(), 2, "both parts run at one engine");
}
