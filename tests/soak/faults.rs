//! The faults of one seed, and the promises that bound them in time.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::node::Fleet;
use crate::outside::config;
use crate::outside::service::Next;
use crate::proxy::Mode;

/// Time within which a leaving engine gets no new work, where all is calm.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Time after the bound in which new work at a leaving engine would show.
const LOOK_AFTER_BOUND: Duration = Duration::from_millis(2_000);
/// Time without a fault around it in which that holds.
const CALM_AROUND: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    KillNode,
    StopNode,
    PauseNode,
    ReloadNode,
    CutStoreLink,
    StoreAway,
    StoreSilent,
    ForgetHistory,
    CrashEngine,
    CrashDataCentre,
    FreezeEngine,
    CutEngineLink,
    DrainEngine,
    ServiceFails,
    CutServiceLink,
    ChangeConfig,
}

const KINDS: [Kind; 16] = [
    Kind::KillNode,
    Kind::StopNode,
    Kind::PauseNode,
    Kind::ReloadNode,
    Kind::CutStoreLink,
    Kind::StoreAway,
    Kind::StoreSilent,
    Kind::ForgetHistory,
    Kind::CrashEngine,
    Kind::CrashDataCentre,
    Kind::FreezeEngine,
    Kind::CutEngineLink,
    Kind::DrainEngine,
    Kind::ServiceFails,
    Kind::CutServiceLink,
    Kind::ChangeConfig,
];

/// An engine that said it leaves.
struct Leaving {
    engine: usize,
    said_at: Instant,
}

pub struct Faults {
    random: StdRng,
    counts: BTreeMap<Kind, usize>,
    version: u64,
    leaving: Vec<Leaving>,
    /// When something else than an engine last misbehaved.
    disturbed: Vec<Instant>,
    late: Vec<String>,
}

impl Faults {
    pub fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            counts: BTreeMap::new(),
            version: 1,
            leaving: Vec::new(),
            disturbed: Vec::new(),
            late: Vec::new(),
        }
    }

    pub fn counts(&self) -> &impl std::fmt::Debug {
        &self.counts
    }

    /// One fault, and some time in which it overlaps with others.
    pub async fn step(&mut self, fleet: &mut Fleet) {
        let kind = KINDS[self.random.random_range(0..KINDS.len())];
        *self.counts.entry(kind).or_default() += 1;
        self.cause(kind, fleet).await;
        let pause = self.random.random_range(50..500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        for node in &mut fleet.nodes {
            node.tend();
        }
        if self.random.random_bool(0.3) {
            self.heal(fleet).await;
        }
    }

    async fn cause(&mut self, kind: Kind, fleet: &mut Fleet) {
        let node = self.random.random_range(0..fleet.nodes.len());
        let engine = self.random.random_range(0..fleet.engines.len());
        let service = self.random.random_range(0..fleet.services.len());
        let mode = self.mode();
        let is_engine_s = matches!(kind, Kind::CrashEngine | Kind::DrainEngine);
        if !is_engine_s {
            self.disturbed.push(Instant::now());
        }
        match kind {
            Kind::KillNode => fleet.nodes[node].signal("KILL"),
            Kind::StopNode => fleet.nodes[node].signal("TERM"),
            Kind::PauseNode => fleet.nodes[node].signal("STOP"),
            Kind::ReloadNode => fleet.nodes[node].signal("HUP"),
            Kind::CutStoreLink => fleet.nodes[node].store_link.set(mode),
            Kind::StoreAway => fleet.store.is_away.store(true, Ordering::Relaxed),
            Kind::StoreSilent => fleet.store.is_silent.store(true, Ordering::Relaxed),
            Kind::ForgetHistory => fleet.store.forget_history(),
            Kind::CrashEngine => restart(fleet, engine).await,
            Kind::CrashDataCentre => {
                for at in (engine % 2..fleet.engines.len()).step_by(2) {
                    restart(fleet, at).await;
                }
            }
            Kind::FreezeEngine => fleet.engines[engine].0.freeze(true),
            Kind::CutEngineLink => fleet.engines[engine].1.set(mode),
            Kind::DrainEngine => self.drain(fleet, engine),
            Kind::ServiceFails => {
                let fault = self.random.random_range(0..Next::ALL.len());
                fleet.services[service].0.will(Next::ALL[fault]);
            }
            Kind::CutServiceLink => fleet.services[service].1.set(mode),
            Kind::ChangeConfig => {
                self.version += self.random.random_range(1..4);
                fleet.store.put("config", "main", config(self.version));
            }
        }
    }

    fn mode(&mut self) -> Mode {
        match self.random.random_range(0..4) {
            0 => Mode::Delay(Duration::from_millis(self.random.random_range(5..200))),
            1 => Mode::Silent,
            2 => Mode::NoAnswers,
            _ => Mode::Reset,
        }
    }

    fn drain(&mut self, fleet: &Fleet, at: usize) {
        let is_last = fleet.engines.len() <= self.leaving.len() + 4;
        if is_last || self.leaving.iter().any(|l| l.engine == at) {
            return;
        }
        let (engine, _) = &fleet.engines[at];
        let id = engine.id();
        fleet.store.put("servers", &id, engine.entry("draining"));
        self.leaving.push(Leaving {
            engine: at,
            said_at: Instant::now(),
        });
    }

    /// Ends all faults, and starts what has ended.
    pub async fn heal(&mut self, fleet: &mut Fleet) {
        self.disturbed.push(Instant::now());
        fleet.heal().await;
        for leaving in std::mem::take(&mut self.leaving) {
            self.check(&leaving, fleet);
            let (engine, _) = &fleet.engines[leaving.engine];
            fleet.store.delete("servers", &engine.id());
            engine.crash();
            engine.restart().await;
            fleet
                .store
                .put("servers", &engine.id(), engine.entry("ready"));
        }
    }

    /// Notes a broken promise if a leaving engine got new work after the bound
    /// in a time of calm.
    fn check(&mut self, leaving: &Leaving, fleet: &Fleet) {
        let (engine, _) = &fleet.engines[leaving.engine];
        let bound = leaving.said_at + LEAVING_BOUND;
        let is_calm = |at: Instant| {
            self.disturbed
                .iter()
                .all(|d| *d > at || at.saturating_duration_since(*d) > CALM_AROUND)
        };
        let late = engine.runs().into_iter().filter(|run| run.at > bound);
        let late: Vec<_> = late.filter(|run| is_calm(run.at)).collect();
        if let Some(run) = late.first() {
            let after = run.at - leaving.said_at;
            let text = format!(
                "{} began at an engine {after:?} after it said to leave",
                run.call
            );
            self.late.push(text);
        }
    }

    /// Has half of the engines say that they leave while all is calm, and checks
    /// that they get no new work after the bound.
    pub async fn check_leaving_in_calm(&mut self, fleet: &mut Fleet) {
        let now = Instant::now();
        for at in (0..fleet.engines.len()).step_by(2) {
            let (engine, _) = &fleet.engines[at];
            fleet
                .store
                .put("servers", &engine.id(), engine.entry("draining"));
            self.leaving.push(Leaving {
                engine: at,
                said_at: now,
            });
        }
        tokio::time::sleep(LEAVING_BOUND + LOOK_AFTER_BOUND).await;
        for leaving in std::mem::take(&mut self.leaving) {
            self.check(&leaving, fleet);
        }
    }

    /// Promises that were broken.
    pub fn take_broken(&mut self) -> Vec<String> {
        std::mem::take(&mut self.late)
    }
}

async fn restart(fleet: &Fleet, at: usize) {
    let (engine, _) = &fleet.engines[at];
    let earlier = engine.id();
    engine.crash();
    tokio::time::sleep(Duration::from_millis(20)).await;
    engine.restart().await;
    fleet
        .store
        .put("servers", &engine.id(), engine.entry("ready"));
    fleet.store.delete("servers", &earlier);
}
