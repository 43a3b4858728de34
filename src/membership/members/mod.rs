//! The table of members (the nodes that one node knows of), and the rules by
//! which one report on a member overrides another.
//!
//! A node has an incarnation number, which only the node itself raises. A report
//! with a higher incarnation overrides one with a lower. Within one incarnation,
//! the order of [`MemberState`] decides. A node that learns that it is suspected
//! raises its incarnation, and so refutes the suspicion.

mod peer_choice;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::hash::Fnv;
use crate::id::{DataCentreId, Incarnation, NodeId};
use crate::membership::message::{MemberRecord, MemberState};

/// How long a node that is dead or has left stays in the table. Dead nodes are
/// pinged now and then, so that nodes find each other after a network
/// partition.
const DEAD_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// Minimum time, in probe intervals, that a suspect has to refute the
/// suspicion. In a large cluster it has more: about log2 of the number of live
/// nodes.
const SUSPICION_INTERVALS_MIN: u32 = 4;

/// One node as its peers see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node. The node raises it to override earlier reports on
    /// itself, such as a suspicion.
    pub incarnation: Incarnation,
    /// Address at which the node listens for other nodes, over UDP and TCP.
    pub peer_address: SocketAddr,
    /// Address at which the node listens for callers.
    pub caller_address: SocketAddr,
    /// Port at which the node accepts calls that other nodes relay, at the IP address
    /// of `peer_address`; zero if it accepts none.
    pub relay_port: u16,
    /// Data centre of the node.
    pub data_centre: DataCentreId,
    /// Whether the node is draining.
    pub leaving: bool,
    /// Requests that the node had in flight or queued when it last reported.
    pub demand_count: u32,
}

impl Member {
    /// Address at which the node accepts calls that other nodes relay.
    pub(crate) fn relay_address(&self) -> SocketAddr {
        SocketAddr::new(self.peer_address.ip(), self.relay_port)
    }

    /// Name under which this process makes claims and holds leases:
    /// `node@incarnation`. The incarnation tells it from earlier processes of the
    /// same node.
    pub fn claimant(&self) -> String {
        format!("{}@{}", self.node, self.incarnation)
    }
}

#[derive(Clone, Debug)]
struct MemberEntry {
    member: Member,
    /// Hash of `member`, which each datagram needs of all members.
    hash: u64,
    state: MemberState,
    state_since: Instant,
}

/// All nodes that one node knows, including itself.
#[derive(Debug)]
pub(crate) struct Members {
    me: Member,
    entries: BTreeMap<NodeId, MemberEntry>,
    /// Nodes of this data centre that are still to be probed in the current
    /// round; the last one is next.
    probe_order: Vec<NodeId>,
}

/// What a report on a member changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// The report was outdated or already known.
    Unchanged,
    /// The report changed the table, so it should be passed on to other nodes.
    Updated,
    /// The report said that this node is not alive. This node raised its
    /// incarnation to refute it.
    Refuted,
}

impl Members {
    /// Makes a table of only this node.
    pub(crate) fn new(me: Member) -> Self {
        Self {
            me,
            entries: BTreeMap::new(),
            probe_order: Vec::new(),
        }
    }

    pub(crate) fn me(&self) -> &Member {
        &self.me
    }

    pub(crate) fn my_record(&self) -> MemberRecord {
        record(&self.me, MemberState::Alive)
    }

    /// Sets how many requests this node has in flight and queued.
    pub(crate) fn set_demand(&mut self, demand_count: u32) {
        self.me.demand_count = demand_count;
    }

    /// Marks this node as draining, and raises its incarnation so that the new
    /// record overrides the previous one.
    pub(crate) fn set_leaving(&mut self) {
        self.me.leaving = true;
        self.me.incarnation += 1;
    }

    /// Applies a report on a member, whoever sent it. A report with an invalid
    /// address is ignored.
    pub(crate) fn apply(&mut self, report: &MemberRecord, now: Instant) -> Change {
        if report.node == self.me.node {
            return self.apply_about_me(report);
        }
        let Some(member) = member(report) else {
            return Change::Unchanged;
        };
        let state = report.state();
        let Some(entry) = self.entries.get_mut(&member.node) else {
            self.insert(member, state, now);
            return Change::Updated;
        };
        let is_newer = (member.incarnation, state) > (entry.member.incarnation, entry.state);
        if !is_newer {
            if member.incarnation == entry.member.incarnation {
                entry.member.demand_count = member.demand_count;
            }
            return Change::Unchanged;
        }
        if state != entry.state {
            entry.state_since = now;
        }
        entry.hash = hash(&member);
        entry.member = member;
        entry.state = state;
        Change::Updated
    }

    /// Applies a node's report on itself, as a datagram of that node carries
    /// it.
    pub(crate) fn apply_self_report(&mut self, sender: &MemberRecord, now: Instant) -> Change {
        let is_unaware = self.entries.get(&sender.node).is_some_and(|entry| {
            entry.state != MemberState::Alive && entry.member.incarnation == sender.incarnation
        });
        // The sender does not know yet that it is suspected, or was declared dead
        // or left. The next datagram that this node sends to it says so. The
        // sender then raises its incarnation, and only a report with the higher
        // incarnation makes it alive again in this table.
        if is_unaware {
            return Change::Unchanged;
        }
        self.apply(sender, now)
    }

    /// Marks a live node that did not answer as suspect, and returns its
    /// record.
    pub(crate) fn suspect(&mut self, node: &str, now: Instant) -> Option<MemberRecord> {
        let entry = self.entries.get_mut(node)?;
        if entry.state != MemberState::Alive {
            return None;
        }
        entry.state = MemberState::Suspect;
        entry.state_since = now;
        Some(record(&entry.member, MemberState::Suspect))
    }

    /// Declares those suspects dead that did not refute the suspicion in time and
    /// returns their records. Removes nodes that have been dead or left for
    /// [`DEAD_RETENTION`].
    pub(crate) fn expire(&mut self, interval: Duration, now: Instant) -> Vec<MemberRecord> {
        let suspicion_time = self.suspicion_time(interval);
        let mut dead = Vec::new();
        for entry in self.entries.values_mut() {
            let is_suspect = entry.state == MemberState::Suspect;
            if is_suspect && now.duration_since(entry.state_since) >= suspicion_time {
                entry.state = MemberState::Dead;
                entry.state_since = now;
                dead.push(record(&entry.member, MemberState::Dead));
            }
        }
        self.entries.retain(|_, entry| {
            let is_dead_or_left = entry.state >= MemberState::Dead;
            !is_dead_or_left || now.duration_since(entry.state_since) < DEAD_RETENTION
        });
        dead
    }

    /// The record of the node at `peer_address` if it says that the node is
    /// suspected, dead or left. It is sent to that node so that the node can
    /// refute it.
    pub(crate) fn suspicion_of(&self, peer_address: SocketAddr) -> Option<MemberRecord> {
        let mut entries = self.entries.values();
        let entry = entries.find(|entry| {
            entry.state != MemberState::Alive && entry.member.peer_address == peer_address
        })?;
        Some(record(&entry.member, entry.state))
    }

    /// Live nodes, including suspects, this one first.
    pub(crate) fn alive(&self) -> Vec<Member> {
        let others = self.entries.values().filter(|entry| entry.is_alive());
        std::iter::once(&self.me)
            .chain(others.map(|entry| &entry.member))
            .cloned()
            .collect()
    }

    /// Number of live nodes, including suspects and this one.
    pub(crate) fn alive_count(&self) -> usize {
        1 + self
            .entries
            .values()
            .filter(|entry| entry.is_alive())
            .count()
    }

    /// Whether the process that a claim names as its claimant, in the form
    /// `node@incarnation`, is believed to be alive.
    pub(crate) fn is_claimant_alive(&self, claimant: &str) -> bool {
        let Some((node, incarnation)) = claimant.rsplit_once('@') else {
            return false;
        };
        let Ok(incarnation) = incarnation.parse::<Incarnation>() else {
            return false;
        };
        if node == self.me.node {
            return is_same_process(incarnation, self.me.incarnation);
        }
        self.entries.get(node).is_some_and(|entry| {
            entry.is_alive() && is_same_process(incarnation, entry.member.incarnation)
        })
    }

    /// The records of all nodes.
    pub(crate) fn records(&self) -> Vec<MemberRecord> {
        let others = self.entries.values();
        std::iter::once(self.my_record())
            .chain(others.map(|entry| record(&entry.member, entry.state)))
            .collect()
    }

    /// Hash of the live members, equal at two nodes that know the same live
    /// members with the same incarnations.
    pub(crate) fn table_hash(&self) -> u64 {
        let others = self.entries.values().filter(|entry| entry.is_alive());
        let hashes = others.map(|entry| entry.hash);
        hashes.fold(hash(&self.me), u64::wrapping_add)
    }

    fn apply_about_me(&mut self, report: &MemberRecord) -> Change {
        let is_not_alive = report.state() != MemberState::Alive;
        if is_not_alive && report.incarnation >= self.me.incarnation {
            self.me.incarnation = report.incarnation + 1;
            return Change::Refuted;
        }
        Change::Unchanged
    }

    fn insert(&mut self, member: Member, state: MemberState, now: Instant) {
        let position = rand::rng().random_range(0..=self.probe_order.len());
        if member.data_centre == self.me.data_centre {
            self.probe_order.insert(position, member.node.clone());
        }
        let entry = MemberEntry {
            hash: hash(&member),
            state,
            state_since: now,
            member,
        };
        self.entries.insert(entry.member.node.clone(), entry);
    }

    fn suspicion_time(&self, interval: Duration) -> Duration {
        let doublings = usize::BITS - self.alive_count().leading_zeros();
        interval * SUSPICION_INTERVALS_MIN.max(doublings)
    }
}

impl MemberEntry {
    fn is_alive(&self) -> bool {
        self.state <= MemberState::Suspect
    }
}

/// Hash of what tells one process of a member from another.
fn hash(member: &Member) -> u64 {
    Fnv::new()
        .text(&member.node)
        .number(member.incarnation)
        .finish()
}

/// Incarnations of a node that differ by less than this count as those of one
/// process. A process begins with its start time in milliseconds as incarnation,
/// and adds one for each refutation and when it begins to drain.
const REFUTATIONS_PER_PROCESS_MAX: u64 = 1000;

fn is_same_process(claimed: Incarnation, current: Incarnation) -> bool {
    current >= claimed && current - claimed < REFUTATIONS_PER_PROCESS_MAX
}

fn record(member: &Member, state: MemberState) -> MemberRecord {
    MemberRecord {
        node: member.node.clone(),
        incarnation: member.incarnation,
        state: state.into(),
        peer_address: member.peer_address.to_string(),
        caller_address: member.caller_address.to_string(),
        relay_port: member.relay_port.into(),
        data_centre: member.data_centre.clone(),
        leaving: member.leaving,
        demand_count: member.demand_count,
    }
}

fn member(record: &MemberRecord) -> Option<Member> {
    Some(Member {
        node: record.node.clone(),
        incarnation: record.incarnation,
        peer_address: record.peer_address.parse().ok()?,
        caller_address: record.caller_address.parse().ok()?,
        relay_port: u16::try_from(record.relay_port).ok()?,
        data_centre: record.data_centre.clone(),
        leaving: record.leaving,
        demand_count: record.demand_count,
    })
}
