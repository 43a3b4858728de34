//! One incarnation of an upstream: one start of it, with its registration, its
//! recent health, and the load that this node puts on it.

mod conflicts;
mod health;
mod load;
mod statements;

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use tokio::sync::watch;

use self::conflicts::Conflicts;
use self::health::Health;
pub(crate) use self::load::{SharedSpeed, Work};
pub(crate) use self::statements::{SharedNotices, lock_notices, log_leaving};
use super::connection::ConnectionPool;
use super::reported_start::ReportedStart;
use super::send_probe::SendProbe;
pub(crate) use super::upstream_entry::{
    SoftwareVersion, UpstreamEntry, UpstreamStart, version_for_log,
};
use crate::policy::upstream_limit::UpstreamLimit;

/// One incarnation of an upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) entry: UpstreamEntry,
    pub(crate) pool: ConnectionPool,
    /// When this node began to use the entry.
    pub(crate) known_since: Instant,
    /// Whether the upstream is draining now; `entry` holds the state at which it
    /// became known.
    draining: AtomicBool,
    /// Version of its software, which may become known later than the upstream.
    software_version: OnceLock<SoftwareVersion>,
    pending_prompt_tokens: AtomicU64,
    kv_cache_tokens: AtomicU64,
    call_count: AtomicU32,
    health: Mutex<Health>,
    speed: SharedSpeed,
    limit: Mutex<UpstreamLimit>,
    notices: SharedNotices,
    /// The probe that precedes calls where one is needed.
    pub(crate) send_probe: SendProbe,
    /// Whether a call or connection of this node failed here since the upstream became known, or
    /// since its last report showed the incarnation of its entry.
    has_broken: AtomicBool,
    conflicts: Conflicts,
    /// Its last report on itself.
    reported_start: Mutex<Option<ReportedStart>>,
    /// Number of times that the upstream was marked as lost.
    losses: watch::Sender<u64>,
}

impl Upstream {
    /// Creates an upstream without calls, of which nothing is known.
    pub(crate) fn new(entry: UpstreamEntry) -> Self {
        Self::with_history(entry, SharedNotices::default(), SharedSpeed::default())
    }

    /// Creates an upstream without calls, which may have stated these notices before, and of
    /// whose address this speed is known.
    pub(crate) fn with_history(
        entry: UpstreamEntry,
        notices: SharedNotices,
        speed: SharedSpeed,
    ) -> Self {
        let software_version = OnceLock::new();
        if let Some(version) = entry.software_version.clone() {
            software_version.get_or_init(|| version);
        }
        Self {
            pool: ConnectionPool::new(entry.address),
            known_since: Instant::now(),
            software_version,
            draining: AtomicBool::new(entry.draining),
            pending_prompt_tokens: AtomicU64::new(0),
            kv_cache_tokens: AtomicU64::new(0),
            call_count: AtomicU32::new(0),
            health: Mutex::default(),
            speed,
            limit: Mutex::default(),
            notices,
            send_probe: SendProbe::default(),
            has_broken: AtomicBool::new(false),
            conflicts: Conflicts::default(),
            reported_start: Mutex::default(),
            losses: watch::Sender::new(0),
            entry,
        }
    }

    /// Whether `entry` describes this incarnation.
    pub(crate) fn is_same_incarnation(&self, entry: &UpstreamEntry) -> bool {
        let versions = (self.software_version(), &entry.software_version);
        let has_other_version = matches!(versions, (Some(known), Some(stated)) if known != stated);
        !has_other_version
            && self.entry.is_same_start(entry)
            && self.entry.address == entry.address
            && self.entry.service == entry.service
    }

    /// Version of the upstream's software, if it is known.
    pub(crate) fn software_version(&self) -> Option<&SoftwareVersion> {
        self.software_version.get()
    }

    /// Sets the version of the upstream's software if it was unknown so far.
    pub(crate) fn learn_software_version(&self, version: SoftwareVersion) {
        self.software_version.get_or_init(|| version);
    }

    /// Whether the upstream is draining, by its entry or its answers: it accepts no new
    /// calls.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed) || self.notices().is_leaving()
    }

    /// Sets what the upstream's entry says, and returns whether that is new.
    pub(crate) fn set_draining(&self, draining: bool) -> bool {
        self.draining.swap(draining, Ordering::Relaxed) != draining
    }

    /// Whether something of this node broke here, after which another incarnation may run at
    /// the upstream's address.
    pub(crate) fn has_broken(&self) -> bool {
        self.has_broken.load(Ordering::Relaxed)
    }

    /// Records that the upstream reported the start that its entry states.
    pub(crate) fn record_same_start(&self) {
        self.has_broken.store(false, Ordering::Relaxed);
    }

    /// Records a report of the upstream on itself.
    pub(crate) fn record_reported_start(&self, reported: ReportedStart) {
        *self.lock_reported_start() = Some(reported);
    }

    /// Start, in Unix milliseconds, of the incarnation that runs at the upstream's address;
    /// `None` if no recent report shows it.
    pub(crate) fn reported_start(&self, now: Instant) -> Option<u64> {
        self.lock_reported_start().as_ref()?.get(now)
    }

    fn lock_reported_start(&self) -> MutexGuard<'_, Option<ReportedStart>> {
        let reported = self.reported_start.lock();
        reported.unwrap_or_else(PoisonError::into_inner)
    }

    /// Informs all calls that run at this incarnation, and all runs that have a
    /// replica at it, that it has ended or is unreachable.
    pub(crate) fn mark_lost(&self, now: Instant) {
        self.avoid(now);
        self.end_runs();
    }

    /// Informs all calls and replicas that this incarnation has ended, while another one
    /// answers at its address. It is not avoided: the refusal of the next call names the other
    /// one, which may be unable to register.
    pub(crate) fn end_runs(&self) {
        self.has_broken.store(true, Ordering::Relaxed);
        self.pool.clear();
        self.losses.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that changes whenever the upstream is marked as lost
    /// from now on.
    pub(crate) fn subscribe_losses(&self) -> watch::Receiver<u64> {
        self.losses.subscribe()
    }
}
