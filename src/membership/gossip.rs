//! Who else runs, and how news reaches all of them.
//!
//! Each node probes one random peer an interval, asks others to try when it
//! gets no answer, and lets news ride on these datagrams. The work of a node
//! does not grow with the fleet; `docs/CAPACITY.md` gives the slopes.

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
    Datagram, MemberState, Purpose, Question, ReplyBody, SyncQuestion, SyncReply,
};
use crate::membership::peer::{PeerClient, PeerHandler, serve_peers};
use crate::membership::state::{Source, State, document_versions, spread};
use crate::shutdown::{Shutdown, ShutdownTrigger};

/// Largest datagram, below the smallest usual path limit.
const DATAGRAM_MAX_BYTES: usize = 1200;
/// Bytes of a datagram left for updates.
const UPDATE_BYTES: usize = 800;
/// Peers asked to try a node that did not answer.
const HELPER_COUNT: usize = 3;
/// Peers told at once of something new.
const URGENT_FANOUT: usize = 4;
/// Time in which new things gather before peers are told at once.
const URGENT_DELAY: Duration = Duration::from_millis(5);
/// Probes to this data centre for each one to another.
const NEAR_PROBES_PER_FAR: u64 = 4;
/// Intervals between looks for nodes that came back.
const REVIVAL_INTERVALS: u64 = 5;
/// How long a synchronisation may take.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);
/// News that a slow listener may leave unread.
const NEWS_BACKLOG: usize = 4096;

/// What membership needs to know to start.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This node; its incarnation must exceed that of its earlier lives.
    pub me: Member,
    /// Peer addresses at which others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Time between probes.
    pub interval: Duration,
    /// Faults on the way in, for tests.
    pub faults: LinkFaults,
}

/// Something a node learnt from its peers.
#[derive(Clone, Debug)]
pub enum News {
    /// An announcement that was not known before.
    Announced(Announcement),
    /// A peer holds a newer version of a document.
    Document {
        /// Name of the document.
        name: String,
        /// Version the peer holds.
        version: Version,
        /// Where to fetch it.
        peer_address: SocketAddr,
    },
}

/// A running membership.
#[derive(Clone, Debug)]
pub struct Membership {
    shared: Arc<Shared>,
    own_trigger: Option<Arc<ShutdownTrigger>>,
}

#[derive(Debug)]
struct Shared {
    socket: UdpSocket,
    settings: MembershipSettings,
    state: Mutex<State>,
    news: broadcast::Sender<News>,
    peers: PeerClient,
    traffic: TrafficCounter,
}

impl Membership {
    /// Binds the peer address and starts to probe.
    pub async fn start(settings: MembershipSettings) -> io::Result<Self> {
        let (trigger, shutdown) = Shutdown::channel();
        let listener = TcpListener::bind(settings.me.peer_address).await?;
        let peers = PeerClient::default();
        let traffic = peers.traffic().clone();
        let mut membership = Self::start_with(settings, peers, shutdown.clone()).await?;
        let answers = Arc::new(SyncOnly(membership.clone()));
        tokio::spawn(serve_peers(listener, answers, traffic, shutdown));
        membership.own_trigger = Some(Arc::new(trigger));
        Ok(membership)
    }

    /// Stops a membership that [`Membership::start`] started, as the death of
    /// its process would.
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
            waiting: BTreeMap::new(),
            next_sequence: 0,
            synced_at: None,
            telling: false,
        };
        let membership = Self {
            shared: Arc::new(Shared {
                socket,
                settings,
                state: Mutex::new(state),
                news: broadcast::Sender::new(NEWS_BACKLOG),
                peers,
                traffic: TrafficCounter::default(),
            }),
            own_trigger: None,
        };
        let aborted = shutdown.aborted_handle();
        let receiver = membership.clone();
        let stop = aborted.clone();
        tokio::spawn(async move {
            stop.run_until_cancelled(receiver.receive()).await;
        });
        let prober = membership.clone();
        tokio::spawn(async move {
            aborted.run_until_cancelled(prober.probe_all()).await;
        });
        Ok(membership)
    }

    /// Live nodes, this one first.
    pub fn alive(&self) -> Vec<Member> {
        self.state().members.alive()
    }

    /// How many nodes live, this one included.
    pub fn alive_count(&self) -> usize {
        self.state().members.alive_count()
    }

    /// This node, as its peers see it.
    pub fn me(&self) -> Member {
        self.state().members.me().clone()
    }

    /// Learns what is announced and which documents are newer elsewhere.
    pub fn subscribe(&self) -> broadcast::Receiver<News> {
        self.shared.news.subscribe()
    }

    /// Makes all nodes learn `announcement`.
    pub fn announce(&self, announcement: Announcement) {
        let mut state = self.state();
        let record = to_record(&announcement, announcement.ttl);
        if !state.announcements.apply(announcement, Instant::now()) {
            return;
        }
        state.updates.add(Update::Announcement(record));
        drop(state);
        self.tell_soon();
    }

    /// Tells peers that this node holds `version` of a document.
    pub fn hold_document(&self, name: &str, version: Version) {
        let mut state = self.state();
        let held = state.documents.entry(name.to_owned()).or_default();
        let newer = version > *held;
        *held = version.max(*held);
        drop(state);
        if newer {
            self.tell_soon();
        }
    }

    /// Marks this node as draining.
    pub fn leave(&self) {
        let mut state = self.state();
        state.members.set_leaving();
        let record = state.members.my_record();
        state.updates.add(Update::Member(record));
        drop(state);
        self.tell_soon();
    }

    /// Tells peers that this node stops.
    pub(crate) fn announce_left(&self) {
        let state = self.state();
        let mut record = state.members.my_record();
        record.state = MemberState::Left.into();
        let peers = state.members.random_alive(URGENT_FANOUT, "");
        let farewell = Datagram {
            purpose: Purpose::Ack.into(),
            members: vec![record],
            ..Datagram::default()
        };
        drop(state);
        for peer in peers {
            self.send(farewell.clone(), peer.peer_address);
        }
    }

    /// Notes how much this node has to do.
    pub fn set_demand(&self, demand_count: u32) {
        self.state().members.set_demand(demand_count);
    }

    /// Whether the named life of a node is believed to go on.
    pub(crate) fn is_claimant_alive(&self, claimant: &str) -> bool {
        self.state().members.is_claimant_alive(claimant)
    }

    /// Messages and bytes so far.
    pub fn traffic(&self) -> ControlTraffic {
        self.shared.traffic.totals(self.shared.peers.traffic())
    }

    /// Announcements of a topic that are in force here.
    pub(crate) fn announcements(&self, topic: u32) -> Vec<Announcement> {
        self.state().announcements.of_topic(topic)
    }

    /// How many announcements are in force here.
    pub fn announcement_count(&self) -> usize {
        self.state().announcements.count()
    }

    /// Answers a node with what it lacks.
    pub(crate) fn sync_reply(&self, question: &SyncQuestion) -> SyncReply {
        let state = self.state();
        let members_differ = question.table_hash != state.members.table_hash();
        let announcements = &state.announcements;
        SyncReply {
            members: if members_differ {
                state.members.records()
            } else {
                Vec::new()
            },
            announcements: announcements.records_unlike(&question.bucket_hashes, Instant::now()),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn receive(&self) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES * 2];
        loop {
            let Ok((length, from)) = self.shared.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.shared.settings.faults.loses(&from) {
                continue;
            }
            self.shared.traffic.received(length);
            // Garbage on the port is dropped.
            if let Ok(datagram) = Datagram::decode(&buffer[..length]) {
                self.take_in(datagram, from);
            }
        }
    }

    fn take_in(&self, datagram: Datagram, from: SocketAddr) {
        let purpose = datagram.purpose();
        let sequence = datagram.sequence;
        let target = datagram.target_address.parse().ok();
        self.learn(datagram, from, Source::Datagram);
        match purpose {
            Purpose::Ping => {
                let ack = self.datagram(Purpose::Ack, sequence);
                self.send(ack, from);
            }
            Purpose::Ack => {
                if let Some(waiting) = self.state().waiting.remove(&sequence) {
                    let _ = waiting.send(());
                }
            }
            Purpose::PingRequest => {
                if let Some(target) = target {
                    tokio::spawn(self.clone().help(sequence, target, from));
                }
            }
        }
    }

    fn learn(&self, datagram: Datagram, from: SocketAddr, source: Source) {
        let now = Instant::now();
        let mut news = Vec::new();
        // Farewells and synchronisations carry no hashes of their sender.
        let names_sender = datagram.sender.is_some();
        let table_hash = datagram.table_hash;
        let announcement_hash = datagram.announcement_hash;
        let mut state = self.state();
        if let Some(sender) = &datagram.sender {
            let change = state.members.apply_from(sender, now);
            spread(&mut state, sender, change, source);
        }
        for record in &datagram.members {
            let change = state.members.apply(record, now);
            spread(&mut state, record, change, source);
        }
        for record in datagram.announcements {
            let announcement = from_record(record.clone());
            if state.announcements.apply(announcement.clone(), now) {
                if source == Source::Datagram {
                    state.updates.add(Update::Announcement(record));
                }
                news.push(News::Announced(announcement));
            }
        }
        for document in datagram.documents {
            let held = state.documents.get(&document.name).copied();
            if document.version > held.unwrap_or(0) {
                news.push(News::Document {
                    name: document.name,
                    version: document.version,
                    peer_address: from,
                });
            }
        }
        if names_sender && state.is_sync_due(table_hash, announcement_hash, now) {
            state.synced_at = Some(now);
            tokio::spawn(self.clone().sync_with(from));
        }
        drop(state);
        let announced = |item: &News| matches!(item, News::Announced(_));
        if source == Source::Datagram && news.iter().any(announced) {
            self.tell_soon();
        }
        for item in news {
            let _ = self.shared.news.send(item);
        }
    }

    async fn sync_with(self, peer: SocketAddr) {
        if self.shared.settings.faults.is_cut(&peer) {
            return;
        }
        let question = Question::Sync(self.state().sync_question());
        let asked = self.shared.peers.ask(peer, question, SYNC_TIMEOUT).await;
        let Ok(ReplyBody::Sync(reply)) = asked else {
            return;
        };
        let all = Datagram {
            members: reply.members,
            announcements: reply.announcements,
            ..Datagram::default()
        };
        self.learn(all, peer, Source::Synchronisation);
    }

    async fn help(self, sequence: u64, target: SocketAddr, asker: SocketAddr) {
        if self.ping(target, self.shared.settings.interval / 2).await {
            let ack = self.datagram(Purpose::Ack, sequence);
            self.send(ack, asker);
        }
    }

    async fn probe_all(&self) {
        let interval = self.shared.settings.interval;
        for round in 0_u64.. {
            let jitter = rand::rng().random_range(0.9..1.1);
            let next_round = tokio::time::sleep(interval.mul_f64(jitter));
            self.look_for_lost(round);
            if let Some(member) = self.choose_probe(round) {
                tokio::spawn(self.clone().probe(member));
            }
            next_round.await;
            self.give_up_doubted();
        }
    }

    fn choose_probe(&self, round: u64) -> Option<Member> {
        let mut state = self.state();
        if round.is_multiple_of(NEAR_PROBES_PER_FAR) {
            let far = state.members.random_far();
            if far.is_some() {
                return far;
            }
        }
        let near = state.members.next_probe();
        near.or_else(|| state.members.random_far())
    }

    fn look_for_lost(&self, round: u64) {
        let alone = self.alive_count() == 1;
        if !alone && !round.is_multiple_of(REVIVAL_INTERVALS) {
            return;
        }
        let dead = self.state().members.random_dead();
        let me = self.shared.settings.me.peer_address;
        let seeds = self
            .shared
            .settings
            .seeds
            .iter()
            .filter(|seed| **seed != me);
        let mut addresses: Vec<SocketAddr> = dead.map(|m| m.peer_address).into_iter().collect();
        if alone {
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
        if self.ping_through_helpers(&member, interval / 2).await {
            return;
        }
        let mut state = self.state();
        if let Some(doubt) = state.members.suspect(&member.node, Instant::now()) {
            self.shared.traffic.suspected();
            state.updates.add(Update::Member(doubt));
        }
    }

    async fn ping(&self, address: SocketAddr, timeout: Duration) -> bool {
        let sequence = self.next_sequence();
        let answered = self.expect_ack(sequence);
        let ping = self.datagram(Purpose::Ping, sequence);
        self.send(ping, address);
        self.await_ack(sequence, answered, timeout).await
    }

    async fn ping_through_helpers(&self, member: &Member, timeout: Duration) -> bool {
        let helpers = self
            .state()
            .members
            .random_alive(HELPER_COUNT, &member.node);
        let sequence = self.next_sequence();
        let answered = self.expect_ack(sequence);
        let mut request = self.datagram(Purpose::PingRequest, sequence);
        request.target_address = member.peer_address.to_string();
        for helper in helpers {
            self.send(request.clone(), helper.peer_address);
        }
        // The answer may also come straight, late, to the first ping.
        self.await_ack(sequence, answered, timeout).await
    }

    fn expect_ack(&self, sequence: u64) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.state().waiting.insert(sequence, sender);
        receiver
    }

    async fn await_ack(
        &self,
        sequence: u64,
        answered: oneshot::Receiver<()>,
        timeout: Duration,
    ) -> bool {
        let in_time = tokio::time::timeout(timeout, answered).await.is_ok();
        self.state().waiting.remove(&sequence);
        in_time
    }

    fn give_up_doubted(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let given_up = state.members.expire(self.shared.settings.interval, now);
        for record in given_up {
            log::info!("node {} is given up", record.node);
            state.updates.add(Update::Member(record));
        }
        state.announcements.expire(now);
    }

    fn tell_soon(&self) {
        let mut state = self.state();
        if state.telling {
            return;
        }
        state.telling = true;
        drop(state);
        let membership = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(URGENT_DELAY).await;
            membership.state().telling = false;
            membership.tell_some();
        });
    }

    fn tell_some(&self) {
        let peers = self.state().members.random_alive(URGENT_FANOUT, "");
        for peer in peers {
            let sequence = self.next_sequence();
            let ping = self.datagram(Purpose::Ping, sequence);
            self.send(ping, peer.peer_address);
        }
    }

    fn next_sequence(&self) -> u64 {
        let mut state = self.state();
        state.next_sequence += 1;
        state.next_sequence
    }

    fn datagram(&self, purpose: Purpose, sequence: u64) -> Datagram {
        let mut state = self.state();
        let fleet_count = state.members.alive_count();
        let mut datagram = Datagram {
            purpose: purpose.into(),
            sequence,
            sender: Some(state.members.my_record()),
            documents: document_versions(&state.documents),
            table_hash: state.members.table_hash(),
            announcement_hash: state.announcements.hash(),
            ..Datagram::default()
        };
        for update in state.updates.take_batch(fleet_count, UPDATE_BYTES) {
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
        // A node that others doubt must hear of it to refute it.
        let doubt = self.state().members.doubt_about(to);
        datagram.members.extend(doubt);
        let bytes = datagram.encode_to_vec();
        self.shared.traffic.sent(bytes.len());
        // A full socket buffer loses the datagram, as the network may.
        let _ = self.shared.socket.try_send_to(&bytes, to);
    }
}

/// Answers peers where nothing but membership runs.
struct SyncOnly(Membership);

impl PeerHandler for SyncOnly {
    async fn answer(&self, question: Question) -> Option<ReplyBody> {
        match question {
            Question::Sync(question) => Some(ReplyBody::Sync(self.0.sync_reply(&question))),
            _ => None,
        }
    }
}
