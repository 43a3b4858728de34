//! Runs the commands of the command line.

use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::signal::unix::{Signal, SignalKind, signal};
use zinniawing::{
    Caller, CompletionParams, Demo, DemoOptions, EdgeNode, EdgeSettings, Intent, Metrics,
    ModelVersion, Node, Operator, OperatorError, RunnerProfile, Settings, SettingsError, Severity,
    StandIn, StandInPlatform, StandInRunner, StandInService, Vm, check_configuration,
    check_version, version_in_force,
};

use crate::cli::{CallArgs, CheckArgs, Command, FileKind, Format, OperatorArgs, StandInArgs};
use crate::output::{
    WithText, describe_check, describe_completion, describe_record, describe_status, print,
};

/// Why a command failed. Each variant has its own exit code.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// A settings file or an intent is invalid; nothing was started.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A checked configuration has only warnings.
    #[error("warnings: {0}")]
    ConfigurationWarnings(usize),
    /// A checked configuration has errors.
    #[error("errors: {0}")]
    ConfigurationErrors(usize),
    /// A file could not be read, an address could not be bound, or a connection
    /// failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The node refused the request or did not answer.
    #[error("{0}")]
    Operator(#[from] OperatorError),
    /// The generated answer ended early, or its tokens failed verification.
    #[error("the answer is incomplete or failed verification")]
    IncompleteAnswer,
}

impl Failure {
    /// The failure's exit code, as listed in the README.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::ConfigurationWarnings(_) => 1,
            Self::Settings(_) | Self::ConfigurationErrors(_) => 2,
            Self::Io(_) => 3,
            Self::Operator(_) => 4,
            Self::IncompleteAnswer => 5,
        };
        ExitCode::from(code)
    }
}

/// Runs a command until it has finished.
pub(crate) async fn run(command: Command, metrics: Arc<Metrics>) -> Result<(), Failure> {
    match command {
        Command::Edge {
            metrics_port,
            options,
            settings,
        } => edge(&EdgeFiles { settings, options }, metrics, metrics_port).await,
        Command::Serve { settings } => serve(&settings).await,
        Command::Check { check } => match check {
            CheckArgs::File { kind, file } => check_file(kind, &file),
            CheckArgs::Configuration {
                configuration,
                in_force,
                node: node_address,
                settings,
                options,
                json,
            } => {
                if options.is_some() && settings.is_none() {
                    let problems = vec!["--options needs --settings".to_owned()];
                    return Err(SettingsError { problems }.into());
                }
                let node = settings.map(|settings| EdgeFiles { settings, options });
                let version = match node_address {
                    Some(address) => Some(version_in_force(address).await?),
                    None => None,
                };
                check_configuration_file(&configuration, in_force.as_deref(), version, node, json)
            }
        },
        Command::Intent { operator, file } => {
            let intent = load_intent(&file)?;
            let plan = connect(&operator).state_intent(&intent).await?;
            Ok(print(operator.json, &plan)?)
        }
        Command::Plan { operator, id } => {
            let plan = connect(&operator).plan(&id).await?;
            Ok(print(operator.json, &plan)?)
        }
        Command::Confirm { operator, base, id } => {
            let confirmed = connect(&operator).confirm(&id, base).await?;
            let text = format!("confirmed as version {}", confirmed.version);
            Ok(print(operator.json, &WithText(confirmed, text))?)
        }
        Command::Status { operator } => {
            let status = connect(&operator).status().await?;
            let text = describe_status(&status);
            Ok(print(operator.json, &WithText(status, text))?)
        }
        Command::Audit { operator } => {
            let records = connect(&operator).audit().await?;
            let lines: Vec<String> = records.iter().map(describe_record).collect();
            Ok(print(operator.json, &WithText(records, lines.join("\n")))?)
        }
        Command::Call { call } => generate(call).await,
        Command::Demo {
            tokens,
            token_ms,
            json,
        } => demo(tokens, token_ms, json).await,
        Command::Experiment { seed, format, name } => {
            let report = name.0.run(seed).await?;
            match format {
                Format::Text => print!("{report}"),
                Format::Csv => print!("{}", report.to_csv()),
                Format::Json => print(true, &report)?,
            }
            Ok(())
        }
        Command::StandIn { stand_in } => run_stand_in(stand_in).await,
    }
}

/// The files that an entry node reads at its start.
struct EdgeFiles {
    settings: PathBuf,
    options: Option<PathBuf>,
}

impl EdgeFiles {
    fn load(&self) -> Result<EdgeSettings, SettingsError> {
        let mut settings = EdgeSettings::load(&self.settings)?;
        if let Some(options) = &self.options {
            settings.load_options(options)?;
        }
        Ok(settings)
    }
}

async fn edge(
    files: &EdgeFiles,
    metrics: Arc<Metrics>,
    metrics_port: Option<u16>,
) -> Result<(), Failure> {
    let settings = files.load()?;
    let mut stop_signals = StopSignals::new()?;
    let mut reload_signals = signal(SignalKind::hangup())?;
    let metrics_address = metrics_port.map(|port| SocketAddr::new(settings.callers.ip(), port));
    log::info!(
        "event=start node={} dc={} callers={} peers={} store={} seeds={:?}",
        settings.node,
        settings.data_centre,
        settings.callers,
        settings.peers,
        settings.store,
        settings.seeds
    );
    let node = EdgeNode::start(settings, metrics, metrics_address).await?;
    loop {
        tokio::select! {
            () = stop_signals.next() => break,
            _ = reload_signals.recv() => reload(files),
        }
    }
    log::info!("event=stop cause=signal");
    node.drain().await;
    log::logger().flush();
    Ok(())
}

/// Checks the files on SIGHUP. Changed settings and options take effect at the next
/// start.
fn reload(files: &EdgeFiles) {
    match files.load() {
        Ok(settings) => log::info!("event=reload node={} outcome=checked", settings.node),
        Err(error) => log::error!("event=reload outcome=refused cause={error:?}"),
    }
}

async fn serve(path: &Path) -> Result<(), Failure> {
    let settings = Settings::load(path)?;
    let name = settings.node.clone();
    let mut stop_signals = StopSignals::new()?;
    let node = Node::start(settings).await?;
    log::info!("node {name} serves callers at {}", node.caller_address());
    stop_signals.next().await;
    log::info!(
        "leaving; a second signal skips the wait until address answers expire, \
         a third aborts the requests in flight"
    );
    let (skip_wait, wait_skipped) = tokio::sync::oneshot::channel();
    let drained = node.drain(async {
        let _ = wait_skipped.await;
    });
    tokio::select! {
        () = drained => log::info!("stopped; all requests in flight have ended"),
        () = stop_signals.skip_wait_then_abort(skip_wait) => log::warn!(
            "aborted; requests in flight were cut off"
        ),
    }
    Ok(())
}

/// The signals that ask a process to stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Sends to `skip_wait` on the next signal, which ends the wait until address
    /// answers expire, and returns on the signal after it.
    async fn skip_wait_then_abort(&mut self, skip_wait: tokio::sync::oneshot::Sender<()>) {
        self.next().await;
        let _ = skip_wait.send(());
        self.next().await;
    }
}

fn check_file(kind: FileKind, path: &Path) -> Result<(), Failure> {
    match kind {
        FileKind::Settings => {
            Settings::load(path)?;
        }
        FileKind::PlatformSettings => {
            EdgeSettings::load(path)?;
        }
        FileKind::Intent => {
            load_intent(path)?;
        }
    }
    println!("{}: nothing is wrong", path.display());
    Ok(())
}

/// Checks a configuration, against the limits of a node and the configuration in force if
/// these are given.
fn check_configuration_file(
    path: &Path,
    in_force: Option<&Path>,
    version_in_force: Option<u64>,
    node: Option<EdgeFiles>,
    json: bool,
) -> Result<(), Failure> {
    let settings = node.map(|files| files.load()).transpose()?;
    let text = std::fs::read_to_string(path)?;
    let in_force = in_force.map(std::fs::read_to_string).transpose()?;
    let mut report = check_configuration(&text, in_force.as_deref(), settings.as_ref());
    if let Some(version) = version_in_force {
        check_version(&mut report, &text, version);
    }
    let is_coloured = io::stdout().is_terminal();
    let described = describe_check(&report, is_coloured);
    let (errors, warnings) = (
        report.count(Severity::Error),
        report.count(Severity::Warning),
    );
    print(json, &WithText(report, described))?;
    match (errors, warnings) {
        (0, 0) => Ok(()),
        (0, warnings) => Err(Failure::ConfigurationWarnings(warnings)),
        (errors, _) => Err(Failure::ConfigurationErrors(errors)),
    }
}

fn load_intent(path: &Path) -> Result<Intent, Failure> {
    let intent: Intent = load_yaml(path)?;
    let problems = intent.problems();
    if problems.is_empty() {
        return Ok(intent);
    }
    Err(SettingsError { problems }.into())
}

fn load_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, Failure> {
    let invalid = |e: String| SettingsError {
        problems: vec![format!("{}: {e}", path.display())],
    };
    let text = std::fs::read_to_string(path).map_err(|e| invalid(e.to_string()))?;
    let value = serde_saphyr::from_str(&text).map_err(|e| invalid(e.to_string()))?;
    Ok(value)
}

fn connect(args: &OperatorArgs) -> Operator {
    Operator::new(args.node, &args.key)
}

async fn generate(args: CallArgs) -> Result<(), Failure> {
    let caller = Caller::new(args.node, &args.key, &args.kind);
    let params = CompletionParams {
        model: args.model,
        prompt: args.prompt,
        max_tokens: args.tokens,
        brings_text: !args.without_text,
    };
    let report = caller.complete(&params).await;
    let is_complete = report.ended && report.broken.is_none();
    let text = describe_completion(&report);
    print(args.json, &WithText(report, text))?;
    if is_complete {
        Ok(())
    } else {
        Err(Failure::IncompleteAnswer)
    }
}

async fn demo(tokens: u64, token_ms: u64, json: bool) -> Result<(), Failure> {
    let options = DemoOptions {
        token_count: tokens,
        token_interval: Duration::from_millis(token_ms),
    };
    let report = Demo::new(options).run().await?;
    print(json, &report)?;
    if report.completion.ended && report.completion.broken.is_none() {
        Ok(())
    } else {
        Err(Failure::IncompleteAnswer)
    }
}

async fn run_stand_in(args: StandInArgs) -> Result<(), Failure> {
    let running: StandIn = match args {
        StandInArgs::Platform { listen, vms } => {
            let vms: Vec<Vm> = load_yaml(&vms)?;
            StandInPlatform::start(listen, &vms)?.1
        }
        StandInArgs::Runner {
            listen,
            token_ms,
            slots,
            model,
            ignores_fence,
        } => {
            let profile = RunnerProfile {
                slot_count: slots,
                token_interval: Duration::from_millis(token_ms),
                models: model.iter().map(|m| parse_model(m)).collect(),
                checks_fence: !ignores_fence,
                ..RunnerProfile::default()
            };
            StandInRunner::start(listen, profile)?.1
        }
        StandInArgs::Service { listen } => StandInService::start(listen)?.1,
    };
    log::info!("listening at {}", running.address());
    let mut stop_signals = StopSignals::new()?;
    tokio::select! {
        () = running.ended() => log::warn!("stopped by an injected fault"),
        () = stop_signals.next() => {}
    }
    Ok(())
}

fn parse_model(text: &str) -> ModelVersion {
    let (model, version) = text.split_once('@').unwrap_or((text, "1"));
    ModelVersion {
        model: model.to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
    }
}
