//! Asks at an address which of the upstreams that register with it is there.
//!
//! Calls find that out by themselves, since they name the upstream that they are meant for.
//! It is asked where a conclusion must not rest on an entry alone, and where no call has
//! found it out for longer than the entry of an ended upstream stays in the store: by one
//! request a second of each node at most, see `docs/incidents/claimed-addresses.md`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use super::directory::LaterStart;
use super::forwarder::{Forwarder, NodeContext};
use super::probe::{control_request, send_control_request};
use super::upstream::{Upstream, UpstreamEntry};
use crate::id::UpstreamId;
use crate::observe::metrics::Counter;
use crate::platform::engine::{REPORT_PATH, read_report};
use crate::policy::address_claim::DISPUTE_MAX;

/// Longest time that the answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which one of the addresses that are claimed for long is asked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What an answer says of the process that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Answerer {
    /// Its start, in Unix milliseconds.
    Started(u64),
    /// Its id.
    Named(UpstreamId),
}

impl Answerer {
    fn is(&self, entry: &UpstreamEntry) -> bool {
        match self {
            Self::Started(born_unix_ms) => *born_unix_ms == entry.born_unix_ms,
            Self::Named(id) => *id == entry.id,
        }
    }
}

impl<N: NodeContext> Forwarder<N> {
    /// Asks at addresses that several upstreams have registered with for long. Never returns;
    /// it ends with the runtime.
    pub(crate) async fn watch_address_conflicts(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let disputed = self.directory.disputed_for(DISPUTE_MAX, Instant::now());
            let chosen = disputed.choose(&mut rand::rng()).cloned();
            if let Some(upstream) = &chosen {
                self.settle_address(upstream).await;
            }
        }
    }

    /// Whether a later start of the entry's upstream is known. One that an entry of another id
    /// alone states is asked for, and believed if there is nothing that could be asked. False
    /// while the upstream was asked too lately.
    pub(super) async fn has_later_start(&self, upstream: &Arc<Upstream>) -> bool {
        let entry = &upstream.entry;
        let claimant = match self.directory.later_start(entry) {
            LaterStart::None => return false,
            LaterStart::Known => return true,
            LaterStart::Claimed(claimant) => claimant,
        };
        if self.probe_path(upstream).is_none() {
            return upstream
                .address_claim()
                .is_replaced_by(&claimant.address_claim());
        }
        if !upstream.begin_probe(Instant::now()) {
            return false;
        }
        let answerer = self.settle_address(upstream).await;
        answerer.is_some_and(|answerer| answerer.is(&claimant.entry))
    }

    /// Asks at the address of the upstream, and records which of those that register with it
    /// is there.
    async fn settle_address(&self, upstream: &Arc<Upstream>) -> Option<Answerer> {
        let asked_at = Instant::now();
        let answerer = self.ask(upstream).await?;
        let address = upstream.entry.address;
        let is_answerer = |entry: &UpstreamEntry| answerer.is(entry);
        self.directory
            .record_answer_at(address, is_answerer, asked_at);
        Some(answerer)
    }

    /// Asks what answers at the address of the upstream: its report if it is an engine, else its
    /// health path. `None` if there is nothing that can be asked now, or no answer tells.
    async fn ask(&self, upstream: &Arc<Upstream>) -> Option<Answerer> {
        let path = self.probe_path(upstream)?;
        if upstream.counts_probes() {
            return None;
        }
        self.metrics.add(Counter::AddressChecks, 1);
        let sent = send_control_request(upstream, control_request(&path)?);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, sent).await.ok()??;
        if path != REPORT_PATH {
            return answer.upstream.map(Answerer::Named);
        }
        let report = read_report(&answer.body)?;
        (report.born_unix_ms != 0).then_some(Answerer::Started(report.born_unix_ms))
    }
}
