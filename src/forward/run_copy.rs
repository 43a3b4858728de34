//! A copy of a run's memory at a second engine, kept for as long as the run
//! lasts.
//!
//! The engine that runs the stream sends the first copy by itself. When its
//! keeper is lost or leaves, the guard has the run copied to another engine,
//! and has what is new copied from time to time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use super::forwarder::{Forwarder, Surroundings};
use super::probe::{probe_engine, send_control_request};
use super::upstream::{Upstream, Work};
use crate::id::{DataCentreId, ServiceId};
use crate::observe::metrics::Counter;
use crate::platform::engine::{self, MoveReply};
use crate::policy::placement::{Candidate, choose_replica_holder};

/// Time between looks at a copy's keeper.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which what is new is copied to a keeper that was asked for.
const REFRESH_INTERVAL: Duration = Duration::from_millis(2_400);
/// Pause after a copy could not be made.
const RETRY_PAUSE: Duration = Duration::from_millis(600);
/// How long a copy may take to be made.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What the guard needs to know of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunName {
    /// The caller's id of the call.
    pub(crate) call: String,
    /// Its service.
    pub(crate) service: ServiceId,
    /// Tokens of memory that it takes.
    pub(crate) memory_tokens: u64,
}

/// A copy that a run can go on with.
#[derive(Debug)]
pub(crate) struct RunCopy {
    /// Who keeps it.
    pub(crate) keeper: Arc<Upstream>,
    /// Address under which the copy is named.
    pub(crate) host: SocketAddr,
    /// Its name there.
    pub(crate) name: String,
    made_at: Instant,
    is_asked_for: bool,
    losses: watch::Receiver<u64>,
    _work: Work,
}

impl RunCopy {
    /// A copy that the run's engine sends to `keeper` by itself.
    pub(crate) fn sent_along(keeper: Arc<Upstream>, run: &RunName) -> Self {
        let host = keeper.entry.address;
        Self::new(keeper, host, run.call.clone(), run, false)
    }

    fn new(
        keeper: Arc<Upstream>,
        host: SocketAddr,
        name: String,
        run: &RunName,
        is_asked_for: bool,
    ) -> Self {
        Self {
            losses: keeper.subscribe_losses(),
            _work: Work::replica(&keeper, run.memory_tokens),
            made_at: Instant::now(),
            keeper,
            host,
            name,
            is_asked_for,
        }
    }

    /// Whether the run can go on at the keeper.
    pub(crate) fn is_usable(&self) -> bool {
        let is_lost = self.losses.has_changed().unwrap_or(true);
        !is_lost && !self.keeper.is_draining()
    }

    fn needs_refresh(&self) -> bool {
        self.is_asked_for && self.made_at.elapsed() >= REFRESH_INTERVAL
    }
}

/// The place of a run's copy, which the guard fills.
pub(crate) type CopyPlace = Arc<Mutex<Option<RunCopy>>>;

/// Looks into the place of a copy.
pub(crate) fn lock(place: &CopyPlace) -> MutexGuard<'_, Option<RunCopy>> {
    place.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps a usable copy in `place` until the handle is dropped.
pub(crate) fn guard<S: Surroundings>(
    forwarder: &Arc<Forwarder<S>>,
    run: RunName,
    source: Arc<Upstream>,
    place: CopyPlace,
) -> AbortOnDropHandle<()> {
    let forwarder = forwarder.clone();
    AbortOnDropHandle::new(tokio::spawn(async move {
        let mut alarms = forwarder.directory.subscribe_outages();
        loop {
            tokio::select! {
                () = tokio::time::sleep(LOOK_INTERVAL) => {}
                Ok(centre) = alarms.recv() => check_keeper(&forwarder, &centre, &place).await,
            }
            let Some(keeper) = next_keeper(&forwarder, &run, &source, &place) else {
                continue;
            };
            if !copy_to(&forwarder, &run, &source, keeper, &place).await {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }))
}

/// Asks the keeper whether it lives when its data centre's engines are lost:
/// nothing else would show it before the copy is needed.
async fn check_keeper<S: Surroundings>(
    forwarder: &Arc<Forwarder<S>>,
    centre: &DataCentreId,
    place: &CopyPlace,
) {
    let keeper = lock(place).as_ref().map(|copy| copy.keeper.clone());
    let Some(keeper) = keeper.filter(|keeper| keeper.entry.data_centre == *centre) else {
        return;
    };
    forwarder.metrics.add(Counter::EngineProbes, 1);
    if probe_engine(&keeper).await.is_none() {
        let now = Instant::now();
        forwarder.directory.mark_lost(&keeper, "keeper_silent", now);
    }
}

/// Who is to get a copy now, if anybody.
fn next_keeper<S: Surroundings>(
    forwarder: &Arc<Forwarder<S>>,
    run: &RunName,
    source: &Arc<Upstream>,
    place: &CopyPlace,
) -> Option<Arc<Upstream>> {
    let mut place = lock(place);
    match place.as_ref() {
        Some(copy) if copy.is_usable() => copy.needs_refresh().then(|| copy.keeper.clone()),
        _ => {
            place.take();
            choose_keeper(forwarder, &run.service, source, &[])
        }
    }
}

/// Chooses who keeps a copy of a run at `source`.
pub(crate) fn choose_keeper<S: Surroundings>(
    forwarder: &Arc<Forwarder<S>>,
    service: &str,
    source: &Arc<Upstream>,
    tried: &[Arc<Upstream>],
) -> Option<Arc<Upstream>> {
    forwarder.choose(service, tried, |candidates, draw| {
        let is_source = |c: &&Candidate<'_>| c.id == source.entry.id;
        let data_centre = &source.entry.data_centre;
        let primary = candidates.iter().find(is_source);
        choose_replica_holder(candidates, primary.map(|c| c.id), data_centre, draw)
    })
}

async fn copy_to<S: Surroundings>(
    forwarder: &Arc<Forwarder<S>>,
    run: &RunName,
    source: &Arc<Upstream>,
    keeper: Arc<Upstream>,
    place: &CopyPlace,
) -> bool {
    forwarder.metrics.add(Counter::CopiesAskedFor, 1);
    let request = engine::copy_request(&run.call, keeper.entry.address);
    let asked = tokio::time::timeout(COPY_TIMEOUT, send_control_request(source, request)).await;
    let reply = asked.ok().flatten();
    let made: Option<MoveReply> = reply.and_then(|(status, body)| engine::read_move(status, &body));
    log::info!(
        "event=copy_asked_for call={} source={} keeper={} made={made:?}",
        run.call,
        source.entry.id,
        keeper.entry.id
    );
    let Some(made) = made else {
        return false;
    };
    let host = source.entry.address;
    *lock(place) = Some(RunCopy::new(keeper, host, made.handle, run, true));
    true
}

/// Frees a copy that was asked for and is not needed any more.
pub(crate) fn free(source: Arc<Upstream>, copy: RunCopy) {
    if !copy.is_asked_for {
        return;
    }
    tokio::spawn(async move {
        let Some(request) = engine::free_request(&copy.name) else {
            return;
        };
        // A copy that stays is dropped by its keeper some seconds later.
        let _ = tokio::time::timeout(COPY_TIMEOUT, send_control_request(&source, request)).await;
    });
}
