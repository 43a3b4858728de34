//! What commands print: their results as JSON or as text.

use std::fmt::Display;
use std::io;

use serde::Serialize;
use zinniawing::{AuditRecord, CompletionReport, ConfigurationReport, Severity, Status};

/// Terminal escape sequences of the colours red and yellow, and of their end.
const RED: &str = "\x1b[31m";
const YELLOW: &str = "\x1b[33m";
const COLOUR_END: &str = "\x1b[0m";

/// A value to print as JSON, and the text to print without `--json`.
pub(crate) struct WithText<T>(pub(crate) T, pub(crate) String);

impl<T: Serialize> Serialize for WithText<T> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

impl<T> Display for WithText<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.1)
    }
}

pub(crate) fn print<T: Serialize + Display>(json: bool, value: &T) -> io::Result<()> {
    if json {
        let text = serde_json::to_string_pretty(value).map_err(io::Error::other)?;
        println!("{text}");
    } else {
        println!("{value}");
    }
    Ok(())
}

pub(crate) fn describe_check(report: &ConfigurationReport, is_coloured: bool) -> String {
    let mut lines = Vec::new();
    for finding in &report.findings {
        let (label, colour) = match finding.severity {
            Severity::Error => ("error", RED),
            Severity::Warning => ("warning", YELLOW),
        };
        let label = if is_coloured {
            format!("{colour}{label}{COLOUR_END}")
        } else {
            label.to_owned()
        };
        lines.push(format!("{label}: {}: {}", finding.place, finding.text));
    }
    let differences = report.differences.iter();
    lines.extend(differences.map(|difference| format!("change: {difference}")));
    if report.findings.is_empty() {
        lines.push("nothing is wrong".to_owned());
    }
    lines.join("\n")
}

pub(crate) fn describe_status(status: &Status) -> String {
    let everywhere = if status.in_force_everywhere {
        "everywhere"
    } else {
        "not everywhere"
    };
    let mut lines = vec![format!(
        "version {} is in force {everywhere}",
        status.version
    )];
    lines.push(format!(
        "{:<12} {:<14} {:<22} {:>8} {:>8} {:>9}",
        "node", "data centre", "callers", "version", "vm list", "in flight"
    ));
    for (name, node) in &status.nodes {
        let number = |version: Option<u64>| version.map_or("?".to_owned(), |v| v.to_string());
        let leaving = if node.leaving { "  leaving" } else { "" };
        lines.push(format!(
            "{name:<12} {:<14} {:<22} {:>8} {:>8} {:>9}{leaving}",
            node.data_centre,
            node.caller_address,
            number(node.version),
            number(node.vms_version),
            node.in_flight_count
        ));
    }
    lines.push(format!(
        "{:<12} {:<14} {:<8} ready",
        "runner", "data centre", "leaving"
    ));
    for (name, runner) in &status.runners {
        let ready: Vec<String> = runner
            .ready
            .iter()
            .map(|m| format!("{}@{}", m.model, m.version))
            .collect();
        lines.push(format!(
            "{name:<12} {:<14} {:<8} {}",
            runner.data_centre,
            runner.leaving,
            ready.join(", ")
        ));
    }
    lines.join("\n")
}

pub(crate) fn describe_record(record: &AuditRecord) -> String {
    format!(
        "{} {} {} {} {} {:?} {}",
        record.at_unix_ms,
        record.node,
        record.operator,
        record.act,
        record.subject,
        record.outcome,
        record.detail
    )
}

pub(crate) fn describe_completion(report: &CompletionReport) -> String {
    let mut lines = vec![
        format!("answer whole   {}", report.ended && report.broken.is_none()),
        format!("tokens         {}", report.token_count),
        format!("attempts       {}", report.attempt_count),
        format!("connections    {}", report.connection_count),
        format!("generations    {}", report.generation_count),
    ];
    if let Some(first_ms) = report.first_token_ms {
        lines.push(format!("first token    {first_ms:.1} ms"));
    }
    let resumes = report.resume_ms.iter();
    lines.extend(resumes.map(|ms| format!("resumed after  {ms:.1} ms")));
    if let Some(broken) = &report.broken {
        lines.push(format!("broken         {broken}"));
    }
    if let Some(error) = &report.error {
        lines.push(format!(
            "error          {}: {}",
            error.kind.name(),
            error.message
        ));
    }
    lines.join("\n")
}
