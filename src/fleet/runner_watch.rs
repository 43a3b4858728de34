//! Watches runners closely from a few nodes, and tells the rest what changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::clock::unix_ms;
use crate::fleet::runner::{RunnerClient, RunnerReport};
use crate::fleet::table::{Fleet, RunnerView};
use crate::hash::{Fnv, rendezvous_order};
use crate::id::RunnerId;
use crate::membership::announcement::Announcement;
use crate::membership::gossip::Membership;
use crate::membership::members::Member;

/// Announcements of what a runner reports.
pub(crate) const RUNNER_TOPIC: u32 = 3;

/// Nodes that watch one runner.
const WATCHER_COUNT: usize = 2;
/// How long an announced report is told to new nodes.
const REPORT_TTL: Duration = Duration::from_secs(6 * 3600);
/// Time after which an unchanged report is announced again.
const REPEAT_AFTER: Duration = Duration::from_secs(2 * 3600);

/// The runners that this node watches.
#[derive(Debug)]
pub(crate) struct RunnerWatch {
    fleet: Arc<Fleet>,
    client: RunnerClient,
    membership: Membership,
    announced: BTreeMap<RunnerId, (RunnerReport, Instant)>,
}

impl RunnerWatch {
    /// Makes a watch that has seen nothing.
    pub(crate) fn new(fleet: Arc<Fleet>, client: RunnerClient, membership: Membership) -> Self {
        Self {
            fleet,
            client,
            membership,
            announced: BTreeMap::new(),
        }
    }

    /// Asks each watched runner once, all at the same time.
    pub(crate) async fn look(&mut self, timeout: Duration) {
        let watched = self.watched();
        let asked: Vec<_> = watched
            .into_iter()
            .map(|view| {
                let client = self.client.clone();
                let asking = async move { client.report(view.address, timeout).await };
                (view.runner, tokio::spawn(asking))
            })
            .collect();
        for (runner, answer) in asked {
            match answer.await {
                Ok(Ok(report)) => self.take_in(runner, report),
                _ => self.fleet.unreachable(&runner, Instant::now()),
            }
        }
    }

    fn take_in(&mut self, runner: RunnerId, report: RunnerReport) {
        self.fleet.reported(&runner, &report);
        let known = self.announced.get(&runner);
        let is_known = known
            .is_some_and(|(last, at)| at.elapsed() < REPEAT_AFTER && says_the_same(last, &report));
        if is_known {
            return;
        }
        if known.is_some_and(|(last, _)| last.leaving != report.leaving) {
            log::info!("runner {runner} leaving: {}", report.leaving);
        }
        self.membership.announce(Announcement {
            topic: RUNNER_TOPIC,
            key: runner.clone(),
            version: unix_ms(),
            ttl: REPORT_TTL,
            body: serde_json::to_vec(&report).unwrap_or_default().into(),
        });
        self.announced.insert(runner, (report, Instant::now()));
    }

    fn watched(&self) -> Vec<RunnerView> {
        let alive = self.membership.alive();
        let me = self.membership.me().node;
        let views = self.fleet.views();
        let is_mine = |view: &RunnerView| watchers(view, &alive).any(|node| node == me);
        views.into_iter().filter(is_mine).collect()
    }
}

/// The nodes that watch a runner: some of its data centre, or of any where
/// its data centre has none.
fn watchers<'a>(view: &RunnerView, alive: &'a [Member]) -> impl Iterator<Item = &'a str> {
    let near = |member: &&Member| member.data_centre == view.data_centre;
    let any_near = alive.iter().any(|member| near(&member));
    let eligible = alive.iter().filter(|member| !any_near || near(member));
    let key = Fnv::new().text(&view.runner).finish();
    let order = rendezvous_order(key, eligible.map(|member| member.node.as_str()));
    order.into_iter().take(WATCHER_COUNT)
}

/// Loads change all the time and are not announced.
fn says_the_same(a: &RunnerReport, b: &RunnerReport) -> bool {
    a.incarnation == b.incarnation
        && a.leaving == b.leaving
        && a.slot_count == b.slot_count
        && a.ready == b.ready
}
