//! The options file: settings of the operators, beside the one that the platform writes.
//! `examples/edge-options.yaml` documents each field.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::path::Path;

use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::id::ServiceId;
use crate::policy::hedging::HedgeLimits;
use crate::settings::SettingsError;

/// Accepted limits on hedges, in percent of the calls to a service.
const EXTRA_SENDS_PERCENT: RangeInclusive<f64> = 0.0..=20.0;

/// The options of an entry node.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EdgeOptions {
    pub(crate) hedging: HedgeLimits,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OptionsFile {
    #[serde(default)]
    hedging: HedgingFile,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct HedgingFile {
    #[serde(default)]
    default_extra_sends_percent: Option<Spanned<serde_json::Value>>,
    #[serde(default)]
    services: BTreeMap<ServiceId, Spanned<serde_json::Value>>,
}

/// Reads and checks a file beside settings with this ratio of retries to calls.
pub(crate) fn load(path: &Path, retry_ratio: f64) -> Result<EdgeOptions, SettingsError> {
    let in_file = |problem: String| format!("{}: {problem}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
        problems: vec![in_file(e.to_string())],
    })?;
    read(&text, retry_ratio).map_err(|error| SettingsError {
        problems: error.problems.into_iter().map(in_file).collect(),
    })
}

/// Parses and checks the text of a file. The error lists all limits that are wrong.
pub(crate) fn read(text: &str, retry_ratio: f64) -> Result<EdgeOptions, SettingsError> {
    let file: OptionsFile = serde_saphyr::from_str(text).map_err(|e| SettingsError {
        problems: vec![e.to_string()],
    })?;
    let mut checker = Checker {
        retry_ratio,
        problems: Vec::new(),
    };
    let hedging = file.hedging.check(&mut checker);
    if checker.problems.is_empty() {
        return Ok(EdgeOptions { hedging });
    }
    checker.problems.sort_unstable();
    let problems = checker.problems.into_iter();
    Err(SettingsError {
        problems: problems
            .map(|(line, text)| format!("line {line}: {text}"))
            .collect(),
    })
}

impl HedgingFile {
    fn check(&self, checker: &mut Checker) -> HedgeLimits {
        let default = self.default_extra_sends_percent.as_ref();
        let default_share = default.map_or(0.0, |percent| {
            checker.share("hedging.default_extra_sends_percent", percent)
        });
        let services = self.services.iter().map(|(service, percent)| {
            let field = format!("hedging.services.{service}");
            (service.clone(), checker.share(&field, percent))
        });
        HedgeLimits {
            default_share,
            services: services.collect(),
        }
    }
}

/// Collects the problems of a file.
struct Checker {
    /// Retries that the platform's settings allow for each call.
    retry_ratio: f64,
    /// Line and text of each problem.
    problems: Vec<(u64, String)>,
}

impl Checker {
    /// Checks a limit in percent, and returns it as a share.
    fn share(&mut self, field: &str, percent: &Spanned<serde_json::Value>) -> f64 {
        let line = percent.referenced.line();
        let number = percent.value.as_f64();
        let accepted = number.filter(|number| EXTRA_SENDS_PERCENT.contains(number));
        let Some(accepted) = accepted else {
            let text = format!(
                "{field}: {} is not a number in {}..={}",
                percent.value,
                EXTRA_SENDS_PERCENT.start(),
                EXTRA_SENDS_PERCENT.end()
            );
            self.problems.push((line, text));
            return 0.0;
        };
        let share = accepted / 100.0;
        if share > self.retry_ratio {
            let text = format!(
                "{field}: {accepted} percent exceeds the retry budget of the settings (retry-budget-ratio {})",
                self.retry_ratio
            );
            self.problems.push((line, text));
        }
        share
    }
}
