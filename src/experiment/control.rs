//! Cost of the membership protocol, by which nodes know each other, and the time
//! that its announcements take to reach all nodes, measured with many nodes in
//! one process over loopback.
//!
//! A cluster has settled once every node sees all nodes alive. Traffic is counted
//! by the protocol code that runs in real nodes. The slopes in
//! `docs/CAPACITY.md`, cost per node against number of nodes, are fitted to
//! these tables.

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

/// Numbers of nodes that are measured. The last is the target scale, the size
/// of deployment that users aim at.
const NODE_COUNTS: [usize; 5] = [24, 48, 96, 192, 390];
/// Numbers of nodes among which announcements are spread.
const SPREAD_NODE_COUNTS: [usize; 3] = [24, 96, 390];
/// Nodes per data centre at the target scale.
const NODES_PER_DATA_CENTRE: usize = 26;
/// Interval of membership probes, as in the example settings.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for a cluster to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which the cost of a settled cluster is measured.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(15);
/// Announcements per row.
const ANNOUNCEMENT_COUNT: u64 = 6;
/// Datagrams lost between nodes, per thousand.
const LOSSES_PER_MILLE: [u32; 3] = [0, 50, 300];
/// Time after which an announcement counts as not delivered everywhere. It is
/// the time within which users require a new configuration on every node; new
/// configurations spread by announcements.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(7);
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Topic of the announcements.
const TOPIC: u32 = 90;
/// Size of the body of an announcement.
const BODY_BYTES: usize = 64;
const FIRST_PORT: u16 = 6000;

/// Nodes that run the membership protocol only, and the faults that can be
/// injected on the links of each node.
struct MembershipCluster {
    nodes: Vec<Membership>,
    links: Vec<LinkFaults>,
}

impl MembershipCluster {
    /// Starts the nodes, up to 200 at each loopback address. `block` is the third
    /// byte of these addresses and has to differ between clusters.
    async fn start(node_count: usize, block: u8) -> io::Result<Self> {
        let address = |number: usize| {
            let ip = Ipv4Addr::new(127, 77, block, 1 + (number / 200) as u8);
            SocketAddr::new(IpAddr::V4(ip), FIRST_PORT + (number % 200) as u16)
        };
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
        let mut cluster = Self {
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
                    relay_port: 0,
                    data_centre: format!("region-dc-{:02}", number / NODES_PER_DATA_CENTRE),
                    leaving: false,
                    demand_count: 0,
                },
                seeds: seeds.clone(),
                interval: PROBE_INTERVAL,
                faults: links.clone(),
            };
            cluster.nodes.push(Membership::start(settings).await?);
            cluster.links.push(links);
        }
        Ok(cluster)
    }

    async fn stop(self) {
        self.nodes.iter().for_each(Membership::stop);
        tokio::time::sleep(PROBE_INTERVAL).await;
    }

    /// Waits until every node sees all nodes alive, and returns how long that
    /// took, or `None` at the time-out.
    async fn wait_until_settled(&self) -> Option<Duration> {
        let began_at = Instant::now();
        while began_at.elapsed() < SETTLE_TIMEOUT {
            let count = self.nodes.len();
            if self.nodes.iter().all(|node| node.alive_count() == count) {
                return Some(began_at.elapsed());
            }
            tokio::time::sleep(PROBE_INTERVAL / 20).await;
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

/// Measures the cost per node of the membership protocol in a settled cluster.
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
        let cluster = MembershipCluster::start(node_count, block as u8).await?;
        let settled_after = cluster.wait_until_settled().await;
        // After the cluster has settled, messages still carry membership updates
        // from the start for a while, which would add to the measured traffic.
        tokio::time::sleep(MEASUREMENT_DURATION).await;
        let usage_before = ProcessUsage::now();
        let traffic_before = cluster.traffic();
        tokio::time::sleep(MEASUREMENT_DURATION).await;
        let usage = ProcessUsage::now();
        let traffic_after = cluster.traffic();
        let nodes = node_count as f64;
        let per_s = |a: u64, b: u64| (a - b) as f64 / nodes / MEASUREMENT_DURATION.as_secs_f64();
        let cpu_share =
            (usage.cpu - usage_before.cpu).as_secs_f64() / MEASUREMENT_DURATION.as_secs_f64();
        let memory_growth_bytes = usage.memory_bytes.saturating_sub(memory_before) as f64;
        report.push([
            node_count.to_string(),
            settled_after.map_or("-".into(), |s| s.as_millis().to_string()),
            format!(
                "{:.2}",
                per_s(traffic_after.sent_count, traffic_before.sent_count)
            ),
            format!(
                "{:.0}",
                per_s(traffic_after.sent_bytes, traffic_before.sent_bytes)
            ),
            format!(
                "{:.0}",
                per_s(traffic_after.received_bytes, traffic_before.received_bytes)
            ),
            format!("{:.4}", cpu_share / nodes * 100.0),
            format!("{:.0}", memory_growth_bytes / nodes / 1024.0),
            (traffic_after.suspicion_count - traffic_before.suspicion_count).to_string(),
        ]);
        cluster.stop().await;
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
    for (block, node_count) in SPREAD_NODE_COUNTS.into_iter().enumerate() {
        let cluster = MembershipCluster::start(node_count, 100 + block as u8).await?;
        cluster.wait_until_settled().await;
        for lost_per_mille in LOSSES_PER_MILLE {
            cluster
                .links
                .iter()
                .for_each(|links| links.lose(lost_per_mille));
            report.push(measure_announcements(&cluster, lost_per_mille).await);
        }
        cluster.stop().await;
    }
    Ok(report)
}

/// Sends `ANNOUNCEMENT_COUNT` announcements, one after the other, while each
/// node drops `lost_per_mille` of its incoming datagrams, and returns a row of
/// the table of [`measure_spread`].
async fn measure_announcements(cluster: &MembershipCluster, lost_per_mille: u32) -> Vec<String> {
    let mut spread_times = Sample::new();
    let mut incomplete_spread_count = 0;
    let traffic_before = cluster.traffic();
    for number in 0..ANNOUNCEMENT_COUNT {
        // Each announcement starts at another node.
        let origin = &cluster.nodes[number as usize * 7 % cluster.nodes.len()];
        let key = format!("{lost_per_mille}-{number}");
        let announced_at = Instant::now();
        origin.announce(Announcement {
            topic: TOPIC,
            key: key.clone(),
            version: 1,
            ttl: Duration::from_secs(600),
            body: Bytes::from(vec![b'x'; BODY_BYTES]),
        });
        let has_announcement =
            |node: &Membership| node.announcements(TOPIC).iter().any(|a| a.key == key);
        let mut unreached_nodes: Vec<&Membership> = cluster.nodes.iter().collect();
        while !unreached_nodes.is_empty() && announced_at.elapsed() < SPREAD_TIMEOUT {
            unreached_nodes.retain(|node| !has_announcement(node));
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        incomplete_spread_count += usize::from(!unreached_nodes.is_empty());
        spread_times.add_ms(announced_at.elapsed().as_secs_f64() * 1e3);
    }
    let sent_bytes = (cluster.traffic().sent_bytes - traffic_before.sent_bytes) as f64;
    let sent_bytes_per_node = sent_bytes / cluster.nodes.len() as f64 / ANNOUNCEMENT_COUNT as f64;
    vec![
        cluster.nodes.len().to_string(),
        (lost_per_mille / 10).to_string(),
        ANNOUNCEMENT_COUNT.to_string(),
        spread_times.quantile(0.5),
        spread_times.quantile(0.99),
        spread_times.max(),
        incomplete_spread_count.to_string(),
        format!("{sent_bytes_per_node:.0}"),
    ]
}
