//! The settings file of one node: read, checked as a whole, then used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::claims::group_commit::ClaimSettings;
use crate::id::{DataCentreId, NodeId};

/// What one node is told before it starts; every field's meaning and range
/// stand in the annotated files under `examples/`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this node.
    pub node: NodeId,
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// Peer addresses at which other nodes may be found.
    pub seeds: Vec<SocketAddr>,
    /// Operators and the SHA-256 of their keys.
    pub operators: BTreeMap<String, String>,
    /// Where a StatsD collector listens, if there is one.
    pub metrics: Option<SocketAddr>,
    /// Times.
    pub timing: Timing,
    /// Limits on callers.
    pub limits: Limits,
    /// How claims are kept.
    pub claims: ClaimSettings,
    /// Least time between two loads from the weight store.
    pub load_spacing: Duration,
}

/// The addresses a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other nodes, over UDP and TCP.
    pub peers: SocketAddr,
}

/// The times a node keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long callers keep an answer that says which addresses to use.
    pub address_keep: Duration,
    /// Time between probes of other nodes.
    pub probe_interval: Duration,
    /// How old an upstream's word that it stays may be.
    pub leaving_bound: Duration,
    /// Time between looks at a runner by the nodes that watch it.
    pub watch_interval: Duration,
    /// How long the lease on orders lasts.
    pub order_lease: Duration,
}

/// The limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body.
    pub body_max_bytes: usize,
    /// Most tokens of one answer.
    pub tokens_max: u64,
    /// Largest answer of a service that is kept with its claim.
    pub stored_answer_max_bytes: usize,
}

/// Why a settings file cannot be used: every problem that was found.
#[derive(Debug, thiserror::Error)]
#[error("{}", problems.join("\n"))]
pub struct SettingsError {
    /// One line a problem, with its place and the accepted range.
    pub problems: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    node: Spanned<String>,
    data_centre: Spanned<String>,
    listen: Listen,
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
    #[serde(default)]
    load_spacing_ms: Option<Spanned<u64>>,
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

/// Checks numbers against their ranges and gathers what is wrong.
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
        let Some(given) = value else {
            return default;
        };
        if !range.contains(&given.value) {
            self.problems.push(format!(
                "line {}: {name}: {} is outside {}..={}",
                given.referenced.line(),
                given.value,
                range.start(),
                range.end()
            ));
        }
        given.value
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

    /// Names become parts of event ids and object keys.
    fn name(&mut self, field: &str, value: &Spanned<String>) {
        let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if value.value.is_empty() || !value.value.chars().all(fits) {
            self.problems.push(format!(
                "line {}: {field}: '{}' must be letters, digits, '-' and '_'",
                value.referenced.line(),
                value.value
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
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
            problems: vec![format!("{}: {e}", path.display())],
        })?;
        Self::parse(&text)
    }

    /// Reads and checks the text of a file.
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
            listen: file.listen,
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
        let body_max = checker.number(
            "limits.body_max_bytes",
            self.body_max_bytes.as_ref(),
            1024 * 1024,
            1024..=16 * 1024 * 1024,
        );
        let stored_answer_max = checker.number(
            "limits.stored_answer_max_bytes",
            self.stored_answer_max_bytes.as_ref(),
            4096,
            0..=65_536,
        );
        Limits {
            body_max_bytes: body_max as usize,
            tokens_max: checker.number(
                "limits.tokens_max",
                self.tokens_max.as_ref(),
                100_000,
                1..=1_000_000,
            ),
            stored_answer_max_bytes: stored_answer_max as usize,
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
