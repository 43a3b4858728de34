//! The table of nodes, with the rules by which one report overrides another.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::hash::Fnv;
use crate::id::{DataCentreId, Incarnation, NodeId};
use crate::membership::message::{MemberRecord, MemberState};

/// How long a dead node is remembered, so that a healed partition finds it.
const DEAD_KEEP: Duration = Duration::from_secs(2 * 3600);
/// Suspicion time for two nodes, in probe intervals.
const SUSPICION_INTERVALS: u32 = 4;

/// One node as its peers see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the node.
    pub node: NodeId,
    /// Which life of the node.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Whether it drains.
    pub leaving: bool,
    /// Requests in flight and waiting when it last spoke.
    pub demand_count: u32,
}

impl Member {
    /// Names the node together with this life of it.
    pub fn claimant(&self) -> String {
        format!("{}@{}", self.node, self.incarnation)
    }
}

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    state: MemberState,
    since: Instant,
}

/// All nodes that one node knows, itself included.
#[derive(Debug)]
pub(crate) struct Members {
    me: Member,
    rows: BTreeMap<NodeId, Row>,
    probe_order: Vec<NodeId>,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// The report was old or known.
    Nothing,
    /// The table changed, and others are to hear of it.
    Spread,
    /// The report denied this node, which raised its incarnation to refute it.
    Refuted,
}

impl Members {
    /// Makes a table that holds only this node.
    pub(crate) fn new(me: Member) -> Self {
        Self {
            me,
            rows: BTreeMap::new(),
            probe_order: Vec::new(),
        }
    }

    /// This node.
    pub(crate) fn me(&self) -> &Member {
        &self.me
    }

    /// This node's own record.
    pub(crate) fn my_record(&self) -> MemberRecord {
        record(&self.me, MemberState::Alive)
    }

    /// Notes how much this node has to do.
    pub(crate) fn set_demand(&mut self, demand_count: u32) {
        self.me.demand_count = demand_count;
    }

    /// Marks this node as draining, in a life that overrides the earlier word.
    pub(crate) fn set_leaving(&mut self) {
        self.me.leaving = true;
        self.me.incarnation += 1;
    }

    /// Takes in a report; reports that name no usable address are dropped.
    pub(crate) fn apply(&mut self, report: &MemberRecord, now: Instant) -> Change {
        if report.node == self.me.node {
            return self.apply_about_me(report);
        }
        let Some(member) = member(report) else {
            return Change::Nothing;
        };
        let state = report.state();
        let Some(row) = self.rows.get_mut(&member.node) else {
            self.insert(member, state, now);
            return Change::Spread;
        };
        let newer = (member.incarnation, state) > (row.member.incarnation, row.state);
        if !newer {
            if member.incarnation == row.member.incarnation {
                row.member.demand_count = member.demand_count;
            }
            return Change::Nothing;
        }
        if state != row.state {
            row.since = now;
        }
        row.member = member;
        row.state = state;
        Change::Spread
    }

    /// Takes in what a node says of itself, which proves that it lives.
    pub(crate) fn apply_from(&mut self, sender: &MemberRecord, now: Instant) -> Change {
        let revived = self.rows.get(&sender.node).is_some_and(|row| {
            row.state != MemberState::Alive && row.member.incarnation == sender.incarnation
        });
        // The sender has not heard that others doubt it. Answering with that
        // doubt makes it raise its incarnation, which alone may clear it.
        if revived {
            return Change::Nothing;
        }
        self.apply(sender, now)
    }

    /// Doubts a node that did not answer.
    pub(crate) fn suspect(&mut self, node: &str, now: Instant) -> Option<MemberRecord> {
        let row = self.rows.get_mut(node)?;
        if row.state != MemberState::Alive {
            return None;
        }
        row.state = MemberState::Suspect;
        row.since = now;
        Some(record(&row.member, MemberState::Suspect))
    }

    /// Gives up nodes that were doubted for too long, and returns them.
    pub(crate) fn expire(&mut self, interval: Duration, now: Instant) -> Vec<MemberRecord> {
        let limit = self.suspicion_time(interval);
        let mut given_up = Vec::new();
        for row in self.rows.values_mut() {
            let doubted = row.state == MemberState::Suspect;
            if doubted && now.duration_since(row.since) >= limit {
                row.state = MemberState::Dead;
                row.since = now;
                given_up.push(record(&row.member, MemberState::Dead));
            }
        }
        self.rows.retain(|_, row| {
            let gone = row.state >= MemberState::Dead;
            !gone || now.duration_since(row.since) < DEAD_KEEP
        });
        given_up
    }

    /// The doubt about the node at an address, to be shown to that node.
    pub(crate) fn doubt_about(&self, peer_address: SocketAddr) -> Option<MemberRecord> {
        let mut rows = self.rows.values();
        let row = rows.find(|row| {
            row.state != MemberState::Alive && row.member.peer_address == peer_address
        })?;
        Some(record(&row.member, row.state))
    }

    /// Live nodes, this one first.
    pub(crate) fn alive(&self) -> Vec<Member> {
        let others = self.rows.values().filter(|row| row.is_alive());
        std::iter::once(&self.me)
            .chain(others.map(|row| &row.member))
            .cloned()
            .collect()
    }

    /// How many nodes live, this one included.
    pub(crate) fn alive_count(&self) -> usize {
        1 + self.rows.values().filter(|row| row.is_alive()).count()
    }

    /// Whether the named life of a node is believed to go on.
    pub(crate) fn is_claimant_alive(&self, claimant: &str) -> bool {
        let Some((node, incarnation)) = claimant.rsplit_once('@') else {
            return false;
        };
        let Ok(incarnation) = incarnation.parse::<Incarnation>() else {
            return false;
        };
        if node == self.me.node {
            return same_life(incarnation, self.me.incarnation);
        }
        self.rows
            .get(node)
            .is_some_and(|row| row.is_alive() && same_life(incarnation, row.member.incarnation))
    }

    /// The next node to probe, each of this data centre once before any twice.
    pub(crate) fn next_probe(&mut self) -> Option<Member> {
        loop {
            let Some(node) = self.probe_order.pop() else {
                self.refill_probe_order();
                let node = self.probe_order.pop()?;
                return Some(self.rows.get(&node)?.member.clone());
            };
            if let Some(row) = self.rows.get(&node).filter(|row| row.is_alive()) {
                return Some(row.member.clone());
            }
        }
    }

    /// A live node of another data centre.
    pub(crate) fn random_far(&self) -> Option<Member> {
        self.random_where(|row| row.is_alive() && row.member.data_centre != self.me.data_centre)
    }

    /// A node that was given up, to see whether a partition has healed.
    pub(crate) fn random_dead(&self) -> Option<Member> {
        self.random_where(|row| row.state == MemberState::Dead)
    }

    /// Some live nodes other than `except`, near ones first.
    pub(crate) fn random_alive(&self, count: usize, except: &str) -> Vec<Member> {
        let mut rng = rand::rng();
        let mut found: Vec<&Member> = self
            .rows
            .values()
            .filter(|row| row.is_alive() && row.member.node != except)
            .map(|row| &row.member)
            .collect();
        found.shuffle(&mut rng);
        found.sort_by_key(|member| member.data_centre != self.me.data_centre);
        found.into_iter().take(count).cloned().collect()
    }

    /// Every record, for a node that asks for all.
    pub(crate) fn records(&self) -> Vec<MemberRecord> {
        let others = self.rows.values();
        std::iter::once(self.my_record())
            .chain(others.map(|row| record(&row.member, row.state)))
            .collect()
    }

    /// A hash of the live members, equal where two nodes know the same.
    pub(crate) fn table_hash(&self) -> u64 {
        let others = self.rows.values().filter(|row| row.is_alive());
        let members = std::iter::once(&self.me).chain(others.map(|row| &row.member));
        members.fold(0, |sum: u64, member| {
            let hash = Fnv::new()
                .text(&member.node)
                .number(member.incarnation)
                .finish();
            sum.wrapping_add(hash)
        })
    }

    fn apply_about_me(&mut self, report: &MemberRecord) -> Change {
        let denied = report.state() != MemberState::Alive;
        if denied && report.incarnation >= self.me.incarnation {
            self.me.incarnation = report.incarnation + 1;
            return Change::Refuted;
        }
        Change::Nothing
    }

    fn insert(&mut self, member: Member, state: MemberState, now: Instant) {
        let at = rand::rng().random_range(0..=self.probe_order.len());
        if member.data_centre == self.me.data_centre {
            self.probe_order.insert(at, member.node.clone());
        }
        let row = Row {
            state,
            since: now,
            member,
        };
        self.rows.insert(row.member.node.clone(), row);
    }

    fn refill_probe_order(&mut self) {
        let near = self
            .rows
            .values()
            .filter(|row| row.is_alive() && row.member.data_centre == self.me.data_centre);
        self.probe_order = near.map(|row| row.member.node.clone()).collect();
        self.probe_order.shuffle(&mut rand::rng());
    }

    fn random_where(&self, fits: impl Fn(&Row) -> bool) -> Option<Member> {
        let found: Vec<&Row> = self.rows.values().filter(|row| fits(row)).collect();
        let row = found.choose(&mut rand::rng())?;
        Some(row.member.clone())
    }

    fn suspicion_time(&self, interval: Duration) -> Duration {
        let doublings = usize::BITS - self.alive_count().leading_zeros();
        interval * SUSPICION_INTERVALS.max(doublings)
    }
}

impl Row {
    fn is_alive(&self) -> bool {
        self.state <= MemberState::Suspect
    }
}

/// Lives are born at their start time in milliseconds, and refuting a
/// suspicion raises the number by one, so nearby numbers are one life.
const REFUTATIONS_PER_LIFE: u64 = 1000;

fn same_life(claimed: Incarnation, current: Incarnation) -> bool {
    current >= claimed && current - claimed < REFUTATIONS_PER_LIFE
}

fn record(member: &Member, state: MemberState) -> MemberRecord {
    MemberRecord {
        node: member.node.clone(),
        incarnation: member.incarnation,
        state: state.into(),
        peer_address: member.peer_address.to_string(),
        caller_address: member.caller_address.to_string(),
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
        data_centre: record.data_centre.clone(),
        leaving: record.leaving,
        demand_count: record.demand_count,
    })
}
