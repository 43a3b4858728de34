//! Upstreams that fall silent for about a second and go on where they were.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;

use crate::edge_environment::proxy::Mode;
use crate::history::{Occurrence, UpstreamAt};
use crate::node::SoakEnvironment;

/// Shortest time between two silences of one upstream.
const PAUSE_MIN: Duration = Duration::from_millis(300);
/// Number of silences in a series.
const SERIES_LENGTH: usize = 3;

/// How an upstream is made silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceMode {
    /// It sends and answers nothing, but reads what is sent to it.
    Frozen,
    /// Its process is suspended.
    Suspended,
}

impl SilenceMode {
    fn lengths_ms(self) -> Range<u64> {
        match self {
            Self::Frozen => 800..1_500,
            Self::Suspended => 600..2_000,
        }
    }
}

/// One silence after a pause.
#[derive(Clone, Copy, Debug)]
struct Silence {
    pause: Duration,
    length: Duration,
}

impl Silence {
    fn random(mode: SilenceMode, random: &mut StdRng) -> Self {
        Self {
            pause: Duration::from_millis(random.random_range(300..2_000)),
            length: Duration::from_millis(random.random_range(mode.lengths_ms())),
        }
    }
}

/// The silences that are under way.
#[derive(Default)]
pub struct Silences {
    /// Time from which an upstream may fall silent again.
    free_at: BTreeMap<UpstreamAt, Instant>,
}

impl Silences {
    /// Makes upstreams silent, once or in a series. Leaves out upstreams that are in
    /// another series.
    pub fn start(
        &mut self,
        mode: SilenceMode,
        upstreams: Vec<UpstreamAt>,
        environment: &SoakEnvironment,
        random: &mut StdRng,
    ) {
        let count = if random.random_bool(0.5) {
            1
        } else {
            SERIES_LENGTH
        };
        let mut series: Vec<Silence> = (0..count).map(|_| Silence::random(mode, random)).collect();
        series[0].pause = Duration::ZERO;
        let duration: Duration = series.iter().map(|s| s.pause + s.length).sum();
        let now = Instant::now();
        for upstream in upstreams {
            let free_at = self.free_at.get(&upstream);
            if free_at.is_some_and(|at| *at > now) {
                continue;
            }
            self.free_at.insert(upstream, now + duration + PAUSE_MIN);
            let set_silent = environment.silencer(upstream, mode);
            let series = series.clone();
            tokio::spawn(async move {
                for silence in series {
                    tokio::time::sleep(silence.pause).await;
                    set_silent(true);
                    tokio::time::sleep(silence.length).await;
                    set_silent(false);
                }
            });
        }
    }
}

/// Holds back all traffic to and from an upstream for a while.
pub fn mute_link(upstream: UpstreamAt, environment: &SoakEnvironment, random: &mut StdRng) {
    let link = environment.upstream_link(upstream);
    let length = Duration::from_millis(random.random_range(1_000..2_500));
    let what = Occurrence::LinkMuted(upstream);
    environment.history.record_for(what, length);
    link.set_mode(Mode::Silent);
    tokio::spawn(async move {
        tokio::time::sleep(length).await;
        link.set_mode(Mode::Pass);
    });
}
