//! Upstreams that turn everything away and ask each node for rest, and the check that nodes
//! keep it.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;

use crate::history::{Occurrence, UpstreamAt};
use crate::node::SoakEnvironment;

/// Time after which all rests of one fault have ended.
const DURATION: Duration = Duration::from_secs(8);
const RESTS_S: [&str; 4] = ["0.8", "2", "3", "4.5"];
/// Requests that may reach an upstream from one node while it rests.
const ALLOWED: usize = 2;

struct Asked {
    upstream: UpstreamAt,
    since: Instant,
}

#[derive(Default)]
pub struct Rests {
    asked: Vec<Asked>,
    violations: Vec<String>,
}

impl Rests {
    /// Has an upstream turn everything away for a while, unless it did lately.
    pub fn start(
        &mut self,
        upstream: UpstreamAt,
        environment: &SoakEnvironment,
        random: &mut StdRng,
    ) {
        if self.asked.iter().any(|asked| asked.upstream == upstream) {
            return;
        }
        let refusing_time = Duration::from_millis(random.random_range(300..3_000));
        let rest_s = RESTS_S[random.random_range(0..RESTS_S.len())];
        let rest = environment.asked_rest(upstream);
        rest.refuse_all(refusing_time, rest_s);
        let since = Instant::now();
        self.asked.push(Asked { upstream, since });
    }

    /// Checks the rests that have lasted for their time.
    pub fn check_ended(&mut self, environment: &SoakEnvironment) {
        self.check(environment, |asked| asked.since.elapsed() >= DURATION);
    }

    /// Checks all rests.
    pub fn take_violations(&mut self, environment: &SoakEnvironment) -> Vec<String> {
        self.check(environment, |_| true);
        std::mem::take(&mut self.violations)
    }

    fn check(&mut self, environment: &SoakEnvironment, is_over: impl Fn(&Asked) -> bool) {
        let ended = self.asked.extract_if(.., |asked| is_over(asked));
        let broken = ended.filter_map(|asked| violation(&asked, environment));
        self.violations.extend(broken);
    }
}

/// A node that was killed, paused, stopped or cut meanwhile excuses what is too much.
fn violation(asked: &Asked, environment: &SoakEnvironment) -> Option<String> {
    let history = &environment.history;
    if history.has_node_disturbance(asked.since, Instant::now()) {
        return None;
    }
    let rest = environment.asked_rest(asked.upstream);
    let (refused_at, arrivals, had_left) = rest.worst_rest(asked.since)?;
    let entries = history.entries();
    let meanwhile = entries.iter().filter(|entry| {
        entry.what == Occurrence::UpstreamDisturbed(asked.upstream)
            && entry.overlaps(asked.since, Instant::now())
    });
    (arrivals.len() > ALLOWED).then(|| {
        let after: Vec<Duration> = arrivals.iter().map(|at| *at - refused_at).collect();
        format!(
            "{:?} asked a node for rest and got requests from it after {after:?}; \
             node had left {had_left}; {} of its refusals unread; disturbed {} times meanwhile",
            asked.upstream,
            rest.unread_count(asked.since),
            meanwhile.count()
        )
    })
}
