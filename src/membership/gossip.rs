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

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use prost::Message;
use rand::RngExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{broadcast, oneshot};

use crate::id::Version;
use crate::membership::announcement::{
    Announcement, Announcements, Update, UpdateQueue, from_record, to_record,
};
use crate::membership::control_traffic::{ControlTraffic, TrafficCounter};
use crate::membership::link_faults::LinkFaults;
use crate::membership::members::{Member, Members};
use crate::membership::message::{
    Datagram, MemberState, Purpose, ReplyBody, RequestBody, SyncReply, SyncRequest,
};
use crate::membership::peer::{PeerClient, PeerHandler, serve_peers};
use crate::membership::state::{Source, State, document_versions, queue_update};
use crate::shutdown::{Shutdown, ShutdownTrigger};

/// Intended maximum size of a datagram, below the smallest usual path MTU; not
/// enforced.
const DATAGRAM_MAX_BYTES: usize = 1200;
/// Bytes of a datagram that piggybacked updates may take. The rest is left for
/// the sender's record, document versions and hashes.
const UPDATES_MAX_BYTES: usize = 800;
/// Peers that are asked to ping a node that did not answer.
const INDIRECT_PROBE_PEERS: usize = 3;
/// Peers to which new updates are pushed without waiting for the next probe.
const PUSH_FANOUT: usize = 4;
/// Time for which new updates are collected before they are pushed.
const PUSH_DELAY: Duration = Duration::from_millis(5);
/// One probe in this many goes to another data centre.
const REMOTE_PROBE_PERIOD: u64 = 4;
/// Number of probe intervals between two attempts to reach lost peers: a dead
/// node, which may be reachable again, and seeds. A node that knows no live
/// peer tries in every interval.
const LOST_PEER_PING_PERIOD: u64 = 5;
/// Time-out of a synchronisation request to a peer.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);
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
        let state = State {
            members: Members::new(settings.me.clone()),
            announcements: Announcements::default(),
            updates: UpdateQueue::default(),
            documents: BTreeMap::new(),
            pending_acks: BTreeMap::new(),
            last_sequence: 0,
            last_sync_at: None,
            is_push_scheduled: false,
        };
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
        let mut state = self.state();
        let record = to_record(&announcement, announcement.ttl);
        if !state.announcements.apply(announcement, Instant::now()) {
            return;
        }
        state.updates.add(Update::Announcement(record));
        drop(state);
        self.schedule_push();
    }

    /// Tells peers that this node holds `version` of the document `name`, so that
    /// they can fetch it. Does nothing if a version as new was already stated.
    pub fn hold_document(&self, name: &str, version: Version) {
        let mut state = self.state();
        let held = state.documents.entry(name.to_owned()).or_default();
        let is_newer = version > *held;
        *held = version.max(*held);
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
        state.updates.add(Update::Member(record));
        drop(state);
        self.schedule_push();
    }

    /// Notifies some peers that this node stops; they forward it to the others.
    pub(crate) fn announce_left(&self) {
        let state = self.state();
        let mut record = state.members.my_record();
        record.state = MemberState::Left.into();
        let peers = state.members.random_alive(PUSH_FANOUT, "");
        let left_notice = Datagram {
            // Sent as an ack, because a ping would be answered.
            purpose: Purpose::Ack.into(),
            members: vec![record],
            ..Datagram::default()
        };
        drop(state);
        for peer in peers {
            self.send(left_notice.clone(), peer.peer_address);
        }
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

    /// Makes the reply to a peer's synchronisation request: the members and
    /// announcements that the peer may lack.
    pub(crate) fn sync_reply(&self, request: &SyncRequest) -> SyncReply {
        let state = self.state();
        let members_differ = request.table_hash != state.members.table_hash();
        let announcements = &state.announcements;
        SyncReply {
            members: if members_differ {
                state.members.records()
            } else {
                Vec::new()
            },
            announcements: announcements
                .records_in_differing_buckets(&request.bucket_hashes, Instant::now()),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn receive_datagrams(&self) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES * 2];
        loop {
            let Ok((length, from)) = self.shared.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.shared.settings.faults.should_drop(&from) {
                continue;
            }
            self.shared.traffic.count_received(length);
            // Datagrams that cannot be decoded are dropped.
            if let Ok(datagram) = Datagram::decode(&buffer[..length]) {
                self.handle_datagram(datagram, from);
            }
        }
    }

    fn handle_datagram(&self, datagram: Datagram, from: SocketAddr) {
        let purpose = datagram.purpose();
        let sequence = datagram.sequence;
        let target = datagram.target_address.parse().ok();
        self.apply_updates(datagram, from, Source::Datagram);
        match purpose {
            Purpose::Ping => {
                let ack = self.datagram(Purpose::Ack, sequence);
                self.send(ack, from);
            }
            Purpose::Ack => {
                if let Some(ack_sender) = self.state().pending_acks.remove(&sequence) {
                    let _ = ack_sender.send(());
                }
            }
            Purpose::PingRequest => {
                if let Some(target) = target {
                    tokio::spawn(self.clone().probe_for_peer(sequence, target, from));
                }
            }
        }
    }

    fn apply_updates(&self, datagram: Datagram, from: SocketAddr, source: Source) {
        let now = Instant::now();
        let mut events = Vec::new();
        // The notice of a node that stops, and a synchronisation reply (passed in
        // as a datagram), have no sender record and no hashes. Neither may start
        // a synchronisation.
        let has_sender = datagram.sender.is_some();
        let table_hash = datagram.table_hash;
        let announcement_hash = datagram.announcement_hash;
        let mut state = self.state();
        if let Some(sender) = &datagram.sender {
            let change = state.members.apply_self_report(sender, now);
            queue_update(&mut state, sender, change, source);
        }
        for record in &datagram.members {
            let change = state.members.apply(record, now);
            queue_update(&mut state, record, change, source);
        }
        for record in datagram.announcements {
            let announcement = from_record(record.clone());
            if state.announcements.apply(announcement.clone(), now) {
                if source == Source::Datagram {
                    state.updates.add(Update::Announcement(record));
                }
                events.push(MembershipEvent::Announced(announcement));
            }
        }
        for document in datagram.documents {
            let own_version = state.documents.get(&document.name).copied();
            if document.version > own_version.unwrap_or(0) {
                events.push(MembershipEvent::Document {
                    name: document.name,
                    version: document.version,
                    peer_address: from,
                });
            }
        }
        if has_sender && state.is_sync_due(table_hash, announcement_hash, now) {
            state.last_sync_at = Some(now);
            tokio::spawn(self.clone().sync_with(from));
        }
        drop(state);
        let is_announcement =
            |event: &MembershipEvent| matches!(event, MembershipEvent::Announced(_));
        if source == Source::Datagram && events.iter().any(is_announcement) {
            self.schedule_push();
        }
        for event in events {
            let _ = self.shared.events.send(event);
        }
    }

    async fn sync_with(self, peer: SocketAddr) {
        if self.shared.settings.faults.is_cut(&peer) {
            return;
        }
        let request = RequestBody::Sync(self.state().sync_request());
        let result = self.shared.peers.call(peer, request, SYNC_TIMEOUT).await;
        let Ok(ReplyBody::Sync(reply)) = result else {
            return;
        };
        let updates = Datagram {
            members: reply.members,
            announcements: reply.announcements,
            ..Datagram::default()
        };
        self.apply_updates(updates, peer, Source::Synchronisation);
    }

    async fn probe_for_peer(self, sequence: u64, target: SocketAddr, requester: SocketAddr) {
        if self.ping(target, self.shared.settings.interval / 2).await {
            let ack = self.datagram(Purpose::Ack, sequence);
            self.send(ack, requester);
        }
    }

    async fn run_probes(&self) {
        let interval = self.shared.settings.interval;
        for round in 0_u64.. {
            let jitter = rand::rng().random_range(0.9..1.1);
            let next_round = tokio::time::sleep(interval.mul_f64(jitter));
            self.ping_lost_peers(round);
            if let Some(member) = self.choose_probe(round) {
                tokio::spawn(self.clone().probe(member));
            }
            next_round.await;
            self.expire();
        }
    }

    fn choose_probe(&self, round: u64) -> Option<Member> {
        let mut state = self.state();
        if round.is_multiple_of(REMOTE_PROBE_PERIOD) {
            let remote = state.members.random_remote();
            if remote.is_some() {
                return remote;
            }
        }
        let local = state.members.next_probe();
        local.or_else(|| state.members.random_remote())
    }

    fn ping_lost_peers(&self, round: u64) {
        let is_alone = self.alive_count() == 1;
        if !is_alone && !round.is_multiple_of(LOST_PEER_PING_PERIOD) {
            return;
        }
        let dead_peer = self.state().members.random_dead();
        let own_address = self.shared.settings.me.peer_address;
        let seeds = self
            .shared
            .settings
            .seeds
            .iter()
            .filter(|seed| **seed != own_address);
        let mut addresses: Vec<SocketAddr> =
            dead_peer.map(|m| m.peer_address).into_iter().collect();
        if is_alone {
            addresses.extend(seeds);
        } else {
            let seeds: Vec<&SocketAddr> = seeds.collect();
            if !seeds.is_empty() {
                addresses.push(*seeds[rand::rng().random_range(0..seeds.len())]);
            }
        }
        for address in addresses {
            let sequence = self.next_sequence();
            let ping = self.datagram(Purpose::Ping, sequence);
            self.send(ping, address);
        }
    }

    async fn probe(self, member: Member) {
        let interval = self.shared.settings.interval;
        if self.ping(member.peer_address, interval / 2).await {
            return;
        }
        if self.ping_through_peers(&member, interval / 2).await {
            return;
        }
        let mut state = self.state();
        if let Some(suspicion) = state.members.suspect(&member.node, Instant::now()) {
            self.shared.traffic.count_suspicion();
            state.updates.add(Update::Member(suspicion));
        }
    }

    async fn ping(&self, address: SocketAddr, timeout: Duration) -> bool {
        let sequence = self.next_sequence();
        let ack = self.expect_ack(sequence);
        let ping = self.datagram(Purpose::Ping, sequence);
        self.send(ping, address);
        self.await_ack(sequence, ack, timeout).await
    }

    async fn ping_through_peers(&self, member: &Member, timeout: Duration) -> bool {
        let peers = self
            .state()
            .members
            .random_alive(INDIRECT_PROBE_PEERS, &member.node);
        let sequence = self.next_sequence();
        let ack = self.expect_ack(sequence);
        let mut request = self.datagram(Purpose::PingRequest, sequence);
        request.target_address = member.peer_address.to_string();
        for peer in peers {
            self.send(request.clone(), peer.peer_address);
        }
        // If the target answers the ping of a peer, that peer sends an ack with
        // this sequence number.
        self.await_ack(sequence, ack, timeout).await
    }

    fn expect_ack(&self, sequence: u64) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.state().pending_acks.insert(sequence, sender);
        receiver
    }

    async fn await_ack(
        &self,
        sequence: u64,
        ack: oneshot::Receiver<()>,
        timeout: Duration,
    ) -> bool {
        let has_acked = tokio::time::timeout(timeout, ack).await.is_ok();
        self.state().pending_acks.remove(&sequence);
        has_acked
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let dead = state.members.expire(self.shared.settings.interval, now);
        for record in dead {
            log::info!(
                "node {} declared dead: it did not refute the suspicion in time",
                record.node
            );
            state.updates.add(Update::Member(record));
        }
        state.announcements.expire(now);
    }

    fn schedule_push(&self) {
        let mut state = self.state();
        if state.is_push_scheduled {
            return;
        }
        state.is_push_scheduled = true;
        drop(state);
        let membership = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(PUSH_DELAY).await;
            membership.state().is_push_scheduled = false;
            membership.push_to_random_peers();
        });
    }

    fn push_to_random_peers(&self) {
        let peers = self.state().members.random_alive(PUSH_FANOUT, "");
        for peer in peers {
            let sequence = self.next_sequence();
            let ping = self.datagram(Purpose::Ping, sequence);
            self.send(ping, peer.peer_address);
        }
    }

    fn next_sequence(&self) -> u64 {
        let mut state = self.state();
        state.last_sequence += 1;
        state.last_sequence
    }

    fn datagram(&self, purpose: Purpose, sequence: u64) -> Datagram {
        let mut state = self.state();
        let node_count = state.members.alive_count();
        let mut datagram = Datagram {
            purpose: purpose.into(),
            sequence,
            sender: Some(state.members.my_record()),
            documents: document_versions(&state.documents),
            table_hash: state.members.table_hash(),
            announcement_hash: state.announcements.hash(),
            ..Datagram::default()
        };
        for update in state.updates.take_batch(node_count, UPDATES_MAX_BYTES) {
            match update {
                Update::Member(record) => datagram.members.push(record),
                Update::Announcement(record) => datagram.announcements.push(record),
            }
        }
        datagram
    }

    fn send(&self, mut datagram: Datagram, to: SocketAddr) {
        if self.shared.settings.faults.is_cut(&to) {
            return;
        }
        // If the receiver is believed to be suspect or dead, the datagram tells
        // it so, since it can refute only a suspicion that it knows of.
        let suspicion = self.state().members.suspicion_of(to);
        datagram.members.extend(suspicion);
        let bytes = datagram.encode_to_vec();
        self.shared.traffic.count_sent(bytes.len());
        // A full send buffer drops the datagram, as the network may do too.
        let _ = self.shared.socket.try_send_to(&bytes, to);
    }
}

/// Handles peers' requests where a membership runs outside a [`crate::Node`]:
/// it answers synchronisation requests only.
struct SyncHandler(Membership);

impl PeerHandler for SyncHandler {
    async fn handle(&self, request: RequestBody) -> Option<ReplyBody> {
        match request {
            RequestBody::Sync(request) => Some(ReplyBody::Sync(self.0.sync_reply(&request))),
            _ => None,
        }
    }
}
