//! Choice of the members to contact: those to probe in turn, and random ones.

use rand::seq::{IndexedRandom, SliceRandom};

use crate::membership::members::{Member, MemberEntry, Members};
use crate::membership::message::MemberState;

impl Members {
    /// The next node of this data centre to probe. Each is probed once before
    /// any is probed again.
    pub(crate) fn next_probe(&mut self) -> Option<Member> {
        loop {
            let Some(node) = self.probe_order.pop() else {
                self.refill_probe_order();
                let node = self.probe_order.pop()?;
                return Some(self.entries.get(&node)?.member.clone());
            };
            if let Some(entry) = self.entries.get(&node).filter(|entry| entry.is_alive()) {
                return Some(entry.member.clone());
            }
        }
    }

    /// A random live node of another data centre.
    pub(crate) fn random_remote(&self) -> Option<Member> {
        self.random_where(|entry| {
            entry.is_alive() && entry.member.data_centre != self.me.data_centre
        })
    }

    /// A random dead node, to ping it in case a network partition has ended.
    pub(crate) fn random_dead(&self) -> Option<Member> {
        self.random_where(|entry| entry.state == MemberState::Dead)
    }

    /// Up to `count` random live nodes other than `excluded`, those of this
    /// data centre first.
    pub(crate) fn random_alive(&self, count: usize, excluded: &str) -> Vec<Member> {
        let alive = self.entries.values().filter(|entry| entry.is_alive());
        let members = alive.map(|entry| &entry.member);
        let (local, remote): (Vec<&Member>, Vec<&Member>) = members
            .filter(|member| member.node != excluded)
            .partition(|member| member.data_centre == self.me.data_centre);
        let mut rng = rand::rng();
        let local = local.sample(&mut rng, count);
        let missing_count = count - local.len();
        let remote = remote.sample(&mut rng, missing_count);
        local
            .chain(remote)
            .map(|member| (*member).clone())
            .collect()
    }

    fn refill_probe_order(&mut self) {
        let local = self
            .entries
            .values()
            .filter(|entry| entry.is_alive() && entry.member.data_centre == self.me.data_centre);
        self.probe_order = local.map(|entry| entry.member.node.clone()).collect();
        self.probe_order.shuffle(&mut rand::rng());
    }

    fn random_where(&self, predicate: impl Fn(&MemberEntry) -> bool) -> Option<Member> {
        let candidates: Vec<&MemberEntry> = self
            .entries
            .values()
            .filter(|entry| predicate(entry))
            .collect();
        let entry = candidates.choose(&mut rand::rng())?;
        Some(entry.member.clone())
    }
}
