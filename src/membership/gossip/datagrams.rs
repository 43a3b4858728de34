//! Datagrams: how they are filled, sent, received and handled.

use std::net::SocketAddr;
use std::time::Instant;

use prost::Message;

use crate::membership::gossip::Membership;
use crate::membership::gossip::updates::Source;
use crate::membership::message::{Datagram, Purpose};
use crate::membership::state::document_versions;
use crate::membership::update_queue::Update;

/// Intended maximum size of a datagram, below the smallest usual path MTU; not
/// enforced.
const DATAGRAM_MAX_BYTES: usize = 1200;
/// Bytes of a datagram that piggybacked updates may take. The rest is left for
/// the sender's record, document versions and hashes.
const UPDATES_MAX_BYTES: usize = 800;

impl Membership {
    pub(super) async fn receive_datagrams(&self) {
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

    pub(super) fn datagram(&self, purpose: Purpose, sequence: u64) -> Datagram {
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
        let now = Instant::now();
        let batch = state.updates.take_batch(node_count, UPDATES_MAX_BYTES, now);
        for update in batch {
            match update {
                Update::Member(record) => datagram.members.push(record),
                Update::Announcement(record) => datagram.announcements.push(record),
            }
        }
        datagram
    }

    pub(super) fn send(&self, mut datagram: Datagram, to: SocketAddr) {
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

    pub(super) fn next_sequence(&self) -> u64 {
        let mut state = self.state();
        state.last_sequence += 1;
        state.last_sequence
    }
}
