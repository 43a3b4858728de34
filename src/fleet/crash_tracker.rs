//! Brings together what all nodes know of requests that crash runners.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::clock::unix_ms;
use crate::fleet::poison::{Fingerprint, POISON_TTL, RequestHealth, RunnerLife, Suspects};
use crate::fleet::runner::RunnerClient;
use crate::fleet::table::Fleet;
use crate::hash::rendezvous_order;
use crate::id::{Incarnation, RunnerId};
use crate::membership::announcement::Announcement;
use crate::membership::gossip::Membership;
use crate::membership::message::{CrashRecord, Question, ReplyBody, RunnerLifeRecord};
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

    /// Notes that a runner's connection broke under a request.
    pub(crate) async fn connection_broke(&self, fingerprint: Fingerprint, life: RunnerLife) {
        self.fleet.unreachable(&life.0, Instant::now());
        if !self.has_crashed(&life).await {
            return;
        }
        let key = format!("{fingerprint:016x}/{}/{}", life.0, life.1);
        self.note_crash(fingerprint, life);
        self.membership.announce(Announcement {
            topic: CRASH_TOPIC,
            key,
            version: 1,
            ttl: CRASH_TTL,
            body: Bytes::new(),
        });
        self.consult(fingerprint).await;
    }

    /// Exchanges what is held against a suspect with the one node that all
    /// nodes ask about it, so that a caller that goes from node to node finds
    /// the decision there before it, however slowly news spreads.
    pub(crate) async fn consult(&self, fingerprint: Fingerprint) {
        if !self.is_suspect(fingerprint) {
            return;
        }
        let alive = self.membership.alive();
        let names = alive.iter().map(|member| member.node.as_str());
        let arbiter = rendezvous_order(fingerprint, names).into_iter().next();
        let arbiter = alive.iter().find(|m| Some(m.node.as_str()) == arbiter);
        let Some(arbiter) = arbiter.filter(|a| a.node != self.membership.me().node) else {
            return;
        };
        let question = Question::Crashes(self.record(fingerprint));
        let asked = self
            .peers
            .ask(arbiter.peer_address, question, CONSULT_TIMEOUT)
            .await;
        if let Ok(ReplyBody::Crashes(record)) = asked {
            self.merge(&record);
        }
    }

    /// Takes in what another node knows of a request, and tells what is known here.
    pub(crate) fn exchange(&self, record: &CrashRecord) -> CrashRecord {
        self.merge(record);
        self.record(record.fingerprint)
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
    pub(crate) async fn decide(&self, fingerprint: Fingerprint) -> Result<(), Blocked> {
        loop {
            match self.check(fingerprint) {
                Err(Blocked::Quarantined(left)) => tokio::time::sleep(left).await,
                Err(poison) => {
                    // The caller may go to another node with its answer.
                    self.consult(fingerprint).await;
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
        for life in &record.lives {
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

    fn record(&self, fingerprint: Fingerprint) -> CrashRecord {
        let suspects = self.suspects();
        let time_left = suspects.poison_time_left(fingerprint, Instant::now());
        let lives = suspects.lives(fingerprint).into_iter();
        CrashRecord {
            fingerprint,
            lives: lives
                .map(|(runner, incarnation)| RunnerLifeRecord {
                    runner,
                    incarnation,
                })
                .collect(),
            poison_ms: time_left.map_or(0, |left| left.as_millis() as u64),
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
