//! Entries of the platform's store that name the addresses of other upstreams. See
//! docs/incidents/claimed-addresses.md.

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{Value, json};
use support::edge_environment::caller::Caller;
use support::edge_environment::running_stream::assert_stream_complete;
use support::edge_environment::service::{NextFault, Service};
use support::edge_environment::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, TestEnvironment, config, route,
};

/// Time within which a node follows a change of an upstream.
const CHANGE_TIME: Duration = Duration::from_millis(700);
const CALL_COUNT: usize = 12;
const LATER_START_UNIX_MS: u64 = 5_000_000;
/// A service to which a second route of the configuration leads.
const OTHER_SERVICE: &str = "desk";
const OTHER_PATH: &str = "/desk/1";
const EVENT_COUNT: u64 = 60;

/// What another writer states in an entry that names the address of a sound upstream.
#[derive(Clone, Copy, Debug)]
enum Claim {
    UnknownService,
    OtherService,
    OtherId,
    Draining,
    OtherVersion,
    OtherDataCentre,
}

const CLAIMS: [Claim; 6] = [
    Claim::UnknownService,
    Claim::OtherService,
    Claim::OtherId,
    Claim::Draining,
    Claim::OtherVersion,
    Claim::OtherDataCentre,
];

impl Claim {
    /// The entry, made from that of the sound upstream.
    fn entry(self, mut sound: Value) -> Value {
        sound["born"] = json!(LATER_START_UNIX_MS);
        let (field, value) = match self {
            Self::UnknownService => ("service", "pay-probe"),
            Self::OtherService => ("service", OTHER_SERVICE),
            Self::OtherId => return sound,
            Self::Draining => ("state", "draining"),
            Self::OtherVersion => ("version", "v9"),
            Self::OtherDataCentre => ("zone", "dc-b"),
        };
        sound[field] = json!(value);
        sound
    }
}

/// An environment whose configuration names one more service, which has one upstream.
async fn start_environment(engine_count: usize) -> (TestEnvironment, Arc<Service>) {
    let environment = TestEnvironment::start(engine_count).await;
    let other = Service::start_in("d-0", OTHER_SERVICE).await;
    let store = &environment.store;
    store.put("servers", &other.id, other.entry("ready"));
    let mut config = config(2);
    let routes = config["routes"].as_array_mut().expect("routes");
    routes.push(route("desk", "/desk/", "non_idempotent", OTHER_SERVICE));
    let services = config["services"].as_array_mut().expect("services");
    services.push(json!({ "name": OTHER_SERVICE, "max-connections": 100 }));
    store.put("config", "main", config);
    (environment, other)
}

/// Another writer claims the addresses of all upstreams with plain calls.
fn write_claims(environment: &TestEnvironment, claim: Claim) {
    for service in &environment.services {
        let entry = claim.entry(service.entry("ready"));
        let name = format!("probe-{}", service.id);
        environment.store.put("servers", &name, entry);
    }
}

fn remove_claims(environment: &TestEnvironment) {
    for service in &environment.services {
        let name = format!("probe-{}", service.id);
        environment.store.delete("servers", &name);
    }
}

/// Number of calls that are served, of [`CALL_COUNT`].
async fn served_count(caller: &Caller, path: &str) -> usize {
    let mut served_count = 0;
    for _ in 0..CALL_COUNT {
        let got = caller.call("POST", path, "").await;
        served_count +=
            usize::from(got.status == 200 && got.body == format!("done {}", got.call_id));
    }
    served_count
}

async fn with_each_claim(scene: impl AsyncFn(Claim)) {
    join_all(CLAIMS.iter().map(|claim| scene(*claim))).await;
}

#[tokio::test]
async fn entries_of_another_writer_shut_out_no_sound_upstream() {
    with_each_claim(async |claim| {
        let (environment, _other) = start_environment(0).await;
        let (_node, caller) = environment.start_ready_node("n1").await;

        write_claims(&environment, claim);
        tokio::time::sleep(CHANGE_TIME).await;
        let beside = served_count(&caller, NON_IDEMPOTENT_PATH).await;
        let beside_other = served_count(&caller, OTHER_PATH).await;
        remove_claims(&environment);
        tokio::time::sleep(CHANGE_TIME).await;
        let after = served_count(&caller, NON_IDEMPOTENT_PATH).await;

        assert_eq!(beside, CALL_COUNT, "beside {claim:?}");
        assert_eq!(beside_other, CALL_COUNT, "other service beside {claim:?}");
        assert_eq!(after, CALL_COUNT, "after {claim:?}");
    })
    .await;
}

/// The whole list is the first that the node knows.
#[tokio::test]
async fn entries_of_another_writer_that_were_there_first_shut_out_no_sound_upstream() {
    with_each_claim(async |claim| {
        let (environment, _other) = start_environment(0).await;
        write_claims(&environment, claim);
        let (_node, caller) = environment.start_ready_node("n1").await;

        let served = served_count(&caller, NON_IDEMPOTENT_PATH).await;

        assert_eq!(served, CALL_COUNT, "{claim:?}");
    })
    .await;
}

/// An entry is refuted once for each upstream, however often its writer writes it again.
#[tokio::test]
async fn an_entry_that_is_written_again_and_again_costs_one_misdirected_call() {
    let (environment, _other) = start_environment(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;

    for number in 0..5 {
        for service in &environment.services {
            let mut entry = Claim::OtherId.entry(service.entry("ready"));
            entry["born"] = json!(LATER_START_UNIX_MS + number);
            let name = format!("probe-{}", service.id);
            environment.store.put("servers", &name, entry);
        }
        tokio::time::sleep(CHANGE_TIME).await;
        assert_eq!(served_count(&caller, IDEMPOTENT_PATH).await, CALL_COUNT);
    }

    let services = environment.services.iter();
    let misdirected: Vec<usize> = services.map(|s| s.misdirected_count()).collect();
    assert!(
        misdirected.iter().all(|count| *count <= 1),
        "{misdirected:?}"
    );
}

/// Streams that run at a sound engine are not begun again elsewhere.
#[tokio::test]
async fn entries_of_another_writer_move_no_stream() {
    with_each_claim(async |claim| {
        let (environment, _other) = start_environment(3).await;
        environment.set_event_interval(Duration::from_millis(30));
        let (_node, caller) = environment.start_ready_node("n1").await;
        let streams = (0..3).map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.stream(EVENT_COUNT).await })
        });
        let streams: Vec<_> = streams.collect();
        environment.wait_for_running_stream().await;

        // The third engine has room for the streams that would be moved.
        for engine in &environment.engines[..2] {
            let entry = claim.entry(engine.entry("ready"));
            let name = format!("probe-{}", engine.id());
            environment.store.put("servers", &name, entry);
        }

        for stream in streams {
            assert_stream_complete(&stream.await.expect("no panic"), EVENT_COUNT);
        }
        assert_eq!(environment.run_count(), 3, "{claim:?}");
    })
    .await;
}

/// Connections that break at an upstream which goes on are no crashes, whatever an entry says of
/// a later start there: a request that meets them is not refused for crashing upstreams.
#[tokio::test]
async fn an_entry_of_another_writer_is_no_evidence_of_a_crash() {
    with_each_claim(async |claim| {
        let (environment, _other) = start_environment(0).await;
        let (_node, caller) = environment.start_ready_node("n1").await;

        for _ in 0..4 {
            for service in &environment.services {
                service.queue_fault(NextFault::Reset);
            }
            let _ = caller.call("POST", NON_IDEMPOTENT_PATH, "").await;
            environment.services.iter().for_each(|s| s.clear_faults());
            write_claims(&environment, claim);
            tokio::time::sleep(CHANGE_TIME).await;
            remove_claims(&environment);
            for service in &environment.services {
                let store = &environment.store;
                store.put("servers", &service.id, service.entry("ready"));
            }
            tokio::time::sleep(CHANGE_TIME).await;
        }
        let got = caller.call("POST", NON_IDEMPOTENT_PATH, "").await;

        assert_eq!(got.status, 200, "{claim:?}: {got:?}");
    })
    .await;
}

/// ROUTE: the address of an upstream that has ended is given to one of another service, while
/// the ended one's entry is still there.
#[tokio::test]
async fn an_address_that_another_services_upstream_has_taken_over_runs_no_call_of_the_first() {
    let (environment, _other) = start_environment(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    assert_eq!(served_count(&caller, NON_IDEMPOTENT_PATH).await, CALL_COUNT);
    let ended = &environment.services[0];

    ended.stop();
    let taking_over = Service::start_at("d-new", OTHER_SERVICE, ended.address).await;
    let mut entry = taking_over.entry("ready");
    entry["born"] = json!(LATER_START_UNIX_MS);
    environment.store.put("servers", &taking_over.id, entry);
    tokio::time::sleep(CHANGE_TIME).await;
    let served = served_count(&caller, NON_IDEMPOTENT_PATH).await;
    let served_other = served_count(&caller, OTHER_PATH).await;

    assert_eq!(served, CALL_COUNT);
    assert_eq!(served_other, CALL_COUNT);
    let executed = taking_over.executed();
    assert!(executed.iter().all(|call| call.path() == OTHER_PATH));
    assert!(!executed.is_empty(), "the new upstream is used");
    let misdirected_count = taking_over.misdirected_count();
    assert!(
        misdirected_count <= 1,
        "{misdirected_count} calls of the first service"
    );
}

/// ORDER, DRAIN: two starts of one upstream are not used side by side while the entry of the
/// ended one is still there.
#[tokio::test]
async fn an_upstream_that_has_started_again_gets_no_call_for_its_ended_start() {
    let (environment, _other) = start_environment(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    assert_eq!(served_count(&caller, NON_IDEMPOTENT_PATH).await, CALL_COUNT);

    let mut started = Vec::new();
    for ended in &environment.services {
        ended.stop();
        let again = Service::start_at(&format!("{}-again", ended.id), "pay", ended.address).await;
        let mut entry = again.entry("ready");
        entry["born"] = json!(LATER_START_UNIX_MS);
        environment.store.put("servers", &again.id, entry);
        started.push(again);
    }
    tokio::time::sleep(CHANGE_TIME).await;
    let served = served_count(&caller, NON_IDEMPOTENT_PATH).await;

    assert_eq!(served, CALL_COUNT);
    let misdirected: Vec<usize> = started.iter().map(|s| s.misdirected_count()).collect();
    assert_eq!(misdirected, [0, 0]);
}

/// A runner that has started again drains; its ended start must not stand in for it.
#[tokio::test]
async fn an_upstream_that_drains_after_it_has_started_again_gets_no_calls() {
    let (environment, _other) = start_environment(0).await;
    let (_node, caller) = environment.start_ready_node("n1").await;
    let ended = &environment.services[0];

    ended.stop();
    let again = Service::start_at("p-again", "pay", ended.address).await;
    for state in ["ready", "draining"] {
        let mut entry = again.entry(state);
        entry["born"] = json!(LATER_START_UNIX_MS);
        environment.store.put("servers", &again.id, entry);
        tokio::time::sleep(CHANGE_TIME).await;
        assert_eq!(served_count(&caller, NON_IDEMPOTENT_PATH).await, CALL_COUNT);
        again.clear_executed();
    }

    assert_eq!(served_count(&caller, NON_IDEMPOTENT_PATH).await, CALL_COUNT);
    assert_eq!(again.executed().len(), 0);
}
