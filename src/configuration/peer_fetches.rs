//! Fetches of one document from the peers that announce it, so that a peer that stands
//! still delays neither a fetch from another one nor the events of other documents.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

/// Time after which a second peer is asked although the first has not replied.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of peers that are asked at once.
const RUNNING_MAX: usize = 4;

/// Ends with the peer that was asked.
type Fetch<'a> = Pin<Box<dyn Future<Output = SocketAddr> + Send + 'a>>;

/// The fetches of one document under way, and the last announcement that waits for
/// its turn. `V` is the version that was announced.
pub(crate) struct PeerFetches<'a, V> {
    running: FuturesUnordered<Fetch<'a>>,
    began_at: BTreeMap<SocketAddr, Instant>,
    waiting: Option<(V, SocketAddr)>,
}

impl<'a, V> PeerFetches<'a, V> {
    pub(crate) fn new() -> Self {
        Self {
            running: FuturesUnordered::new(),
            began_at: BTreeMap::new(),
            waiting: None,
        }
    }

    /// Records that a peer announced a version. An earlier announcement that waits is
    /// dropped, since the last one names a version as new.
    pub(crate) fn announce(&mut self, version: V, peer: SocketAddr) {
        self.waiting = Some((version, peer));
    }

    /// Begins to fetch from a peer.
    pub(crate) fn begin(&mut self, peer: SocketAddr, fetch: impl Future + Send + 'a) {
        self.began_at.insert(peer, Instant::now());
        self.running.push(Box::pin(async move {
            fetch.await;
            peer
        }));
    }

    /// Runs the fetches until an announcement is due, and returns it. Dropping the
    /// future before it returns loses nothing.
    pub(crate) async fn next_due(&mut self) -> (V, SocketAddr) {
        loop {
            if self.is_due(Instant::now())
                && let Some(due) = self.waiting.take()
            {
                return due;
            }
            tokio::select! {
                Some(peer) = self.running.next() => {
                    self.began_at.remove(&peer);
                }
                () = tokio::time::sleep(HEDGE_DELAY), if self.waiting.is_some() => {}
                else => pending().await,
            }
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let Some((_, peer)) = &self.waiting else {
            return false;
        };
        let is_late = |at: &Instant| now.saturating_duration_since(*at) >= HEDGE_DELAY;
        self.began_at.values().all(is_late)
            && self.began_at.len() < RUNNING_MAX
            && !self.began_at.contains_key(peer)
    }
}
