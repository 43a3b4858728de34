//! Pushes of new updates to some random peers, which pass them on, without waiting
//! for the next probe.

use std::time::Duration;

use crate::membership::gossip::Membership;
use crate::membership::members::Member;
use crate::membership::message::{Datagram, MemberState, Purpose};

/// Peers to which new updates are pushed without waiting for the next probe, those of this
/// data centre first. One of another data centre is added, so that a data centre of which
/// no node reads the platform's store learns of a change as soon as the others; see
/// `docs/CAPACITY.md`, "Pushes between data centres".
const PUSH_FANOUT: usize = 4;
/// Time for which new updates are collected before they are pushed.
const PUSH_DELAY: Duration = Duration::from_millis(5);

impl Membership {
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

    pub(super) fn schedule_push(&self) {
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
        for peer in self.push_targets() {
            let sequence = self.next_sequence();
            let ping = self.datagram(Purpose::Ping, sequence);
            self.send(ping, peer.peer_address);
        }
    }

    fn push_targets(&self) -> Vec<Member> {
        let state = self.state();
        let mut targets = state.members.random_alive(PUSH_FANOUT, "");
        let remote = state.members.random_remote();
        let is_new = |remote: &Member| targets.iter().all(|target| target.node != remote.node);
        targets.extend(remote.filter(is_new));
        targets
    }
}
