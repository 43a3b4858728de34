//! Upstreams that name a limit on the requests of all nodes together, and the check
//! that nodes keep it.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;

use crate::history::UpstreamAt;
use crate::node::SoakEnvironment;

/// Time after which all nodes know what one of them saw.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor of the limit that may reach an upstream in a window.
const TOLERANCE: f64 = 1.5;
/// Number of requests that may reach an upstream in a window beside those.
const SLACK: f64 = 5.0;
/// How long an upstream names its limit.
const DURATION: Duration = Duration::from_secs(12);
const LIMITS_PER_S: [f64; 4] = [0.0, 0.5, 2.0, 6.0];

struct Named {
    upstream: UpstreamAt,
    limit_per_s: f64,
    since: Instant,
}

#[derive(Default)]
pub struct NamedLimits {
    named: Vec<Named>,
    violations: Vec<String>,
}

impl NamedLimits {
    /// Has an upstream name a limit, unless it does.
    pub fn start(
        &mut self,
        upstream: UpstreamAt,
        environment: &SoakEnvironment,
        random: &mut StdRng,
    ) {
        if self.named.iter().any(|named| named.upstream == upstream) {
            return;
        }
        let limit_per_s = LIMITS_PER_S[random.random_range(0..LIMITS_PER_S.len())];
        let text = limit_per_s.to_string();
        environment.named_limit(upstream).set(Some(&text));
        self.named.push(Named {
            upstream,
            limit_per_s,
            since: Instant::now(),
        });
    }

    /// Checks and ends the limits that have lasted for their time, or all.
    pub fn end(&mut self, environment: &SoakEnvironment, ends_all: bool) {
        let is_over = |named: &mut Named| ends_all || named.since.elapsed() >= DURATION;
        let ended: Vec<Named> = self.named.extract_if(.., is_over).collect();
        for named in ended {
            environment.named_limit(named.upstream).set(None);
            self.violations.extend(violation(&named, environment));
        }
    }

    pub fn take_violations(&mut self) -> Vec<String> {
        std::mem::take(&mut self.violations)
    }
}

/// A node that was killed, paused or stopped meanwhile excuses what is too much.
fn violation(named: &Named, environment: &SoakEnvironment) -> Option<String> {
    if environment
        .history
        .has_node_disturbance(named.since, Instant::now())
    {
        return None;
    }
    let limit = environment.named_limit(named.upstream);
    let most = limit.arrivals_max(named.since, CONTACT_TIME, WINDOW);
    let allowed = TOLERANCE * named.limit_per_s * WINDOW.as_secs_f64() + SLACK;
    (most as f64 > allowed).then(|| {
        format!(
            "{:?} named {} a second and got {most} requests in a window, {allowed} allowed",
            named.upstream, named.limit_per_s
        )
    })
}
