//! Failure detection: the probes of peers, direct and through other peers, and the
//! suspicion of a peer that answers neither.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::sync::oneshot;

use crate::membership::gossip::Membership;
use crate::membership::members::Member;
use crate::membership::message::Purpose;
use crate::membership::update_queue::Update;

/// Peers that are asked to ping a node that did not answer.
const INDIRECT_PROBE_PEERS: usize = 3;
/// One probe in this many goes to another data centre.
const REMOTE_PROBE_PERIOD: u64 = 4;
/// Queued updates from which on a node logs how many there are.
const BACKLOG_MIN: usize = 64;
/// Number of probe intervals between two attempts to reach lost peers: a dead
/// node, which may be reachable again, and seeds. A node that knows no live
/// peer tries in every interval.
const LOST_PEER_PING_PERIOD: u64 = 5;

impl Membership {
    pub(super) async fn run_probes(&self) {
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
        let dead_address = dead_peer.map(|member| member.peer_address);
        let seeds = self.seeds_to_ping(is_alone);
        for address in dead_address.into_iter().chain(seeds) {
            let sequence = self.next_sequence();
            let ping = self.datagram(Purpose::Ping, sequence);
            self.send(ping, address);
        }
    }

    /// All seeds for a node that knows no live peer, else a random one.
    fn seeds_to_ping(&self, is_alone: bool) -> Vec<SocketAddr> {
        let settings = &self.shared.settings;
        let seeds = settings.seeds.iter().copied();
        let others: Vec<SocketAddr> = seeds
            .filter(|seed| *seed != settings.me.peer_address)
            .collect();
        if is_alone {
            return others;
        }
        others
            .choose(&mut rand::rng())
            .copied()
            .into_iter()
            .collect()
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
        let now = Instant::now();
        if let Some(suspicion) = state.members.suspect(&member.node, now) {
            self.shared.traffic.count_suspicion();
            state.updates.add(Update::Member(suspicion), now);
        }
    }

    pub(super) async fn probe_for_peer(
        self,
        sequence: u64,
        target: SocketAddr,
        requester: SocketAddr,
    ) {
        if self.ping(target, self.shared.settings.interval / 2).await {
            let ack = self.datagram(Purpose::Ack, sequence);
            self.send(ack, requester);
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
            state.updates.add(Update::Member(record), now);
        }
        state.announcements.expire(now);
        let unsent_count = state.updates.expire(now);
        let (queued, in_force) = (state.updates.len(), state.announcements.count());
        drop(state);
        if unsent_count > 0 || queued >= BACKLOG_MIN {
            log::info!(
                "event=gossip_backlog queued={queued} expired={unsent_count} in_force={in_force}"
            );
        }
    }
}
