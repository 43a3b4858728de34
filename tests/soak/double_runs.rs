//! Checks that no stream runs at two engines for long.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::edge_environment::run_log::Arrival;
use crate::history::{History, Occurrence, UpstreamAt};
use crate::lost::CONTACT_TIME;
use crate::node::SoakEnvironment;

/// Time for which two engines may work on one stream.
const DOUBLE_RUN_MAX: Duration = Duration::from_millis(400);

/// Streams on which two engines worked for too long, though the nodes were in touch
/// and reached the engines. A suspended engine is at work on the runs that it began.
pub fn violations(environment: &SoakEnvironment) -> Vec<String> {
    let mut runs: BTreeMap<String, Vec<(usize, Arrival)>> = BTreeMap::new();
    for (at, (engine, _)) in environment.engines.iter().enumerate() {
        for run in engine.work_log.all() {
            runs.entry(run.call_id.clone()).or_default().push((at, run));
        }
    }
    let violations = runs.into_iter().filter_map(|(call_id, mut runs)| {
        runs.sort_by_key(|(_, run)| run.arrived_at);
        let mut pairs = runs.iter().zip(runs.iter().skip(1));
        let (first, second) = pairs.find(|(first, second)| {
            overlap(&first.1, &second.1) >= DOUBLE_RUN_MAX
                && !is_excused(&environment.history, first, second)
        })?;
        let overlap = overlap(&first.1, &second.1);
        Some(format!(
            "{call_id} ran at engines {} and {} for {overlap:?}",
            first.0, second.0
        ))
    });
    violations.collect()
}

fn overlap(first: &Arrival, second: &Arrival) -> Duration {
    let end = first.ended_at.into_iter().chain(second.ended_at).min();
    let end = end.unwrap_or_else(Instant::now);
    end.saturating_duration_since(second.arrived_at)
}

/// Whether a node or one of the two engines was disturbed shortly before the second
/// run or during it.
fn is_excused(history: &History, first: &(usize, Arrival), second: &(usize, Arrival)) -> bool {
    let from = first.1.arrived_at - CONTACT_TIME;
    let to = second.1.ended_at.unwrap_or_else(Instant::now);
    let of_runs = [first.0, second.0].map(UpstreamAt::Engine);
    let is_disturbed = |what| match what {
        Occurrence::UpstreamDisturbed(at) | Occurrence::LinkMuted(at) => of_runs.contains(&at),
        _ => false,
    };
    let entries = history.entries();
    let mut of_engines = entries.iter().filter(|entry| is_disturbed(entry.what));
    history.has_node_disturbance(from, to) || of_engines.any(|entry| entry.overlaps(from, to))
}
