//! Requests with a part of their prompts that crashes engines, and the check that few
//! of them reach engines once all nodes can know.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;

use crate::edge_environment::STREAM_PATH;
use crate::edge_environment::engine::CRASHING_PART;
use crate::history::{Occurrence, UpstreamAt};
use crate::node::SoakEnvironment;

/// Time after which all nodes know what one of them saw.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes under a part from which the bound counts.
const COUNTED_CRASHES: usize = 5;
const LATE_ARRIVALS_MAX: usize = 3;
/// Number of requests with one part.
const REQUEST_COUNT: usize = 60;
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);
/// How long engines are disturbed from the first request on.
const DISTURBED_TIME: Duration = Duration::from_secs(10);

/// A part that was sent, and when.
struct SentPart {
    name: String,
    began_at: Instant,
}

#[derive(Default)]
pub struct CrashingParts {
    sent: Vec<SentPart>,
}

impl CrashingParts {
    /// Sends requests with a new crashing part to random nodes, beside a part that
    /// others share.
    pub fn start(&mut self, environment: &SoakEnvironment, random: &mut StdRng) {
        for at in 0..environment.engines.len() {
            let what = Occurrence::UpstreamDisturbed(UpstreamAt::Engine(at));
            environment.history.record_for(what, DISTURBED_TIME);
        }
        let events = random.random_range(0..2);
        let name = format!("{CRASHING_PART}{events}x{}", self.sent.len());
        let nodes: Vec<_> = environment.nodes.iter().map(|n| n.caller.clone()).collect();
        let first_node = random.random_range(0..nodes.len());
        let part = name.clone();
        tokio::spawn(async move {
            for number in 0..REQUEST_COUNT {
                let node = nodes[(first_node + number) % nodes.len()].clone();
                let headers = format!(
                    "x-zinniawing-prefix-hash: aa:200,{part}:300,f{number:x}:300\r\n\
                     x-zinniawing-deadline-ms: 8000\r\nx-zinniawing-token-usage: 800,20\r\n"
                );
                let path = format!("{STREAM_PATH}{number}");
                tokio::spawn(async move { node.call("POST", &path, &headers).await });
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
        });
        self.sent.push(SentPart {
            name,
            began_at: Instant::now(),
        });
    }

    /// A node that was killed, paused or stopped meanwhile excuses late arrivals.
    pub fn violations(&self, environment: &SoakEnvironment) -> Vec<String> {
        let violations = self.sent.iter().filter_map(|sent| {
            let until = sent.began_at + DISTURBED_TIME;
            if environment
                .history
                .has_node_disturbance(sent.began_at, until)
            {
                return None;
            }
            let late_count = late_arrivals(environment, &sent.name);
            (late_count > LATE_ARRIVALS_MAX)
                .then(|| format!("{late_count} late requests with the part {}", sent.name))
        });
        violations.collect()
    }
}

fn late_arrivals(environment: &SoakEnvironment, part: &str) -> usize {
    let engines = environment.engines.iter().map(|(engine, _)| engine);
    let crashes = engines
        .clone()
        .flat_map(|engine| engine.part_crashes_of(part));
    let mut crashes: Vec<Instant> = crashes.collect();
    crashes.sort();
    let Some(counted) = crashes.get(COUNTED_CRASHES - 1) else {
        return 0;
    };
    let runs = engines.flat_map(|engine| engine.runs());
    let has_part = |parts: &str| parts.split(',').any(|p| p.split(':').next() == Some(part));
    let late = runs.filter(|run| {
        let parts = run.request.header("x-zinniawing-prefix-hash");
        parts.is_some_and(has_part) && run.started_at > *counted + CONTACT_TIME
    });
    late.count()
}
