//! The faults of one seed, and the check that draining engines get no new runs
//! after a bounded time.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::edge_environment::config;
use crate::edge_environment::service::NextFault;
use crate::node::SoakEnvironment;
use crate::proxy::Mode;

/// A draining engine must get no new runs later than this after it was marked.
const DRAINING_BOUND: Duration = Duration::from_secs(2);
/// How long the final check waits for late runs after the bound.
const OBSERVATION_TIME: Duration = Duration::from_millis(2_000);
/// A late run counts as a violation only if no disturbance began or ended within
/// this time before it. All faults but the crash or draining of a single engine are
/// disturbances: they can delay the news of a draining engine.
const UNDISTURBED_TIME: Duration = Duration::from_secs(3);

/// The summary line prints these names, and scripts read them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FaultKind {
    KillNode,
    /// The node gets SIGTERM.
    StopNode,
    /// The node gets SIGSTOP.
    PauseNode,
    /// The node gets SIGHUP.
    ReloadNode,
    /// The proxy between a node and the store delays, holds back or resets traffic.
    CutStoreLink,
    /// The store answers every request with status 503.
    StoreAway,
    /// The store does not answer.
    StoreSilent,
    /// The store drops the history of changes, so that nodes must list again.
    ForgetHistory,
    /// The engine crashes and starts again as a new incarnation.
    CrashEngine,
    /// All engines of a data centre crash and start again, one after the other.
    CrashDataCentre,
    FreezeEngine,
    CutEngineLink,
    DrainEngine,
    /// One call fails at a service, in one of the ways of `NextFault`.
    ServiceFails,
    CutServiceLink,
    ChangeConfig,
}

const FAULT_KINDS: [FaultKind; 16] = [
    FaultKind::KillNode,
    FaultKind::StopNode,
    FaultKind::PauseNode,
    FaultKind::ReloadNode,
    FaultKind::CutStoreLink,
    FaultKind::StoreAway,
    FaultKind::StoreSilent,
    FaultKind::ForgetHistory,
    FaultKind::CrashEngine,
    FaultKind::CrashDataCentre,
    FaultKind::FreezeEngine,
    FaultKind::CutEngineLink,
    FaultKind::DrainEngine,
    FaultKind::ServiceFails,
    FaultKind::CutServiceLink,
    FaultKind::ChangeConfig,
];

/// An engine whose entry in the store says that it is draining.
struct DrainingEngine {
    engine: usize,
    marked_at: Instant,
}

pub struct Faults {
    random: StdRng,
    counts: BTreeMap<FaultKind, usize>,
    version: u64,
    draining: Vec<DrainingEngine>,
    /// Times at which faults that can delay the news of a draining engine began or
    /// ended.
    disturbances: Vec<Instant>,
    violations: Vec<String>,
}

impl Faults {
    pub fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            counts: BTreeMap::new(),
            version: 1,
            draining: Vec::new(),
            disturbances: Vec::new(),
            violations: Vec::new(),
        }
    }

    pub fn counts(&self) -> &impl std::fmt::Debug {
        &self.counts
    }

    /// Injects one fault, waits, restarts nodes that have exited, and ends all faults
    /// with a probability of 0.3; otherwise the fault overlaps with the next one.
    pub async fn step(&mut self, environment: &mut SoakEnvironment) {
        let kind = FAULT_KINDS[self.random.random_range(0..FAULT_KINDS.len())];
        *self.counts.entry(kind).or_default() += 1;
        self.inject(kind, environment).await;
        let pause = self.random.random_range(50..500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        for node in &mut environment.nodes {
            node.restart_if_exited();
        }
        if self.random.random_bool(0.3) {
            self.heal(environment).await;
        }
    }

    async fn inject(&mut self, kind: FaultKind, environment: &mut SoakEnvironment) {
        let node = self.random.random_range(0..environment.nodes.len());
        let engine = self.random.random_range(0..environment.engines.len());
        let service = self.random.random_range(0..environment.services.len());
        let mode = self.random_mode();
        let keeps_draining_bound = matches!(kind, FaultKind::CrashEngine | FaultKind::DrainEngine);
        if !keeps_draining_bound {
            self.disturbances.push(Instant::now());
        }
        match kind {
            FaultKind::KillNode => environment.nodes[node].signal("KILL"),
            FaultKind::StopNode => environment.nodes[node].signal("TERM"),
            FaultKind::PauseNode => environment.nodes[node].signal("STOP"),
            FaultKind::ReloadNode => environment.nodes[node].signal("HUP"),
            FaultKind::CutStoreLink => environment.nodes[node].store_link.set_mode(mode),
            FaultKind::StoreAway => environment
                .store
                .is_unavailable
                .store(true, Ordering::Relaxed),
            FaultKind::StoreSilent => environment.store.is_silent.store(true, Ordering::Relaxed),
            FaultKind::ForgetHistory => environment.store.expire_history(),
            FaultKind::CrashEngine => restart_engine(environment, engine).await,
            FaultKind::CrashDataCentre => {
                for at in (engine % 2..environment.engines.len()).step_by(2) {
                    restart_engine(environment, at).await;
                }
            }
            FaultKind::FreezeEngine => environment.engines[engine].0.set_frozen(true),
            FaultKind::CutEngineLink => environment.engines[engine].1.set_mode(mode),
            FaultKind::DrainEngine => self.drain_engine(environment, engine),
            FaultKind::ServiceFails => {
                let fault = self.random.random_range(0..NextFault::ALL.len());
                environment.services[service]
                    .0
                    .queue_fault(NextFault::ALL[fault]);
            }
            FaultKind::CutServiceLink => environment.services[service].1.set_mode(mode),
            FaultKind::ChangeConfig => {
                self.version += self.random.random_range(1..4);
                environment
                    .store
                    .put("config", "main", config(self.version));
            }
        }
    }

    fn random_mode(&mut self) -> Mode {
        match self.random.random_range(0..4) {
            0 => Mode::Delay(Duration::from_millis(self.random.random_range(5..200))),
            1 => Mode::Silent,
            2 => Mode::NoAnswers,
            _ => Mode::Reset,
        }
    }

    fn drain_engine(&mut self, environment: &SoakEnvironment, at: usize) {
        let too_few_stay = environment.engines.len() <= self.draining.len() + 4;
        if too_few_stay || self.draining.iter().any(|d| d.engine == at) {
            return;
        }
        let (engine, _) = &environment.engines[at];
        let id = engine.id();
        environment
            .store
            .put("servers", &id, engine.entry("draining"));
        self.draining.push(DrainingEngine {
            engine: at,
            marked_at: Instant::now(),
        });
    }

    /// Ends all faults, restarts nodes that have exited, and replaces each draining
    /// engine by a new incarnation.
    pub async fn heal(&mut self, environment: &mut SoakEnvironment) {
        self.disturbances.push(Instant::now());
        environment.heal().await;
        for draining in std::mem::take(&mut self.draining) {
            self.check_draining_bound(&draining, environment);
            let (engine, _) = &environment.engines[draining.engine];
            environment.store.delete("servers", &engine.id());
            engine.crash();
            engine.restart().await;
            environment
                .store
                .put("servers", &engine.id(), engine.entry("ready"));
        }
    }

    /// Records a violation if a draining engine got a run after the bound, with no
    /// disturbance shortly before the run.
    fn check_draining_bound(&mut self, draining: &DrainingEngine, environment: &SoakEnvironment) {
        let (engine, _) = &environment.engines[draining.engine];
        let bound = draining.marked_at + DRAINING_BOUND;
        let is_undisturbed = |at: Instant| {
            self.disturbances
                .iter()
                .all(|d| *d > at || at.saturating_duration_since(*d) > UNDISTURBED_TIME)
        };
        let late_runs = engine
            .runs()
            .into_iter()
            .filter(|run| run.started_at > bound);
        let late_runs: Vec<_> = late_runs
            .filter(|run| is_undisturbed(run.started_at))
            .collect();
        if let Some(run) = late_runs.first() {
            let after = run.started_at - draining.marked_at;
            let text = format!(
                "{} began at an engine {after:?} after the engine was marked as draining",
                run.call_id
            );
            self.violations.push(text);
        }
    }

    /// Marks half of the engines as draining while there are no faults, and checks
    /// that they get no new runs after the bound.
    pub async fn check_draining_engines(&mut self, environment: &mut SoakEnvironment) {
        let now = Instant::now();
        for at in (0..environment.engines.len()).step_by(2) {
            let (engine, _) = &environment.engines[at];
            environment
                .store
                .put("servers", &engine.id(), engine.entry("draining"));
            self.draining.push(DrainingEngine {
                engine: at,
                marked_at: now,
            });
        }
        tokio::time::sleep(DRAINING_BOUND + OBSERVATION_TIME).await;
        for draining in std::mem::take(&mut self.draining) {
            self.check_draining_bound(&draining, environment);
        }
    }

    pub fn take_violations(&mut self) -> Vec<String> {
        std::mem::take(&mut self.violations)
    }
}

async fn restart_engine(environment: &SoakEnvironment, at: usize) {
    let (engine, _) = &environment.engines[at];
    let earlier_id = engine.id();
    engine.crash();
    tokio::time::sleep(Duration::from_millis(20)).await;
    engine.restart().await;
    environment
        .store
        .put("servers", &engine.id(), engine.entry("ready"));
    environment.store.delete("servers", &earlier_id);
}
