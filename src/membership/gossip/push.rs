//! Pushes of new updates to some random peers, which pass them on, without waiting
//! for the next probe.

use std::time::Duration;

use crate::membership::gossip::Membership;
use crate::membership::message::{Datagram, MemberState, Purpose};

/// Peers to which new updates are pushed without waiting for the next probe.
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
        let peers = self.state().members.random_alive(PUSH_FANOUT, "");
        for peer in peers {
            let sequence = self.next_sequence();
            let ping = self.datagram(Purpose::Ping, sequence);
            self.send(ping, peer.peer_address);
        }
    }
}
