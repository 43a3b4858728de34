//! Shares between nodes which requests crash runners.
//!
//! A request is a suspect after a runner crashed while it ran the request. It
//! is a poison request, which is refused, after too many such crashes. Crashes
//! and poison requests are announced to all nodes. In addition, all nodes
//! consult the same node about a given suspect, its arbiter, because
//! announcements can be slower than a caller that goes from node to node. The
//! arbiter also decides which copy may start, if a suspect is sent repeatedly.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::clock::unix_ms;
use crate::fleet::part_crashes::{PartCrashes, PromptParts, RunPhase};
use crate::fleet::poison::{
    POISON_TTL, RequestCopy, RequestStatus, RunnerIncarnation, SuspectRequests,
};
use crate::fleet::runner::RunnerClient;
use crate::fleet::table::Fleet;
use crate::hash::rendezvous_order;
use crate::id::{Fingerprint, Incarnation, RunnerId};
use crate::membership::announcement::Announcement;
use crate::membership::gossip::Membership;
use crate::membership::message::{CrashRecord, ReplyBody, RequestBody, RunnerIncarnationRecord};
use crate::membership::peer::PeerClient;
use crate::observe::metrics::{Counter, Metrics};

/// Topic of the announcements that a runner crashed while it ran a request.
pub(crate) const CRASH_TOPIC: u32 = 1;
/// Topic of the announcements of poison requests.
pub(crate) const POISON_TOPIC: u32 = 2;

/// Time-out of the request that checks whether a runner is alive after its
/// connection broke.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(100);
/// Time-out of a request to a suspect's arbiter.
const ARBITER_TIMEOUT: Duration = Duration::from_millis(60);
/// Lifetime of a crash announcement, within which nodes that join receive it
/// too.
const CRASH_TTL: Duration = Duration::from_secs(600);

/// Reason why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blocked {
    /// The request must wait; the duration is the rest of its quarantine.
    Quarantined(Duration),
    /// The request crashes runners and is refused for this duration.
    Poison(Duration),
    /// The request shares a part with others that crash runners, and is refused for
    /// this duration.
    SharesPart(Duration),
}

/// The suspect requests that one node knows of, synchronised with its peers.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    fleet: Arc<Fleet>,
    client: RunnerClient,
    suspects: Mutex<SuspectRequests>,
    /// Crashes by the parts of prompts.
    pub(crate) parts: PartCrashes,
    membership: Membership,
    peers: PeerClient,
    metrics: Arc<Metrics>,
}

impl CrashTracker {
    /// Creates a tracker without suspects.
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
            parts: PartCrashes::new(membership.clone()),
            membership,
            peers,
            metrics,
        }
    }

    /// Whether a runner crashed recently while it ran the request with
    /// `fingerprint`.
    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects().is_suspect(fingerprint, Instant::now())
    }

    /// Runners that crashed while they ran the request with `fingerprint`.
    pub(crate) fn crashed_runners(&self, fingerprint: Fingerprint) -> Vec<RunnerId> {
        self.suspects().crashed_runners(fingerprint)
    }

    /// Records that a copy of the request with `fingerprint` starts at `runner`.
    pub(crate) fn record_start(&self, fingerprint: Fingerprint, runner: &str) {
        self.suspects()
            .record_start(fingerprint, runner, Instant::now());
    }

    /// Runner at which a copy of the request with `fingerprint` started so
    /// recently that it may still crash.
    pub(crate) fn recent_start_runner(&self, fingerprint: Fingerprint) -> Option<RunnerId> {
        self.suspects()
            .recent_start_runner(fingerprint, Instant::now())
    }

    /// Checks whether `runner` crashed after its connection broke while it ran
    /// `copy`, a request with these parts. If so, records and announces the crash.
    pub(crate) async fn handle_connection_loss(
        &self,
        copy: RequestCopy,
        parts: PromptParts<'_>,
        runner: RunnerIncarnation,
        phase: RunPhase,
    ) {
        self.fleet.mark_unreachable(&runner.0, Instant::now());
        if !self.has_crashed(&runner).await {
            return;
        }
        self.parts.record_crash(parts, &runner, phase);
        let fingerprint = copy.fingerprint;
        let key = format!("{fingerprint:016x}/{}/{}", runner.0, runner.1);
        self.record_crash(fingerprint, runner);
        self.membership.announce(Announcement {
            topic: CRASH_TOPIC,
            key,
            version: 1,
            ttl: CRASH_TTL,
            body: Bytes::new(),
        });
        self.sync_with_arbiter(copy).await;
    }

    /// Waits until `copy` may start. Only one copy of a suspect
    /// starts at a time on all nodes together, until its canary run is over.
    pub(crate) async fn wait_for_start(&self, copy: RequestCopy) -> Result<(), Blocked> {
        loop {
            let wait = self.request_start(copy).await;
            self.check_allowed(copy.fingerprint)?;
            if wait.is_zero() {
                return Ok(());
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Asks the arbiter whether a copy may start; zero if it may, otherwise the
    /// time after which to ask again.
    async fn request_start(&self, copy: RequestCopy) -> Duration {
        if !self.is_suspect(copy.fingerprint) {
            return Duration::ZERO;
        }
        let mut request = self.crash_record(copy);
        request.wants_to_start = true;
        match self.ask_arbiter(request).await {
            Some(reply) => Duration::from_millis(reply.wait_ms),
            None => self.try_start_locally(copy),
        }
    }

    /// Exchanges the crashes of a suspect with its arbiter. A caller that goes
    /// from node to node then gets the same decision everywhere, however slowly
    /// announcements spread.
    async fn sync_with_arbiter(&self, copy: RequestCopy) {
        if self.is_suspect(copy.fingerprint) {
            self.suspects().record_copy(copy);
            self.ask_arbiter(self.crash_record(copy)).await;
        }
    }

    /// Sends a record to the arbiter of its request and merges the reply.
    /// `None` if this node is the arbiter itself, or the arbiter does not
    /// reply.
    async fn ask_arbiter(&self, record: CrashRecord) -> Option<CrashRecord> {
        let arbiter = self.arbiter(record.fingerprint)?;
        let request = RequestBody::Crashes(record);
        let result = self.peers.call(arbiter, request, ARBITER_TIMEOUT).await;
        let Ok(ReplyBody::Crashes(reply)) = result else {
            return None;
        };
        self.merge(&reply);
        Some(reply)
    }

    /// Address of the arbiter of the request with `fingerprint`, which all nodes
    /// choose alike by rendezvous hashing; `None` if it is this node.
    fn arbiter(&self, fingerprint: Fingerprint) -> Option<SocketAddr> {
        let alive = self.membership.alive();
        let names = alive.iter().map(|member| member.node.as_str());
        let first = rendezvous_order(fingerprint, names).into_iter().next()?;
        let arbiter = alive.iter().find(|member| member.node == first)?;
        (arbiter.node != self.membership.me().node).then_some(arbiter.peer_address)
    }

    /// Decides by the crashes and canary runs that this node knows whether a
    /// copy may start; zero if it may, otherwise the time after which to ask
    /// again.
    fn try_start_locally(&self, copy: RequestCopy) -> Duration {
        let started = self.suspects().try_start(copy, Instant::now());
        started.err().unwrap_or_default()
    }

    /// Answers another node as the arbiter of the request in `record`: merges it,
    /// and replies with all crashes that this node knows of and, if asked, the
    /// time until the copy may start.
    pub(crate) fn merge_and_reply(&self, record: &CrashRecord) -> CrashRecord {
        self.merge(record);
        let copy = RequestCopy {
            fingerprint: record.fingerprint,
            id: record.copy,
        };
        self.suspects().record_copy(copy);
        let mut reply = self.crash_record(copy);
        if record.wants_to_start {
            reply.wait_ms = self.try_start_locally(copy).as_millis() as u64;
        }
        reply
    }

    /// Applies a peer's announcement of a crash or a poison request.
    pub(crate) fn apply_announcement(&self, announcement: &Announcement) {
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
            self.record_crash(fingerprint, (runner.to_owned(), incarnation));
        }
    }

    /// Checks whether a request may run, as far as its parts are concerned.
    pub(crate) fn check_parts(&self, parts: PromptParts<'_>) -> Result<(), Blocked> {
        self.parts.check_allowed(parts).map_err(Blocked::SharesPart)
    }

    /// Checks whether the request with `fingerprint` may run now. If this check
    /// marks it as poison, that is announced to peers.
    pub(crate) fn check_allowed(&self, fingerprint: Fingerprint) -> Result<(), Blocked> {
        let mut suspects = self.suspects();
        let now = Instant::now();
        let was_poison = suspects.poison_time_left(fingerprint, now).is_some();
        let status = suspects.status(fingerprint, now);
        drop(suspects);
        match status {
            RequestStatus::Allowed => Ok(()),
            RequestStatus::Quarantined(remaining) => Err(Blocked::Quarantined(remaining)),
            RequestStatus::Poison(remaining) => {
                if !was_poison {
                    self.announce_poison(fingerprint);
                }
                Err(Blocked::Poison(remaining))
            }
        }
    }

    /// Waits until the quarantine of the copy's request is over, if it is
    /// quarantined.
    pub(crate) async fn wait_for_decision(&self, copy: RequestCopy) -> Result<(), Blocked> {
        loop {
            match self.check_allowed(copy.fingerprint) {
                Err(Blocked::Quarantined(remaining)) => tokio::time::sleep(remaining).await,
                Err(poison) => {
                    // The caller may retry at another node, which then gets the
                    // same decision from the arbiter.
                    self.sync_with_arbiter(copy).await;
                    return Err(poison);
                }
                Ok(()) => return Ok(()),
            }
        }
    }

    fn announce_poison(&self, fingerprint: Fingerprint) {
        log::warn!(
            "request {fingerprint:016x} marked as poison: it crashed too many runners and is refused"
        );
        self.metrics.add(Counter::PoisonRequests, 1);
        self.membership.announce(Announcement {
            topic: POISON_TOPIC,
            key: format!("{fingerprint:016x}"),
            version: unix_ms(),
            ttl: POISON_TTL,
            body: Bytes::new(),
        });
    }

    fn record_crash(&self, fingerprint: Fingerprint, runner: RunnerIncarnation) {
        self.suspects()
            .record_crash(fingerprint, runner, Instant::now());
    }

    fn merge(&self, record: &CrashRecord) {
        let known = self.suspects().crashed_incarnations(record.fingerprint);
        for crashed in &record.incarnations {
            let crashed = (crashed.runner.clone(), crashed.incarnation);
            if !known.contains(&crashed) {
                self.record_crash(record.fingerprint, crashed);
            }
        }
        if record.poison_ms > 0 {
            let until = Instant::now() + Duration::from_millis(record.poison_ms);
            self.suspects().mark_poison(record.fingerprint, until);
        }
    }

    /// The crashes of the copy's request that this node knows of, as a message to
    /// another node.
    fn crash_record(&self, copy: RequestCopy) -> CrashRecord {
        let fingerprint = copy.fingerprint;
        let suspects = self.suspects();
        let remaining = suspects.poison_time_left(fingerprint, Instant::now());
        let crashed = suspects.crashed_incarnations(fingerprint).into_iter();
        CrashRecord {
            fingerprint,
            incarnations: crashed
                .map(|(runner, incarnation)| RunnerIncarnationRecord {
                    runner,
                    incarnation,
                })
                .collect(),
            poison_ms: remaining.map_or(0, |remaining| remaining.as_millis() as u64),
            copy: copy.id,
            wants_to_start: false,
            wait_ms: 0,
        }
    }

    /// Whether the incarnation `runner` is gone: the runner is not listed any more,
    /// does not respond, or responds with another incarnation.
    async fn has_crashed(&self, runner: &RunnerIncarnation) -> bool {
        let Some((address, _)) = self.fleet.locate(&runner.0) else {
            return true;
        };
        match self.client.report(address, LIVENESS_TIMEOUT).await {
            Ok(report) => {
                self.fleet.apply_report(&runner.0, &report);
                report.incarnation != runner.1
            }
            Err(_) => true,
        }
    }

    fn suspects(&self) -> MutexGuard<'_, SuspectRequests> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
