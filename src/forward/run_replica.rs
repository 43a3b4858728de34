//! Replicas of the KV cache of runs, from which a run can resume at another
//! engine when its own is lost.
//!
//! A run is the execution of a streaming call, across all engines that run a part
//! of it. The engine that holds a replica is its holder.
//!
//! When this node sends a call to an engine, it names the holder of the run's
//! first replica in a header. The engine streams its KV cache to the holder as
//! the run grows: a streamed replica. When the holder is lost or drains,
//! [`maintain_replica`] has the run's engine copy its KV cache to another engine:
//! a requested replica. It does not grow with the run, so it is requested again
//! at intervals, which adds what is new.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use super::forwarder::{Forwarder, NodeContext};
use super::probe::{check_alive, send_control_request};
use super::run_origin::RunOrigin;
use super::upstream::{Upstream, Work};
use super::upstream_permits::WithoutPermit;
use crate::id::{DataCentreId, ServiceId};
use crate::observe::metrics::Counter;
use crate::platform::engine::{self, ReplicaReply};
use crate::policy::placement::{Candidate, choose_replica_holder};

/// Interval at which the replica of a run is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Age at which a requested replica is requested again, to add what is new.
/// Streamed replicas are kept up to date by the run's engine.
const REFRESH_INTERVAL: Duration = Duration::from_millis(2_400);
/// Pause before the next try, after a replica could not be made.
const RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Longest time that a request to make or free a replica may take.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What must be known of a run to make replicas of it.
#[derive(Clone, Debug)]
pub(crate) struct ReplicatedRun {
    /// Id that the caller gave the call.
    pub(crate) call_id: String,
    pub(crate) service: ServiceId,
    /// Size of the run's KV cache at its end, in tokens.
    pub(crate) kv_cache_tokens: u64,
}

/// A replica of a run's KV cache, from which the run can resume.
#[derive(Debug)]
pub(crate) struct RunReplica {
    /// Engine that holds the replica.
    pub(crate) holder: Arc<Upstream>,
    /// Address of the engine that knows the replica by `handle`: its holder, if
    /// streamed; the engine that copied its KV cache, if requested.
    pub(crate) handle_address: SocketAddr,
    /// Id by which the engine at `handle_address` knows the replica: the call's
    /// id if streamed, the id in the source engine's reply if requested.
    pub(crate) handle: String,
    made_at: Instant,
    is_requested: bool,
    /// Changes when the holder is marked as lost.
    losses: watch::Receiver<u64>,
    /// Counts the replica as load of the holder until it is dropped.
    _work: Work,
}

impl RunReplica {
    /// A replica that the run's engine streams to `holder` as the run grows.
    pub(crate) fn streamed(holder: Arc<Upstream>, run: &ReplicatedRun) -> Self {
        let handle_address = holder.entry.address;
        Self::new(holder, handle_address, run.call_id.clone(), run, false)
    }

    fn new(
        holder: Arc<Upstream>,
        handle_address: SocketAddr,
        handle: String,
        run: &ReplicatedRun,
        is_requested: bool,
    ) -> Self {
        Self {
            losses: holder.subscribe_losses(),
            _work: Work::replica(&holder, run.kv_cache_tokens),
            made_at: Instant::now(),
            holder,
            handle_address,
            handle,
            is_requested,
        }
    }

    /// Whether the run can resume at the holder, which must be neither lost nor
    /// silent nor draining, nor be replaced by its next start, which has no replicas.
    pub(crate) fn is_usable(&self) -> bool {
        let is_lost = self.losses.has_changed().unwrap_or(true);
        let holder = &self.holder;
        let is_silent = holder.has_silent_probe(Instant::now());
        !is_lost && !is_silent && !holder.is_draining() && !holder.is_replaced()
    }

    fn needs_refresh(&self) -> bool {
        self.is_requested && self.made_at.elapsed() >= REFRESH_INTERVAL
    }
}

/// The current replica of a run, shared with [`maintain_replica`].
pub(crate) type ReplicaSlot = Arc<Mutex<Option<RunReplica>>>;

/// Locks the slot of a run's replica.
pub(crate) fn lock(slot: &ReplicaSlot) -> MutexGuard<'_, Option<RunReplica>> {
    slot.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a task that keeps a usable replica of `run`, which runs at `source`,
/// in `slot` until the returned handle is dropped.
pub(crate) fn maintain_replica<N: NodeContext>(
    forwarder: &Arc<Forwarder<N>>,
    run: ReplicatedRun,
    source: Arc<Upstream>,
    slot: ReplicaSlot,
) -> AbortOnDropHandle<()> {
    let forwarder = forwarder.clone();
    AbortOnDropHandle::new(tokio::spawn(async move {
        let mut outages = forwarder.directory.subscribe_outages();
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                Ok(data_centre) = outages.recv() => probe_holder(&forwarder, &data_centre, &slot).await,
            }
            let Some(holder) = next_holder(&forwarder, &run, &source, &slot) else {
                continue;
            };
            if !replicate_to(&forwarder, &run, &source, holder, &slot).await {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }))
}

/// Probes the holder of the replica in `slot` if it is in `data_centre`, of which
/// an outage is suspected. Otherwise the loss of the holder would go unnoticed
/// until the replica is needed.
///
/// Each loss in the data centre leads here for each stream, so the streams share their
/// probes, and a holder that was heard in this outage is not probed again.
async fn probe_holder<N: NodeContext>(
    forwarder: &Arc<Forwarder<N>>,
    data_centre: &DataCentreId,
    slot: &ReplicaSlot,
) {
    let holder = lock(slot).as_ref().map(|replica| replica.holder.clone());
    let Some(holder) = holder.filter(|holder| holder.entry.data_centre == *data_centre) else {
        return;
    };
    let (directory, now) = (&forwarder.directory, Instant::now());
    if directory.has_survived_outage(&holder, now) || !holder.begin_probe(now) {
        return;
    }
    forwarder.metrics.add(Counter::EngineProbes, 1);
    if let Err(failure) = check_alive(&holder).await {
        let now = Instant::now();
        directory.apply_probe_failure(&holder, failure, "keeper_silent", now);
    }
}

/// Returns the engine to which the run is to be replicated now, if any: the
/// present holder if its replica is due for a refresh, or a new holder if there
/// is no usable replica.
fn next_holder<N: NodeContext>(
    forwarder: &Arc<Forwarder<N>>,
    run: &ReplicatedRun,
    source: &Arc<Upstream>,
    slot: &ReplicaSlot,
) -> Option<Arc<Upstream>> {
    let mut slot = lock(slot);
    match slot.as_ref() {
        Some(held) if held.is_usable() => held.needs_refresh().then(|| held.holder.clone()),
        _ => {
            slot.take();
            choose_holder(forwarder, &run.service, source, &[])
        }
    }
}

/// Chooses the holder for a replica of a run at `source`, among the service's
/// upstreams that are not in `tried`.
pub(crate) fn choose_holder<N: NodeContext>(
    forwarder: &Arc<Forwarder<N>>,
    service: &str,
    source: &Arc<Upstream>,
    tried: &[Arc<Upstream>],
) -> Option<Arc<Upstream>> {
    // A run resumes only at the version of its source.
    let origin = RunOrigin::at(source);
    // A pinned run is admitted whatever its draw.
    forwarder.choose_upstream(service, tried, Some(&origin), 0.0, |candidates, draw| {
        let is_source = |c: &&Candidate<'_>| c.id == source.entry.id;
        let data_centre = &source.entry.data_centre;
        let source_candidate = candidates.iter().find(is_source);
        choose_replica_holder(
            candidates,
            source_candidate.map(|c| c.id),
            data_centre,
            draw,
        )
    })
}

/// Has `source`, which runs the run, make a replica at `holder`, and puts it in
/// `slot`. Returns whether the replica was made.
async fn replicate_to<N: NodeContext>(
    forwarder: &Arc<Forwarder<N>>,
    run: &ReplicatedRun,
    source: &Arc<Upstream>,
    holder: Arc<Upstream>,
    slot: &ReplicaSlot,
) -> bool {
    if forwarder
        .acquire_permit(source, WithoutPermit::Leaves)
        .await
        .is_err()
    {
        return false;
    }
    forwarder.metrics.add(Counter::CopiesAskedFor, 1);
    let request = engine::replica_request(&run.call_id, holder.entry.address);
    let answered =
        tokio::time::timeout(REPLICA_TIMEOUT, send_control_request(source, request)).await;
    let answer = answered.ok().flatten();
    let reply: Option<ReplicaReply> =
        answer.and_then(|answer| engine::read_replica_reply(answer.status, &answer.body));
    log::info!(
        "event=copy_asked_for call={} source={} keeper={} made={reply:?}",
        run.call_id,
        source.entry.id,
        holder.entry.id
    );
    let Some(reply) = reply else {
        return false;
    };
    let handle_address = source.entry.address;
    *lock(slot) = Some(RunReplica::new(
        holder,
        handle_address,
        reply.handle,
        run,
        true,
    ));
    true
}

/// Has the engine `source`, which made a requested replica, free it. Engines free
/// streamed replicas themselves.
pub(crate) fn free_replica(source: Arc<Upstream>, replica: RunReplica) {
    // A request that frees the replica would count like a call.
    if !replica.is_requested || source.counts_probes() {
        return;
    }
    tokio::spawn(async move {
        let Some(request) = engine::free_request(&replica.handle) else {
            return;
        };
        // If the request fails, the holder drops the replica some seconds
        // later.
        let _ = tokio::time::timeout(REPLICA_TIMEOUT, send_control_request(&source, request)).await;
    });
}
