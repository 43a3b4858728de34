//! Crashes that requests caused, told from node to node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::broadcast::error::RecvError;

use super::beliefs::Beliefs;
use crate::forward::forwarder::Forwarder;
use crate::membership::announcement::Announcement;
use crate::membership::gossip::{Membership, News};

/// Announcements of crashes that a forwarded request was in.
const FORWARDED_CRASH_TOPIC: u32 = 4;
/// How long news of a crash is told to new nodes.
const CRASH_TTL: Duration = Duration::from_secs(120);

/// Tells peers what this node finds out, and takes in what they find out,
/// until the task is dropped.
pub(crate) async fn exchange(membership: Membership, forwarder: Arc<Forwarder<Beliefs>>) {
    let mut news = membership.subscribe();
    let mut own = forwarder.crashes.subscribe();
    loop {
        tokio::select! {
            crash = own.recv() => match crash {
                Ok((request, upstream)) => membership.announce(Announcement {
                    topic: FORWARDED_CRASH_TOPIC,
                    key: format!("{request:016x}/{upstream}"),
                    version: 1,
                    ttl: CRASH_TTL,
                    body: Bytes::new(),
                }),
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
            item = news.recv() => match item {
                Ok(News::Announced(crash)) if crash.topic == FORWARDED_CRASH_TOPIC => {
                    learn(&forwarder, &crash.key);
                }
                Ok(_) | Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
        }
    }
}

fn learn(forwarder: &Forwarder<Beliefs>, key: &str) {
    let parts = key.split_once('/');
    let crash = parts.and_then(|(request, upstream)| {
        let request = u64::from_str_radix(request, 16).ok()?;
        Some((request, upstream.to_owned()))
    });
    match crash {
        Some((request, upstream)) => {
            let mut convictions = forwarder.crashes.convictions();
            convictions.crashed(request, &upstream, Instant::now());
        }
        None => log::error!("event=peer_unreadable what=crash key={key:?}"),
    }
}
