//! Brings together what all nodes know of requests that crash runners.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::clock::unix_ms;
use crate::fleet::poison::{
    Fingerprint, POISON_TTL, RequestCopy, RequestHealth, RunnerLife, Suspects,
};
use crate::fleet::runner::RunnerClient;
use crate::fleet::table::Fleet;
use crate::hash::rendezvous_order;
use crate::id::{Incarnation, RunnerId};
use crate::membership::announcement::Announcement;
use crate::membership::gossip::Membership;
use crate::membership::message::{CrashRecord, ReplyBody, RequestBody, RunnerIncarnationRecord};
use crate::membership::peer::PeerClient;
use crate::observe::metrics::{Counter, Metrics};

/// Announcements of crashes that a request was in.
pub(crate) const CRASH_TOPIC: u32 = 1;
/// Announcements of poison requests.
pub(crate) const POISON_TOPIC: u32 = 2;

/// How long a runner whose connection broke may take to show that it lives.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the node that is asked about a suspect may take.
const CONSULT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long news of a crash is told to new nodes.
const CRASH_TTL: Duration = Duration::from_secs(600);

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blocked {
    /// Its case is decided after this time.
    Quarantined(Duration),
    /// It crashes runners, and is refused for this time.
    Poison(Duration),
}

/// One node's knowledge of suspects, kept in step with its peers'.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    fleet: Arc<Fleet>,
    client: RunnerClient,
    suspects: Mutex<Suspects>,
    membership: Membership,
    peers: PeerClient,
    metrics: Arc<Metrics>,
}

impl CrashTracker {
    /// Makes a tracker that suspects nobody.
    pub(crate) fn new(
        fleet: Arc<Fleet>,
        client: RunnerClient,
        membership: Membership,
        peers: PeerClient,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            fleet,
            client,
            suspects: Mutex::default(),
            membership,
            peers,
            metrics,
        }
    }

    /// Whether a crash is held against a request.
    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects().is_suspect(fingerprint, Instant::now())
    }

    /// Runners that were lost while a request ran there.
    pub(crate) fn crashed_runners(&self, fingerprint: Fingerprint) -> Vec<RunnerId> {
        self.suspects().crashed_runners(fingerprint)
    }

    /// Notes where a copy of a request begins to run.
    pub(crate) fn note_begun(&self, fingerprint: Fingerprint, runner: &str) {
        self.suspects()
            .note_begun(fingerprint, runner, Instant::now());
    }

    /// Where another copy of a request began a moment ago.
    pub(crate) fn begun_at(&self, fingerprint: Fingerprint) -> Option<RunnerId> {
        self.suspects().begun_at(fingerprint, Instant::now())
    }

    /// Notes that a runner's connection broke under a copy of a request.
    pub(crate) async fn connection_broke(&self, copy: RequestCopy, life: RunnerLife) {
        self.fleet.unreachable(&life.0, Instant::now());
        if !self.has_crashed(&life).await {
            return;
        }
        let fingerprint = copy.fingerprint;
        let key = format!("{fingerprint:016x}/{}/{}", life.0, life.1);
        self.note_crash(fingerprint, life);
        self.membership.announce(Announcement {
            topic: CRASH_TOPIC,
            key,
            version: 1,
            ttl: CRASH_TTL,
            body: Bytes::new(),
        });
        self.consult(copy).await;
    }

    /// Waits until a copy of a request may begin to run. Of a suspect one copy
    /// begins at a time, in the whole fleet, until it is known how it ends.
    pub(crate) async fn may_begin(&self, copy: RequestCopy) -> Result<(), Blocked> {
        loop {
            let wait = self.ask_to_begin(copy).await;
            self.check(copy.fingerprint)?;
            if wait.is_zero() {
                return Ok(());
            }
            tokio::time::sleep(wait).await;
        }
    }

    async fn ask_to_begin(&self, copy: RequestCopy) -> Duration {
        if !self.is_suspect(copy.fingerprint) {
            return Duration::ZERO;
        }
        let mut question = self.record(copy);
        question.wants_to_begin = true;
        match self.ask_arbiter(question).await {
            Some(answer) => Duration::from_millis(answer.wait_ms),
            None => self.wait_before(copy),
        }
    }

    /// Exchanges what is held against a suspect with the one node that all
    /// nodes ask about it, so that a caller that goes from node to node finds
    /// the decision there before it, however slowly news spreads.
    async fn consult(&self, copy: RequestCopy) {
        if self.is_suspect(copy.fingerprint) {
            self.suspects().note_copy(copy);
            self.ask_arbiter(self.record(copy)).await;
        }
    }

    /// Gives nothing where this node is the one to ask, or that one is silent.
    async fn ask_arbiter(&self, record: CrashRecord) -> Option<CrashRecord> {
        let arbiter = self.arbiter(record.fingerprint)?;
        let question = RequestBody::Crashes(record);
        let asked = self.peers.call(arbiter, question, CONSULT_TIMEOUT).await;
        let Ok(ReplyBody::Crashes(answer)) = asked else {
            return None;
        };
        self.merge(&answer);
        Some(answer)
    }

    /// Address of the node that all nodes ask about a request, unless it is
    /// this one.
    fn arbiter(&self, fingerprint: Fingerprint) -> Option<SocketAddr> {
        let alive = self.membership.alive();
        let names = alive.iter().map(|member| member.node.as_str());
        let first = rendezvous_order(fingerprint, names).into_iter().next()?;
        let arbiter = alive.iter().find(|member| member.node == first)?;
        (arbiter.node != self.membership.me().node).then_some(arbiter.peer_address)
    }

    fn wait_before(&self, copy: RequestCopy) -> Duration {
        let begun = self.suspects().begin(copy, Instant::now());
        begun.err().unwrap_or_default()
    }

    /// Takes in what another node knows of a request, and tells what is known
    /// here and whether the copy that it asks for may begin.
    pub(crate) fn exchange(&self, record: &CrashRecord) -> CrashRecord {
        self.merge(record);
        let copy = RequestCopy {
            fingerprint: record.fingerprint,
            id: record.copy,
        };
        self.suspects().note_copy(copy);
        let mut known = self.record(copy);
        if record.wants_to_begin {
            known.wait_ms = self.wait_before(copy).as_millis() as u64;
        }
        known
    }

    /// Takes in what a peer announced.
    pub(crate) fn learn(&self, announcement: &Announcement) {
        let mut parts = announcement.key.splitn(3, '/');
        let fingerprint = parts.next().and_then(|f| u64::from_str_radix(f, 16).ok());
        let Some(fingerprint) = fingerprint else {
            return;
        };
        if announcement.topic == POISON_TOPIC {
            let until = Instant::now() + announcement.ttl;
            self.suspects().mark_poison(fingerprint, until);
            return;
        }
        let runner = parts.next();
        let incarnation = parts.next().and_then(|i| i.parse::<Incarnation>().ok());
        if let (Some(runner), Some(incarnation)) = (runner, incarnation) {
            self.note_crash(fingerprint, (runner.to_owned(), incarnation));
        }
    }

    /// Tells whether a request may run now.
    pub(crate) fn check(&self, fingerprint: Fingerprint) -> Result<(), Blocked> {
        let mut suspects = self.suspects();
        let now = Instant::now();
        let known = suspects.poison_time_left(fingerprint, now).is_some();
        let health = suspects.health(fingerprint, now);
        drop(suspects);
        match health {
            RequestHealth::Healthy => Ok(()),
            RequestHealth::Quarantined(left) => Err(Blocked::Quarantined(left)),
            RequestHealth::Poison(left) => {
                if !known {
                    self.announce_poison(fingerprint);
                }
                Err(Blocked::Poison(left))
            }
        }
    }

    /// Waits until it is decided whether a request may go on after a crash.
    pub(crate) async fn decide(&self, copy: RequestCopy) -> Result<(), Blocked> {
        loop {
            match self.check(copy.fingerprint) {
                Err(Blocked::Quarantined(left)) => tokio::time::sleep(left).await,
                Err(poison) => {
                    // The caller may go to another node with its answer.
                    self.consult(copy).await;
                    return Err(poison);
                }
                Ok(()) => return Ok(()),
            }
        }
    }

    fn announce_poison(&self, fingerprint: Fingerprint) {
        log::warn!("request {fingerprint:016x} crashes runners and is refused from now on");
        self.metrics.add(Counter::PoisonRequests, 1);
        self.membership.announce(Announcement {
            topic: POISON_TOPIC,
            key: format!("{fingerprint:016x}"),
            version: unix_ms(),
            ttl: POISON_TTL,
            body: Bytes::new(),
        });
    }

    fn note_crash(&self, fingerprint: Fingerprint, life: RunnerLife) {
        self.suspects()
            .note_crash(fingerprint, life, Instant::now());
    }

    fn merge(&self, record: &CrashRecord) {
        let known = self.suspects().lives(record.fingerprint);
        for life in &record.incarnations {
            let life = (life.runner.clone(), life.incarnation);
            if !known.contains(&life) {
                self.note_crash(record.fingerprint, life);
            }
        }
        if record.poison_ms > 0 {
            let until = Instant::now() + Duration::from_millis(record.poison_ms);
            self.suspects().mark_poison(record.fingerprint, until);
        }
    }

    fn record(&self, copy: RequestCopy) -> CrashRecord {
        let fingerprint = copy.fingerprint;
        let suspects = self.suspects();
        let time_left = suspects.poison_time_left(fingerprint, Instant::now());
        let lives = suspects.lives(fingerprint).into_iter();
        CrashRecord {
            fingerprint,
            incarnations: lives
                .map(|(runner, incarnation)| RunnerIncarnationRecord {
                    runner,
                    incarnation,
                })
                .collect(),
            poison_ms: time_left.map_or(0, |left| left.as_millis() as u64),
            copy: copy.id,
            wants_to_begin: false,
            wait_ms: 0,
        }
    }

    /// Tells whether the life that held a stream is over.
    async fn has_crashed(&self, life: &RunnerLife) -> bool {
        let Some((address, _)) = self.fleet.locate(&life.0) else {
            return true;
        };
        match self.client.report(address, LIVENESS_TIMEOUT).await {
            Ok(report) => {
                self.fleet.reported(&life.0, &report);
                report.incarnation != life.1
            }
            Err(_) => true,
        }
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
