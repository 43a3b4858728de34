//! The settings file of a node of the `serve` command: parsing and validation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::claims::group_commit::ClaimSettings;
use crate::id::{DataCentreId, NodeId};

/// Settings of one node, read once at the start. The annotated files under
/// `examples/` document each field and its range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this node.
    pub node: NodeId,
    /// Data centre of this node.
    pub data_centre: DataCentreId,
    /// Addresses on which the node listens.
    pub listen: Listen,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses at which other nodes listen for peers, through which this node
    /// joins them.
    pub seeds: Vec<SocketAddr>,
    /// SHA-256 of each operator's key in hexadecimal, by operator.
    pub operators: BTreeMap<String, String>,
    /// Address of a StatsD collector, if there is one.
    pub metrics: Option<SocketAddr>,
    /// Intervals and time limits.
    pub timing: Timing,
    /// Limits on callers.
    pub limits: Limits,
    /// How claims, the reservations of idempotency keys, are stored.
    pub claims: ClaimSettings,
    /// Minimum time between two orders that make a runner load a model from the
    /// weight store.
    pub load_spacing: Duration,
}

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other nodes, over UDP and TCP.
    pub peers: SocketAddr,
}

/// Intervals and time limits of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long callers may cache the list of node addresses.
    pub address_keep: Duration,
    /// Time between two probes by which this node checks whether a peer is alive.
    pub probe_interval: Duration,
    /// Maximum age of a runner's last report. A runner with an older one is asked
    /// whether it is leaving before a request is sent to it.
    pub leaving_bound: Duration,
    /// Time between two polls of a runner by one of the few nodes that poll it for
    /// all others.
    pub watch_interval: Duration,
    /// Duration of the lease under which a node sends orders (which models to
    /// load) to runners.
    pub order_lease: Duration,
}

/// Limits on requests and stored answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body_max_bytes: usize,
    /// Maximum number of tokens of one completion.
    pub tokens_max: u64,
    /// Maximum size of an answer of a service that is stored with the claim of
    /// its call, to answer repeats of the call.
    pub stored_answer_max_bytes: usize,
}

/// All problems found in a settings file.
#[derive(Debug, thiserror::Error)]
#[error("{}", problems.join("\n"))]
pub struct SettingsError {
    /// One entry for each problem, with its line and the accepted range.
    pub problems: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    node: Spanned<String>,
    data_centre: Spanned<String>,
    listen: ListenFile,
    platform: SocketAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    operators: BTreeMap<String, Spanned<String>>,
    #[serde(default)]
    metrics: Option<SocketAddr>,
    #[serde(default)]
    timing: TimingFile,
    #[serde(default)]
    limits: LimitsFile,
    #[serde(default)]
    claims: ClaimsFile,
    /// Minimum time between two model loads that this node orders.
    #[serde(default)]
    load_spacing_ms: Option<Spanned<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListenFile {
    callers: Spanned<SocketAddr>,
    operators: SocketAddr,
    peers: Spanned<SocketAddr>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct TimingFile {
    address_keep_ms: Option<Spanned<u64>>,
    probe_interval_ms: Option<Spanned<u64>>,
    leaving_bound_ms: Option<Spanned<u64>>,
    watch_interval_ms: Option<Spanned<u64>>,
    order_lease_ms: Option<Spanned<u64>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct LimitsFile {
    body_max_bytes: Option<Spanned<u64>>,
    tokens_max: Option<Spanned<u64>>,
    stored_answer_max_bytes: Option<Spanned<u64>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ClaimsFile {
    shard_count: Option<Spanned<u64>>,
    write_spacing_ms: Option<Spanned<u64>>,
    retention_ms: Option<Spanned<u64>>,
}

/// Validates values and collects the problems found.
#[derive(Debug, Default)]
struct Checker {
    problems: Vec<String>,
}

impl Checker {
    fn number(
        &mut self,
        name: &str,
        value: Option<&Spanned<u64>>,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> u64 {
        let Some(spanned) = value else {
            return default;
        };
        if !range.contains(&spanned.value) {
            self.problems.push(format!(
                "line {}: {name}: {} is outside {}..={}",
                spanned.referenced.line(),
                spanned.value,
                range.start(),
                range.end()
            ));
        }
        spanned.value
    }

    fn time(
        &mut self,
        name: &str,
        value: Option<&Spanned<u64>>,
        default_ms: u64,
        range_ms: std::ops::RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(name, value, default_ms, range_ms))
    }

    /// Checks a name. Names become parts of event ids and object keys, which
    /// restricts their characters.
    fn name(&mut self, field: &str, value: &Spanned<String>) {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if value.value.is_empty() || !value.value.chars().all(is_allowed) {
            self.problems.push(format!(
                "line {}: {field}: '{}' must be letters, digits, '-' and '_'",
                value.referenced.line(),
                value.value
            ));
        }
    }

    /// Checks an address that this node tells callers or peers.
    fn announced_address(&mut self, field: &str, address: &Spanned<SocketAddr>) {
        if address.value.port() == 0 {
            self.problems.push(format!(
                "line {}: {field}: port 0 is no address that others can be told",
                address.referenced.line()
            ));
        }
    }

    fn key_hash(&mut self, operator: &str, value: &Spanned<String>) {
        let is_hash = value.value.len() == 64 && value.value.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hash {
            self.problems.push(format!(
                "line {}: operators.{operator}: must be the 64 hexadecimal digits of a SHA-256",
                value.referenced.line()
            ));
        }
    }
}

impl Settings {
    /// Reads and validates a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
            problems: vec![format!("{}: {e}", path.display())],
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a file.
    ///
    /// ```
    /// use zinniawing::Settings;
    ///
    /// let text = "
    /// node: n1
    /// data_centre: tt-south-1
    /// listen: {callers: 127.0.0.1:7100, operators: 127.0.0.1:7101, peers: 127.0.0.1:7102}
    /// platform: 127.0.0.1:7000
    /// ";
    /// assert_eq!(Settings::parse(text).unwrap().node, "n1");
    /// assert!(Settings::parse("node: n1").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let file: SettingsFile = serde_saphyr::from_str(text).map_err(|e| SettingsError {
            problems: vec![e.to_string()],
        })?;
        let mut checker = Checker::default();
        checker.name("node", &file.node);
        checker.name("data_centre", &file.data_centre);
        for (operator, hash) in &file.operators {
            checker.key_hash(operator, hash);
        }
        let settings = Self {
            timing: file.timing.check(&mut checker),
            limits: file.limits.check(&mut checker),
            claims: file.claims.check(&mut checker),
            load_spacing: checker.time(
                "load_spacing_ms",
                file.load_spacing_ms.as_ref(),
                1_000,
                0..=600_000,
            ),
            node: file.node.value,
            data_centre: file.data_centre.value,
            listen: file.listen.check(&mut checker),
            platform: file.platform,
            seeds: file.seeds,
            operators: file
                .operators
                .into_iter()
                .map(|(name, hash)| (name, hash.value))
                .collect(),
            metrics: file.metrics,
        };
        if checker.problems.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError {
                problems: checker.problems,
            })
        }
    }
}

impl ListenFile {
    fn check(&self, checker: &mut Checker) -> Listen {
        checker.announced_address("listen.callers", &self.callers);
        checker.announced_address("listen.peers", &self.peers);
        Listen {
            callers: self.callers.value,
            operators: self.operators,
            peers: self.peers.value,
        }
    }
}

impl TimingFile {
    fn check(&self, checker: &mut Checker) -> Timing {
        Timing {
            address_keep: checker.time(
                "timing.address_keep_ms",
                self.address_keep_ms.as_ref(),
                10_000,
                100..=600_000,
            ),
            probe_interval: checker.time(
                "timing.probe_interval_ms",
                self.probe_interval_ms.as_ref(),
                1_000,
                20..=10_000,
            ),
            leaving_bound: checker.time(
                "timing.leaving_bound_ms",
                self.leaving_bound_ms.as_ref(),
                2_000,
                50..=10_000,
            ),
            watch_interval: checker.time(
                "timing.watch_interval_ms",
                self.watch_interval_ms.as_ref(),
                1_000,
                20..=10_000,
            ),
            order_lease: checker.time(
                "timing.order_lease_ms",
                self.order_lease_ms.as_ref(),
                6_000,
                200..=120_000,
            ),
        }
    }
}

impl LimitsFile {
    fn check(&self, checker: &mut Checker) -> Limits {
        let body_max_bytes = checker.number(
            "limits.body_max_bytes",
            self.body_max_bytes.as_ref(),
            1024 * 1024,
            1024..=16 * 1024 * 1024,
        );
        let stored_answer_max_bytes = checker.number(
            "limits.stored_answer_max_bytes",
            self.stored_answer_max_bytes.as_ref(),
            4096,
            0..=65_536,
        );
        Limits {
            body_max_bytes: body_max_bytes as usize,
            tokens_max: checker.number(
                "limits.tokens_max",
                self.tokens_max.as_ref(),
                100_000,
                1..=1_000_000,
            ),
            stored_answer_max_bytes: stored_answer_max_bytes as usize,
        }
    }
}

impl ClaimsFile {
    fn check(&self, checker: &mut Checker) -> ClaimSettings {
        let shard_count =
            checker.number("claims.shard_count", self.shard_count.as_ref(), 8, 1..=1024);
        ClaimSettings {
            shard_count: shard_count as u32,
            write_spacing: checker.time(
                "claims.write_spacing_ms",
                self.write_spacing_ms.as_ref(),
                20,
                0..=1_000,
            ),
            retention: checker.time(
                "claims.retention_ms",
                self.retention_ms.as_ref(),
                24 * 3_600_000,
                60_000..=30 * 24 * 3_600_000,
            ),
        }
    }
}
