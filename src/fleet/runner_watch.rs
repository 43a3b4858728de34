//! Polls runners for reports of their state. Only a few nodes, the runner's
//! watchers, poll a given runner; they announce its changes to all other nodes.

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

/// Topic of the announcements of runner reports.
pub(crate) const RUNNER_TOPIC: u32 = 3;

/// Number of nodes that poll one runner.
const WATCHERS_PER_RUNNER: usize = 2;
/// Lifetime of an announced report, within which nodes that join receive it
/// too.
const REPORT_TTL: Duration = Duration::from_secs(6 * 3600);
/// Time after which an unchanged report is announced again, well before the
/// earlier announcement expires.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(2 * 3600);

/// Polls the runners that this node watches.
#[derive(Debug)]
pub(crate) struct RunnerWatch {
    fleet: Arc<Fleet>,
    client: RunnerClient,
    membership: Membership,
    /// The last report of each runner that this node announced, and when.
    announced: BTreeMap<RunnerId, (RunnerReport, Instant)>,
}

impl RunnerWatch {
    /// Creates a watch that has announced no report yet.
    pub(crate) fn new(fleet: Arc<Fleet>, client: RunnerClient, membership: Membership) -> Self {
        Self {
            fleet,
            client,
            membership,
            announced: BTreeMap::new(),
        }
    }

    /// Requests reports from all watched runners concurrently. Records and, if
    /// needed, announces each report; records runners that give none as
    /// unreachable.
    pub(crate) async fn poll(&mut self, timeout: Duration) {
        let watched = self.watched();
        let requests: Vec<_> = watched
            .into_iter()
            .map(|view| {
                let client = self.client.clone();
                let request = async move { client.report(view.address, timeout).await };
                (view.runner, tokio::spawn(request))
            })
            .collect();
        for (runner, result) in requests {
            match result.await {
                Ok(Ok(report)) => self.apply_report(runner, report),
                _ => self.fleet.mark_unreachable(&runner, Instant::now()),
            }
        }
    }

    fn apply_report(&mut self, runner: RunnerId, report: RunnerReport) {
        self.fleet.apply_report(&runner, &report);
        let announced = self.announced.get(&runner);
        let is_up_to_date = announced.is_some_and(|(last, at)| {
            at.elapsed() < REANNOUNCE_INTERVAL && is_equal_except_load(last, &report)
        });
        if is_up_to_date {
            return;
        }
        if announced.is_some_and(|(last, _)| last.leaving != report.leaving) {
            log::info!(
                "runner {runner} reported a change of its leaving state to {}",
                report.leaving
            );
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
        let own_name = self.membership.me().node;
        let views = self.fleet.views();
        let is_assigned = |view: &RunnerView| watchers(view, &alive).any(|node| node == own_name);
        views.into_iter().filter(is_assigned).collect()
    }
}

/// Names of the nodes that watch a runner: nodes in its data centre, or in any
/// data centre if its own has no live node.
fn watchers<'a>(view: &RunnerView, alive: &'a [Member]) -> impl Iterator<Item = &'a str> {
    let is_local = |member: &&Member| member.data_centre == view.data_centre;
    let has_local = alive.iter().any(|member| is_local(&member));
    let eligible = alive.iter().filter(|member| !has_local || is_local(member));
    let key = Fnv::new().text(&view.runner).finish();
    let order = rendezvous_order(key, eligible.map(|member| member.node.as_str()));
    order.into_iter().take(WATCHERS_PER_RUNNER)
}

/// Compares two reports by all that is worth an announcement. Stream counts are
/// left out because they change too often.
fn is_equal_except_load(a: &RunnerReport, b: &RunnerReport) -> bool {
    a.incarnation == b.incarnation
        && a.leaving == b.leaving
        && a.slot_count == b.slot_count
        && a.ready == b.ready
}
