//! Follows the rollouts in the platform's store, and passes them on to peers.
//!
//! As with the configuration, few nodes poll the store in a large cluster. The owners of
//! unfinished rollouts do too, since they may decide only by what the store says now.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use tokio::sync::broadcast::error::RecvError;

use super::rollout_messages::{
    ROLLOUT_TOPIC, announced_version, from_announcement, to_announcement,
};
use super::rollouts::RolloutCoordinator;
use super::store_watch::POLL_CHECK_INTERVAL;
use crate::forward::forwarder::NodeContext;
use crate::id::ServiceId;
use crate::membership::announcement::Announcement;
use crate::membership::gossip::MembershipEvent;
use crate::observe::metrics::Counter;
use crate::platform::rollout_objects::{RolloutChange, RolloutObject};
use crate::platform::store::StoreFailure;
use crate::policy::rollout::Rollout;
use crate::store::revision::Revision;

/// Wait of one watch by an owner. Each answer confirms that no other owner has settled the
/// rollout.
const OWNER_WATCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait of one watch by another node. A watch on a connection that fell silent is given up after
/// it, well within the time in which a version has to be rolled back.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after the store failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Factor by which the pause is longer at nodes that neither watch for others nor own a
/// rollout. In a large cluster they would be hundreds, and peers tell them what changes.
const OTHERS_PAUSE_FACTOR: u32 = 25;

impl RolloutCoordinator {
    /// Follows the rollouts in the store. Never returns; it ends with the runtime.
    pub(crate) async fn follow_store(self) {
        let mut revision = None;
        let mut is_store_lost = false;
        loop {
            while revision.is_some() && !self.needs_poll() {
                tokio::time::sleep(POLL_CHECK_INTERVAL).await;
            }
            match self.poll(revision).await {
                Ok(polled) => {
                    revision = Some(polled);
                    self.record_store_answer(Instant::now());
                    if std::mem::take(&mut is_store_lost) {
                        log::info!("event=store_regained what=rollouts");
                    }
                }
                Err(StoreFailure::RevisionExpired) => revision = None,
                Err(failure) => {
                    if !std::mem::replace(&mut is_store_lost, true) {
                        log::warn!("event=store_lost what=rollouts cause={failure}");
                    }
                    let is_needed_soon = self.forwarder.node.is_watcher() || self.is_any_owner();
                    let factor = if is_needed_soon {
                        1
                    } else {
                        OTHERS_PAUSE_FACTOR
                    };
                    tokio::time::sleep(FAILURE_PAUSE * factor).await;
                }
            }
        }
    }

    fn needs_poll(&self) -> bool {
        self.forwarder.node.is_watcher() || self.is_any_owner() || self.is_store_news_overdue()
    }

    /// Whether the nodes that poll the store are silent.
    fn is_store_news_overdue(&self) -> bool {
        !self.forwarder.node.has_store_answered_lately()
    }

    async fn poll(&self, revision: Option<Revision>) -> Result<Revision, StoreFailure> {
        self.forwarder.metrics.add(Counter::StoreCalls, 1);
        let Some(revision) = revision else {
            return self.list().await;
        };
        let wait = if self.is_any_owner() {
            OWNER_WATCH_TIMEOUT
        } else {
            WATCH_TIMEOUT
        };
        let changes = self.store.watch_rollouts(revision, wait).await?;
        for change in changes.changes {
            match change {
                RolloutChange::Put(object) => self.put(object, changes.revision),
                RolloutChange::Removed(service) => self.remove(&service, changes.revision),
            }
        }
        Ok(changes.revision)
    }

    async fn list(&self) -> Result<Revision, StoreFailure> {
        let list = self.store.list_rollouts().await?;
        let known: BTreeSet<ServiceId> = self.known_services();
        let gone = known
            .iter()
            .filter(|service| !list.rollouts.contains_key(*service));
        gone.for_each(|service| self.remove(service, list.revision));
        for object in list.rollouts.into_values() {
            self.put(object, list.revision);
        }
        Ok(list.revision)
    }

    /// Applies an object that this node read, and announces it to its peers.
    fn put(&self, object: RolloutObject, at: Revision) {
        let rollout = object.rollout.clone();
        log::info!(
            "event=rollout_read service={} target={} state={:?} revision={}",
            rollout.service,
            rollout.target,
            rollout.state,
            object.revision
        );
        self.keep_object(object);
        if !self.advance(&rollout.service, announced_version(at)) {
            return;
        }
        self.apply(&rollout, Duration::ZERO);
        let age = self
            .forwarder
            .rollouts
            .with(&rollout.service, |r| r.age(Instant::now()));
        self.announce(
            &rollout.service,
            Some(&rollout),
            age.unwrap_or_default(),
            at,
        );
    }

    fn remove(&self, service: &ServiceId, at: Revision) {
        log::info!("event=rollout_removed service={service}");
        self.advance(service, announced_version(at));
        self.forget(service);
        self.announce(service, None, Duration::ZERO, at);
    }

    fn announce(
        &self,
        service: &ServiceId,
        rollout: Option<&Rollout>,
        age: Duration,
        at: Revision,
    ) {
        let announcement = to_announcement(service, rollout, age, at);
        self.membership.announce(announcement);
    }

    fn apply(&self, rollout: &Rollout, age: Duration) {
        let node_count = self.forwarder.node.peak_node_count();
        let rollouts = &self.forwarder.rollouts;
        rollouts.apply(rollout, age, node_count, Instant::now());
    }

    /// Applies what peers read in the store. Ends with the runtime.
    pub(crate) async fn follow_peers(self) {
        let mut events = self.membership.subscribe();
        for announcement in self.membership.announcements(ROLLOUT_TOPIC) {
            self.apply_announcement(&announcement);
        }
        loop {
            match events.recv().await {
                Ok(MembershipEvent::Announced(announcement))
                    if announcement.topic == ROLLOUT_TOPIC =>
                {
                    self.apply_announcement(&announcement);
                }
                Ok(_) => {}
                Err(RecvError::Lagged(missed)) => {
                    log::warn!("event=rollouts_missed count={missed}");
                    for announcement in self.membership.announcements(ROLLOUT_TOPIC) {
                        self.apply_announcement(&announcement);
                    }
                }
                Err(RecvError::Closed) => return,
            }
        }
    }

    fn apply_announcement(&self, announcement: &Announcement) {
        let Some(announced) = from_announcement(announcement) else {
            log::error!(
                "event=peer_unreadable what=rollout key={:?}",
                announcement.key
            );
            return;
        };
        if !self.advance(&announced.service, announcement.version) {
            return;
        }
        match announced.rollout {
            Some(rollout) => self.apply(&rollout, announced.age),
            None => self.forwarder.rollouts.remove(&announced.service),
        }
    }
}
