//! The control parts of many nodes in one process, over loopback.
//!
//! Counters come from the very code that runs in a node; the slopes that
//! `docs/CAPACITY.md` uses are fitted to these tables.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::clock::unix_ms;
use crate::membership::announcement::Announcement;
use crate::membership::control_traffic::ControlTraffic;
use crate::membership::gossip::{Membership, MembershipSettings};
use crate::membership::link_faults::LinkFaults;
use crate::membership::members::Member;
use crate::observe::process_usage::ProcessUsage;
use crate::observe::report::Report;
use crate::observe::sample::Sample;

/// Fleets that are measured; the last is the size of the users' target.
const NODE_COUNTS: [usize; 5] = [24, 48, 96, 192, 390];
/// Fleets over which announcements are spread.
const SPREAD_COUNTS: [usize; 3] = [24, 96, 390];
/// Nodes of one data centre at the target.
const NODES_PER_CENTRE: usize = 26;
/// Time between probes, as in the example settings.
const INTERVAL: Duration = Duration::from_secs(1);
/// How long a fleet is given to find itself.
const SETTLE_MAX: Duration = Duration::from_secs(60);
/// How long a settled fleet is measured.
const MEASURED: Duration = Duration::from_secs(15);
/// Announcements spread at each size and loss.
const ANNOUNCEMENTS: u64 = 6;
/// Loss of datagrams, in a thousand.
const LOSSES_PER_MILLE: [u32; 3] = [0, 50, 300];
/// Longest wait for an announcement: the users' bound on a configuration.
const SPREAD_MAX: Duration = Duration::from_secs(7);
const POLL: Duration = Duration::from_millis(1);
/// Topic and size of what is spread.
const TOPIC: u32 = 90;
const BODY_BYTES: usize = 64;
const PORT: u16 = 6000;

struct ControlFleet {
    nodes: Vec<Membership>,
    links: Vec<LinkFaults>,
}

impl ControlFleet {
    async fn start(node_count: usize, block: u8) -> io::Result<Self> {
        let address = |number: usize| {
            let ip = Ipv4Addr::new(127, 77, block, 1 + (number / 200) as u8);
            SocketAddr::new(IpAddr::V4(ip), PORT + (number % 200) as u16)
        };
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
        let mut fleet = Self {
            nodes: Vec::new(),
            links: Vec::new(),
        };
        for number in 0..node_count {
            let links = LinkFaults::default();
            let settings = MembershipSettings {
                me: Member {
                    node: format!("node-{number:03}"),
                    incarnation: unix_ms(),
                    peer_address: address(number),
                    caller_address: address(number),
                    data_centre: format!("region-dc-{:02}", number / NODES_PER_CENTRE),
                    leaving: false,
                    demand_count: 0,
                },
                seeds: seeds.clone(),
                interval: INTERVAL,
                faults: links.clone(),
            };
            fleet.nodes.push(Membership::start(settings).await?);
            fleet.links.push(links);
        }
        Ok(fleet)
    }

    async fn stop(self) {
        self.nodes.iter().for_each(Membership::stop);
        tokio::time::sleep(INTERVAL).await;
    }

    async fn settle(&self) -> Option<Duration> {
        let began_at = Instant::now();
        while began_at.elapsed() < SETTLE_MAX {
            let count = self.nodes.len();
            if self.nodes.iter().all(|node| node.alive_count() == count) {
                return Some(began_at.elapsed());
            }
            tokio::time::sleep(INTERVAL / 20).await;
        }
        None
    }

    fn traffic(&self) -> ControlTraffic {
        let mut total = ControlTraffic::default();
        for node in &self.nodes {
            let traffic = node.traffic();
            total.sent_count += traffic.sent_count;
            total.sent_bytes += traffic.sent_bytes;
            total.received_count += traffic.received_count;
            total.received_bytes += traffic.received_bytes;
            total.suspicion_count += traffic.suspicion_count;
        }
        total
    }
}

/// Measures what a settled fleet costs each of its nodes.
pub(crate) async fn measure_control() -> io::Result<Report> {
    let columns = [
        "nodes",
        "settled_ms",
        "sent_per_s",
        "sent_B_per_s",
        "received_B_per_s",
        "cpu_%_of_core",
        "memory_KB",
        "suspicions",
    ];
    let mut report = Report::new("control per node, settled fleet", &columns);
    for (block, node_count) in NODE_COUNTS.into_iter().enumerate() {
        let memory_before = ProcessUsage::now().memory_bytes;
        let fleet = ControlFleet::start(node_count, block as u8).await?;
        let settled = fleet.settle().await;
        // Riders of the start are still under way just after it.
        tokio::time::sleep(MEASURED).await;
        let usage_before = ProcessUsage::now();
        let before = fleet.traffic();
        tokio::time::sleep(MEASURED).await;
        let usage = ProcessUsage::now();
        let after = fleet.traffic();
        let nodes = node_count as f64;
        let per_s = |a: u64, b: u64| (a - b) as f64 / nodes / MEASURED.as_secs_f64();
        let cpu = (usage.cpu - usage_before.cpu).as_secs_f64() / MEASURED.as_secs_f64();
        let memory = usage.memory_bytes.saturating_sub(memory_before) as f64;
        report.push([
            node_count.to_string(),
            settled.map_or("-".into(), |s| s.as_millis().to_string()),
            format!("{:.2}", per_s(after.sent_count, before.sent_count)),
            format!("{:.0}", per_s(after.sent_bytes, before.sent_bytes)),
            format!("{:.0}", per_s(after.received_bytes, before.received_bytes)),
            format!("{:.4}", cpu / nodes * 100.0),
            format!("{:.0}", memory / nodes / 1024.0),
            (after.suspicion_count - before.suspicion_count).to_string(),
        ]);
        fleet.stop().await;
    }
    Ok(report)
}

/// Measures how long an announcement takes to reach every node.
pub(crate) async fn measure_spread() -> io::Result<Report> {
    let columns = [
        "nodes",
        "loss_%",
        "announcements",
        "p50_ms",
        "p99_ms",
        "max_ms",
        "not_everywhere",
        "sent_B_per_node_each",
    ];
    let mut report = Report::new("time until an announcement is everywhere", &columns);
    for (block, node_count) in SPREAD_COUNTS.into_iter().enumerate() {
        let fleet = ControlFleet::start(node_count, 100 + block as u8).await?;
        fleet.settle().await;
        for lost_per_mille in LOSSES_PER_MILLE {
            fleet
                .links
                .iter()
                .for_each(|links| links.lose(lost_per_mille));
            report.push(spread(&fleet, lost_per_mille).await);
        }
        fleet.stop().await;
    }
    Ok(report)
}

async fn spread(fleet: &ControlFleet, lost_per_mille: u32) -> Vec<String> {
    let mut times = Sample::new();
    let mut missed = 0;
    let before = fleet.traffic();
    for number in 0..ANNOUNCEMENTS {
        let origin = &fleet.nodes[number as usize * 7 % fleet.nodes.len()];
        let key = format!("{lost_per_mille}-{number}");
        let announced_at = Instant::now();
        origin.announce(Announcement {
            topic: TOPIC,
            key: key.clone(),
            version: 1,
            ttl: Duration::from_secs(600),
            body: Bytes::from(vec![b'x'; BODY_BYTES]),
        });
        let knows = |node: &Membership| node.announcements(TOPIC).iter().any(|a| a.key == key);
        let mut waiting: Vec<&Membership> = fleet.nodes.iter().collect();
        while !waiting.is_empty() && announced_at.elapsed() < SPREAD_MAX {
            waiting.retain(|node| !knows(node));
            tokio::time::sleep(POLL).await;
        }
        missed += usize::from(!waiting.is_empty());
        times.add_ms(announced_at.elapsed().as_secs_f64() * 1e3);
    }
    let sent_bytes = (fleet.traffic().sent_bytes - before.sent_bytes) as f64;
    let each = sent_bytes / fleet.nodes.len() as f64 / ANNOUNCEMENTS as f64;
    vec![
        fleet.nodes.len().to_string(),
        (lost_per_mille / 10).to_string(),
        ANNOUNCEMENTS.to_string(),
        times.quantile(0.5),
        times.quantile(0.99),
        times.max(),
        missed.to_string(),
        format!("{each:.0}"),
    ]
}
