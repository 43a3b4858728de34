//! Membership by gossip (SWIM): failure detection and dissemination of updates.
//!
//! In each interval a node pings one random peer. If that peer does not answer,
//! the node asks other peers to ping it, and if they get no answer either,
//! suspects it. A suspect that does not refute the suspicion in time is declared
//! dead. Updates (member records and announcements) are piggybacked on these
//! datagrams. Datagrams also carry the versions of the documents that the sender
//! holds (versioned objects that nodes fetch from each other, such as the
//! configuration). A node whose hashes of members or announcements differ from a
//! peer's synchronises: it requests over TCP what it lacks. The work of a node
//! does not grow with the number of nodes; `docs/CAPACITY.md` has the figures.

mod datagrams;
mod probing;
mod push;
mod synchronisation;
mod updates;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::broadcast;

use crate::id::{Era, Version};
use crate::membership::announcement::{Announcement, to_record};
use crate::membership::control_traffic::{ControlTraffic, TrafficCounter};
use crate::membership::gossip::synchronisation::SyncHandler;
use crate::membership::link_faults::LinkFaults;
use crate::membership::members::Member;
use crate::membership::peer::PeerClient;
use crate::membership::peer_server::serve_peers;
use crate::membership::state::State;
use crate::membership::update_queue::Update;
use crate::shutdown::{Shutdown, ShutdownTrigger};
use crate::store::revision::Revision;

/// Events that may be queued for a slow subscriber.
const EVENT_BACKLOG: usize = 4096;

/// Settings of a [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This node, as its peers are to see it. Its incarnation must be higher than
    /// that of any earlier process of the same node.
    pub me: Member,
    /// Addresses at which other nodes listen for peers, contacted first to join
    /// them.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes of peers by this node.
    pub interval: Duration,
    /// Injected link faults, for tests.
    pub faults: LinkFaults,
}

/// What a datagram or a synchronisation reply of a peer contained that this
/// node did not know.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// A new announcement, or a newer version of one.
    Announced(Announcement),
    /// A peer holds a newer version of a document.
    Document {
        /// Name of the document.
        name: String,
        /// Version that the peer holds.
        version: Version,
        /// Era of the store in which the version is a revision, if it has one.
        era: Option<Era>,
        /// Address at which the peer listens for other nodes; the document can
        /// be fetched from it.
        peer_address: SocketAddr,
    },
}

/// Handle of the tasks with which this node takes part in the gossip. Clones
/// share them.
#[derive(Clone, Debug)]
pub struct Membership {
    shared: Arc<Shared>,
    /// Stops the tasks if [`Membership::start`] started them. `None` within a
    /// node, whose own shutdown stops them.
    own_trigger: Option<Arc<ShutdownTrigger>>,
}

#[derive(Debug)]
struct Shared {
    socket: UdpSocket,
    settings: MembershipSettings,
    state: Mutex<State>,
    events: broadcast::Sender<MembershipEvent>,
    peers: PeerClient,
    traffic: TrafficCounter,
}

impl Membership {
    /// Binds the address for peers and starts the tasks that probe peers and
    /// handle their datagrams and synchronisation requests.
    pub async fn start(settings: MembershipSettings) -> io::Result<Self> {
        let (trigger, shutdown) = Shutdown::channel();
        let listener = TcpListener::bind(settings.me.peer_address).await?;
        let peers = PeerClient::default();
        let traffic = peers.traffic().clone();
        let mut membership = Self::start_with(settings, peers, shutdown.clone()).await?;
        let handler = Arc::new(SyncHandler(membership.clone()));
        tokio::spawn(serve_peers(listener, handler, traffic, shutdown));
        membership.own_trigger = Some(Arc::new(trigger));
        Ok(membership)
    }

    /// Stops without notifying peers, as if the process had crashed. Works only
    /// on a membership made by [`Membership::start`].
    pub fn stop(&self) {
        if let Some(trigger) = &self.own_trigger {
            trigger.abort();
        }
    }

    pub(crate) async fn start_with(
        settings: MembershipSettings,
        peers: PeerClient,
        shutdown: Shutdown,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(settings.me.peer_address).await?;
        let state = State::new(settings.me.clone());
        let membership = Self {
            shared: Arc::new(Shared {
                socket,
                settings,
                state: Mutex::new(state),
                events: broadcast::Sender::new(EVENT_BACKLOG),
                peers,
                traffic: TrafficCounter::default(),
            }),
            own_trigger: None,
        };
        let abort_token = shutdown.abort_token();
        let receiving = membership.clone();
        let receiving_abort_token = abort_token.clone();
        tokio::spawn(async move {
            receiving_abort_token
                .run_until_cancelled(receiving.receive_datagrams())
                .await;
        });
        let probing = membership.clone();
        tokio::spawn(async move {
            abort_token.run_until_cancelled(probing.run_probes()).await;
        });
        Ok(membership)
    }

    /// Live nodes, including suspects, this one first.
    pub fn alive(&self) -> Vec<Member> {
        self.state().members.alive()
    }

    /// Number of live nodes, including suspects and this one.
    pub fn alive_count(&self) -> usize {
        self.state().members.alive_count()
    }

    /// This node, as its peers see it.
    pub fn me(&self) -> Member {
        self.state().members.me().clone()
    }

    /// Subscribes to new announcements and to newer documents at peers.
    pub fn subscribe(&self) -> broadcast::Receiver<MembershipEvent> {
        self.shared.events.subscribe()
    }

    /// Publishes an announcement to all nodes.
    pub fn announce(&self, announcement: Announcement) {
        let now = Instant::now();
        let mut state = self.state();
        let record = to_record(&announcement, announcement.ttl);
        if !state.announcements.apply(announcement, now) {
            return;
        }
        state.updates.add(Update::Announcement(record), now);
        drop(state);
        self.schedule_push();
    }

    /// Tells peers that this node holds `version` of the document `name`, so that
    /// they can fetch it. Does nothing if a version as new was already stated.
    pub fn hold_document(&self, name: &str, version: Version) {
        self.hold_revision(name, Revision::without_era(version));
    }

    /// Does the same for a document whose version is a revision of the store.
    pub(crate) fn hold_revision(&self, name: &str, revision: Revision) {
        let mut state = self.state();
        let held = state.documents.get(name).copied();
        let is_newer = held != Some(revision) && revision.replaces(held);
        if is_newer {
            state.documents.insert(name.to_owned(), revision);
        }
        drop(state);
        if is_newer {
            self.schedule_push();
        }
    }

    /// Publishes to peers that this node is draining, so that callers are no
    /// longer directed to it. It still takes part in the gossip.
    pub fn leave(&self) {
        let mut state = self.state();
        state.members.set_leaving();
        let record = state.members.my_record();
        state.updates.add(Update::Member(record), Instant::now());
        drop(state);
        self.schedule_push();
    }

    /// Sets the number of requests in flight and queued that this node reports
    /// to its peers.
    pub fn set_demand(&self, demand_count: u32) {
        self.state().members.set_demand(demand_count);
    }

    /// Whether the process that a claim names as its claimant, in the form
    /// `node@incarnation`, is believed to be alive.
    pub(crate) fn is_claimant_alive(&self, claimant: &str) -> bool {
        self.state().members.is_claimant_alive(claimant)
    }

    /// Datagrams and bytes that this membership has exchanged with peers, and
    /// how often it suspected one.
    pub fn traffic(&self) -> ControlTraffic {
        self.shared.traffic.totals(self.shared.peers.traffic())
    }

    /// Announcements of a topic that this node holds and that have not expired.
    pub(crate) fn announcements(&self, topic: u32) -> Vec<Announcement> {
        self.state().announcements.of_topic(topic)
    }

    /// Number of announcements that this node holds and that have not expired.
    pub fn announcement_count(&self) -> usize {
        self.state().announcements.count()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
