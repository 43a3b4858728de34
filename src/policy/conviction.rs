//! Which requests crash the upstreams that begin to run them.
//!
//! Answers this load: one request is sent again and again, at any node, and
//! takes down each engine that begins it; while engines of whole data centres
//! crash under sound requests as well. A crash speaks against a request only
//! where it came before the request's first event, and a single event or
//! answer speaks for it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::fleet::poison::Fingerprint;
use crate::forward::upstream::UpstreamId;

/// Upstreams that a request may take down.
const CRASHES_MAX: usize = 3;
/// How long a crash is held against a request.
const MEMORY: Duration = Duration::from_secs(120);

/// What is held against one request.
#[derive(Clone, Debug)]
struct Case {
    crashed: BTreeSet<UpstreamId>,
    last: Instant,
}

/// What one node holds against requests.
#[derive(Debug, Default)]
pub(crate) struct Convictions {
    cases: BTreeMap<Fingerprint, Case>,
}

impl Convictions {
    /// Notes that an upstream crashed as it began a request; true when this
    /// crash was not known.
    pub(crate) fn crashed(
        &mut self,
        request: Fingerprint,
        upstream: &UpstreamId,
        now: Instant,
    ) -> bool {
        self.cases
            .retain(|_, case| now.saturating_duration_since(case.last) < MEMORY);
        let case = self.cases.entry(request).or_insert_with(|| Case {
            crashed: BTreeSet::new(),
            last: now,
        });
        case.last = now;
        case.crashed.insert(upstream.clone())
    }

    /// Notes that an upstream ran a request without crashing.
    pub(crate) fn ran(&mut self, request: Fingerprint) {
        if !self.is_convicted(request) {
            self.cases.remove(&request);
        }
    }

    /// Whether a request may not run any more.
    pub(crate) fn is_convicted(&self, request: Fingerprint) -> bool {
        let case = self.cases.get(&request);
        case.is_some_and(|case| case.crashed.len() >= CRASHES_MAX)
    }

    /// Whether nothing is held against any request.
    pub(crate) fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }
}
