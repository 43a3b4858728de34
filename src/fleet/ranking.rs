//! The order in which runners are tried for a request.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::runner_state::RunnerState;
use crate::hash::Fnv;
use crate::id::{Incarnation, RunnerId};

/// Ratio of a runner's load per slot to the mean from which on the runner's
/// prompts go to the next runner in the rendezvous order.
const LOAD_BOUND: f64 = 1.25;
/// Number of bytes of a prompt that determine its preferred runner.
const PREFIX_MAX_BYTES: usize = 256;

/// A runner that can serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) runner: RunnerId,
    pub(crate) address: SocketAddr,
    /// Last known incarnation; zero if none is known.
    pub(crate) incarnation: Incarnation,
    /// Whether the runner reported its state to this node within
    /// [`RouteQuery::report_max_age`]. If not, the node has to ask whether the
    /// runner is leaving before it opens a stream.
    pub(crate) has_recent_report: bool,
}

/// Criteria by which the runner for a request is chosen.
#[derive(Clone, Debug)]
pub(crate) struct RouteQuery<'a> {
    pub(crate) model: &'a str,
    /// Acceptable versions of the model, the preferred one first.
    pub(crate) versions: Vec<&'a str>,
    /// Hash of the prompt's prefix; all nodes derive the same order of runners
    /// from it.
    pub(crate) prefix_hash: u64,
    /// Runners to exclude, because the request already failed there.
    pub(crate) avoid: &'a BTreeSet<RunnerId>,
    /// Whether the request is suspected of crashing runners. A suspect goes to
    /// the runner with the fewest other suspects.
    pub(crate) is_suspect: bool,
    /// Time for which a report that a runner is not leaving stays valid.
    pub(crate) report_max_age: Duration,
}

/// Hash of a model and the first bytes of a prompt. Prompts with the same
/// prefix prefer the same runner, which may have the prefix in its KV cache.
pub(crate) fn prefix_hash(model: &str, prompt: &[u8]) -> u64 {
    let prefix = &prompt[..prompt.len().min(PREFIX_MAX_BYTES)];
    Fnv::new().text(model).bytes(prefix).finish()
}

/// Keeps the rendezvous order, but moves runners whose load per slot reaches
/// `LOAD_BOUND` times the mean to the end, the least loaded of them first.
pub(super) fn within_load_bound<'a>(
    order: Vec<&'a str>,
    states: &BTreeMap<&str, &RunnerState>,
) -> Vec<&'a str> {
    let load: u32 = states.values().map(|state| state.load_count()).sum();
    let slots: u32 = states.values().map(|state| state.slot_count).sum();
    let mean = f64::from(load + 1) / f64::from(slots.max(1));
    let is_full = |name: &str| {
        let state = states[name];
        let bound = (mean * LOAD_BOUND * f64::from(state.slot_count)).ceil();
        f64::from(state.load_count()) >= bound.max(1.0)
    };
    let (mut sorted, mut full): (Vec<&str>, Vec<&str>) =
        order.into_iter().partition(|name| !is_full(name));
    full.sort_by_key(|name| states[name].load_count());
    sorted.append(&mut full);
    sorted
}

/// Sorts runners by the number of suspects that this node has in flight at
/// each, the fewest first, so that a crash points at few of them.
pub(super) fn by_suspect_count<'a>(
    order: Vec<&'a str>,
    states: &BTreeMap<&str, &RunnerState>,
) -> Vec<&'a str> {
    let mut sorted = order;
    sorted.sort_by_key(|name| states[name].suspect_count);
    sorted
}
