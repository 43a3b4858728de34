//! Finds out whether this node reaches the upstreams of each service, by new
//! connections to a few of them when calls fail or stay unanswered.
//!
//! `docs/REACH.md` has the design.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

use super::forwarder::{Forwarder, NodeContext};
use super::observation::Observation;
use super::upstream::Upstream;
use crate::id::ServiceId;
use crate::observe::metrics::Counter;
use crate::policy::upstream_reach::{ProbeRound, ReachChange, UpstreamReach};

/// Upstreams that are probed after the first one of a round.
const FURTHER_PROBES: usize = 3;
/// Time after which further upstreams are probed beside the first of a round.
const FIRST_PROBE_TIME: Duration = Duration::from_millis(100);
/// Interval at which the node checks whether it should probe.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time without a byte from any upstream of a service, while calls wait for one,
/// after which its upstreams are probed.
const SILENCE_MAX: Duration = Duration::from_millis(600);
/// Shortest time between two rounds of probes of a service of which calls fail.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two rounds of probes of a service that is only silent.
const SILENT_ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a node that is cut from a service tells its peers again.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(15);

/// What this node knows of its paths to the upstreams of one service.
#[derive(Debug, Default)]
struct ServicePaths {
    reach: UpstreamReach,
    probed_at: Option<Instant>,
    /// When the upstreams became unreachable.
    cut_at: Option<Instant>,
}

/// What this node knows of its own paths to the upstreams.
#[derive(Debug, Default)]
pub(crate) struct ReachMonitor {
    services: Mutex<BTreeMap<ServiceId, ServicePaths>>,
    cut_services: watch::Sender<BTreeSet<ServiceId>>,
}

impl ReachMonitor {
    /// Whether no upstream of the service can be reached.
    pub(crate) fn is_cut(&self, service: &str) -> bool {
        self.cut_services.borrow().contains(service)
    }

    /// Whether the last probes reached no upstream of the service. It may be served
    /// again somewhat before [`Self::is_cut`] says so.
    pub(crate) fn is_unreachable(&self, service: &str) -> bool {
        let services = self.lock();
        let paths = services.get(service);
        paths.is_some_and(|paths| paths.reach.is_unreachable())
    }

    /// The services of which no upstream can be reached.
    pub(crate) fn cut_services(&self) -> BTreeSet<ServiceId> {
        self.cut_services.borrow().clone()
    }

    /// Completes when no upstream of the service can be reached.
    pub(crate) async fn wait_until_cut(&self, service: &str) {
        let mut changes = self.cut_services.subscribe();
        // The sender lives as long as `self`.
        let _ = changes.wait_for(|cut| cut.contains(service)).await;
    }

    /// Records that a call failed at an upstream.
    pub(crate) fn record_failure(&self, upstream: &Upstream) {
        let entry = &upstream.entry;
        let mut services = self.lock();
        let paths = services.entry(entry.service.clone()).or_default();
        paths.reach.record_failure(&entry.id);
    }

    /// Records that an upstream of the service answered on a new connection.
    pub(crate) fn record_connected(&self, service: &str) {
        if let Some(paths) = self.lock().get_mut(service) {
            paths.reach.record_connected();
        }
    }

    /// Whether a round of probes is due, of a service with `known_count` upstreams.
    fn is_round_due(&self, service: &str, known_count: usize, is_silent: bool) -> bool {
        let services = self.lock();
        let Some(paths) = services.get(service) else {
            return is_silent;
        };
        let is_doubtful = paths.reach.is_cut() || paths.reach.is_suspected(known_count);
        let interval = match (is_doubtful, is_silent) {
            (true, _) => ROUND_INTERVAL,
            (false, true) => SILENT_ROUND_INTERVAL,
            (false, false) => return false,
        };
        paths.probed_at.is_none_or(|at| at.elapsed() >= interval)
    }

    /// Records a round of probes, and logs what it changed.
    fn record_round(&self, service: &ServiceId, round: ProbeRound) -> Option<ReachChange> {
        let now = Instant::now();
        let mut services = self.lock();
        let paths = services.entry(service.clone()).or_default();
        paths.probed_at = Some(now);
        let change = paths.reach.record_round(round)?;
        match change {
            ReachChange::Cut => {
                paths.cut_at = Some(now);
                log::warn!(
                    "event=upstreams_unreachable service={service} probed={}",
                    round.tried_count
                );
            }
            ReachChange::Returned => {
                let cut_time = paths.cut_at.take().map(|at| now - at);
                let after_ms = cut_time.unwrap_or_default().as_millis();
                log::warn!("event=upstreams_reached service={service} after_ms={after_ms}");
            }
        }
        let cut = services.iter().filter(|(_, paths)| paths.reach.is_cut());
        let cut = cut.map(|(service, _)| service.clone()).collect();
        drop(services);
        self.cut_services.send_replace(cut);
        Some(change)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, ServicePaths>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Probes the upstreams of a service whenever it is in doubt that they can be
    /// reached, and publishes what this node can't reach. Ends with the runtime.
    pub(crate) async fn watch_reach(self: Arc<Self>) {
        let mut announced_at = Instant::now();
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let services = self.directory.by_service();
            let due = services
                .iter()
                .filter(|(service, upstreams)| self.is_probe_due(service, upstreams));
            let rounds = due.map(|(service, upstreams)| self.check_reach(service, upstreams));
            let mut rounds: FuturesUnordered<_> = rounds.collect();
            let mut has_changed = false;
            while let Some(change) = rounds.next().await {
                has_changed |= change.is_some();
            }
            let cut = self.reach.cut_services();
            let is_repeat_due = !cut.is_empty() && announced_at.elapsed() >= ANNOUNCE_INTERVAL;
            if has_changed || is_repeat_due {
                announced_at = Instant::now();
                self.observations.publish(Observation::Unreachable(cut));
            }
        }
    }

    fn is_probe_due(&self, service: &ServiceId, upstreams: &[Arc<Upstream>]) -> bool {
        let is_silent = is_silent(upstreams, Instant::now());
        self.reach.is_round_due(service, upstreams.len(), is_silent)
    }

    async fn check_reach(
        &self,
        service: &ServiceId,
        upstreams: &[Arc<Upstream>],
    ) -> Option<ReachChange> {
        let further = if self.reach.is_cut(service) {
            0
        } else {
            FURTHER_PROBES
        };
        let round = self.probe(upstreams, further).await;
        self.reach.record_round(service, round)
    }

    /// Whether another upstream of the service accepts a new connection. Otherwise the
    /// failure of this one may be the node's own. True if no other is known, because
    /// then nothing can be found out.
    pub(crate) async fn reaches_another(&self, upstream: &Upstream) -> bool {
        let mut others = self.directory.of_service(&upstream.entry.service);
        others.retain(|other| other.entry.id != upstream.entry.id);
        let round = self.probe(&others, FURTHER_PROBES).await;
        round.tried_count == 0 || round.reached_count > 0
    }

    /// Opens a connection to one random upstream and, if that fails or takes long, to
    /// `further` more at once.
    async fn probe(&self, upstreams: &[Arc<Upstream>], further: usize) -> ProbeRound {
        let mut round = ProbeRound::default();
        let chosen: Vec<_> = upstreams.sample(&mut rand::rng(), 1 + further).collect();
        let Some((first, others)) = chosen.split_first() else {
            return round;
        };
        let mut probes = FuturesUnordered::new();
        probes.push(first.pool.keeps_connection());
        round.tried_count = 1;
        let first_end = tokio::time::timeout(FIRST_PROBE_TIME, probes.next()).await;
        if first_end == Ok(Some(true)) {
            round.reached_count = 1;
        } else {
            round.tried_count += others.len();
            probes.extend(others.iter().map(|other| other.pool.keeps_connection()));
            while let Some(is_kept) = probes.next().await {
                if is_kept {
                    round.reached_count = 1;
                    break;
                }
            }
        }
        let tried_count = round.tried_count as u64;
        self.metrics.add(Counter::ReachProbes, tried_count);
        round
    }
}

/// Whether calls wait at upstreams of which none has sent anything for a while.
fn is_silent(upstreams: &[Arc<Upstream>], now: Instant) -> bool {
    let has_calls = upstreams.iter().any(|upstream| upstream.call_count() > 0);
    let mut silences = upstreams.iter().map(|u| u.time_since_contact(now));
    has_calls && silences.all(|silence| silence.is_none_or(|s| s >= SILENCE_MAX))
}
