//! The command line: commands, flags and their help texts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Bpaf, Parser};
use zinniawing::Experiment;

/// A command with its arguments.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    descr("Serves long model generations in full even when engines fail.")
)]
pub(crate) enum Command {
    /// Run one node until it is told to stop
    #[bpaf(command)]
    Serve {
        /// Settings file of the node
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
    },
    /// Run one entry node on the platform until it is told to stop
    #[bpaf(command)]
    Edge {
        /// Port that serves the counters, on the IP address for callers
        #[bpaf(long("metrics-port"), argument("PORT"), optional)]
        metrics_port: Option<u16>,
        /// Options file of the operators
        #[bpaf(long, argument("FILE"), optional)]
        options: Option<PathBuf>,
        /// Settings file written by the platform
        #[bpaf(long, argument("FILE"), env("ZINNIAWING_SETTINGS"))]
        settings: PathBuf,
    },
    /// Check a settings file, an intent or a configuration and list all errors in it
    #[bpaf(command)]
    Check {
        #[bpaf(external(check_args))]
        check: CheckArgs,
    },
    /// State an intent and print the plan of the changes that it would make
    #[bpaf(command)]
    Intent {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// Intent file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the plan of a stated intent against the current configuration
    #[bpaf(command)]
    Plan {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// Id printed when the intent was stated
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Confirm an intent against the base version of its plan
    #[bpaf(command)]
    Confirm {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// Configuration version that the plan names as its base
        #[bpaf(long, argument("VERSION"))]
        base: u64,
        /// Id printed when the intent was stated
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Print each node's configuration version and each runner's models
    #[bpaf(command)]
    Status {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
    },
    /// Print the last records of the audit trail
    #[bpaf(command)]
    Audit {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
    },
    /// Generate an answer to a prompt, resume it after losses, and verify it
    #[bpaf(command)]
    Call {
        #[bpaf(external(call_args))]
        call: CallArgs,
    },
    /// Run all components in one process and kill a runner during an answer
    #[bpaf(command)]
    Demo {
        /// Number of tokens of the answer
        #[bpaf(long, argument("COUNT"), fallback(200))]
        tokens: u64,
        /// Milliseconds between two tokens at a runner
        #[bpaf(long, argument("MS"), fallback(10))]
        token_ms: u64,
        /// Print the report as JSON
        #[bpaf(long)]
        json: bool,
    },
    /// Run one experiment and print its measurements as a table
    #[bpaf(command)]
    Experiment {
        /// Seed of the random numbers
        #[bpaf(long, argument("SEED"), fallback(1))]
        seed: u64,
        /// Output format: text, csv or json
        #[bpaf(long, argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        /// Experiment to run: resume, claims, crashes, overload, config,
        /// control, spread, idle, sizes, placement, losses or hedging
        #[bpaf(positional("NAME"))]
        name: ExperimentName,
    },
    /// Run a stand-in (a test double) for an outside system
    #[bpaf(command("stand-in"))]
    StandIn {
        #[bpaf(external(stand_in_args))]
        stand_in: StandInArgs,
    },
}

/// What the command `check` checks.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum CheckArgs {
    /// A configuration for entry nodes on the platform, before it is sent.
    Configuration {
        /// Check the file as a configuration for entry nodes on the platform. Exits with 1
        /// if there are only warnings, and with 2 if there are errors
        #[bpaf(argument("FILE"))]
        configuration: PathBuf,
        /// Configuration in force, to list what differs from it
        #[bpaf(argument("FILE"), optional)]
        in_force: Option<PathBuf>,
        /// Address at which a node serves /metrics, to compare the version with its own
        #[bpaf(argument("ADDRESS"), optional)]
        node: Option<SocketAddr>,
        /// Settings of a node, whose limits the configuration must not contradict
        #[bpaf(argument("FILE"), optional)]
        settings: Option<PathBuf>,
        /// Options of the operators; only with --settings
        #[bpaf(argument("FILE"), optional)]
        options: Option<PathBuf>,
        /// Print JSON
        #[bpaf(long)]
        json: bool,
    },
    /// Another file.
    File {
        #[bpaf(external(file_kind))]
        kind: FileKind,
        /// File to check
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// How a command reaches the operator API of a node.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct OperatorArgs {
    /// Address at which any of the nodes listens for operators
    #[bpaf(long, argument("ADDRESS"))]
    pub(crate) node: SocketAddr,
    /// The operator's key
    #[bpaf(long, argument("KEY"), env("ZINNIAWING_OPERATOR_KEY"))]
    pub(crate) key: String,
    /// Print JSON
    #[bpaf(long)]
    pub(crate) json: bool,
}

/// Arguments of the `call` command, which requests one generation.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CallArgs {
    /// Address at which a node listens for callers; repeat it to name more
    /// nodes, which are used if one fails
    #[bpaf(long, argument("ADDRESS"), some("at least one --node is needed"))]
    pub(crate) node: Vec<SocketAddr>,
    /// The customer's key
    #[bpaf(long, argument("KEY"), env("ZINNIAWING_KEY"))]
    pub(crate) key: String,
    /// Kind of caller, as named in the intent
    #[bpaf(long, argument("KIND"), fallback("default".to_owned()))]
    pub(crate) kind: String,
    /// Model that generates the answer
    #[bpaf(long, argument("MODEL"))]
    pub(crate) model: String,
    /// Number of tokens to generate
    #[bpaf(long, argument("COUNT"), fallback(100))]
    pub(crate) tokens: u64,
    /// Do not send the text received so far when resuming at another node
    #[bpaf(long)]
    pub(crate) without_text: bool,
    /// Print JSON
    #[bpaf(long)]
    pub(crate) json: bool,
    /// Prompt to answer
    #[bpaf(positional("PROMPT"))]
    pub(crate) prompt: String,
}

/// Which stand-in to run.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum StandInArgs {
    /// The platform's object API
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"))]
        listen: SocketAddr,
        /// YAML file with the list of VMs
        #[bpaf(long, argument("FILE"))]
        vms: PathBuf,
    },
    /// A model engine
    #[bpaf(command)]
    Runner {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"))]
        listen: SocketAddr,
        /// Milliseconds between two tokens of a stream
        #[bpaf(long, argument("MS"), fallback(20))]
        token_ms: u64,
        /// Number of streams that generate at the same time
        #[bpaf(long, argument("COUNT"), fallback(32))]
        slots: u32,
        /// Model that is loaded from the start, as NAME@VERSION; may be
        /// repeated
        #[bpaf(long, argument("MODEL"))]
        model: Vec<String>,
        /// Carry out orders even if their fence is older than one seen before
        #[bpaf(long)]
        ignores_fence: bool,
    },
    /// A service whose calls must not run more than once
    #[bpaf(command)]
    Service {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"))]
        listen: SocketAddr,
    },
}

/// Output format of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Csv,
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "csv" => Ok(Self::Csv),
            "json" => Ok(Self::Json),
            _ => Err(format!(
                "unknown format '{text}': expected text, csv or json"
            )),
        }
    }
}

/// Kind of file that the command `check` reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    /// Settings of a node of the command `serve`.
    Settings,
    /// Settings of a node of the command `edge`, as the platform writes them.
    PlatformSettings,
    /// An intent.
    Intent,
}

#[derive(Clone, Copy, Debug, Bpaf)]
struct FileKindFlags {
    /// Check the file as an intent
    #[bpaf(long)]
    intent: bool,
    /// Check the file as settings written by the platform
    #[bpaf(long)]
    platform: bool,
}

fn file_kind() -> impl Parser<FileKind> {
    file_kind_flags().map(|flags| match flags {
        FileKindFlags { intent: true, .. } => FileKind::Intent,
        FileKindFlags { platform: true, .. } => FileKind::PlatformSettings,
        FileKindFlags { .. } => FileKind::Settings,
    })
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct ExperimentName(pub(crate) Experiment);

impl FromStr for ExperimentName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let experiment = match text {
            "resume" => Experiment::Resume,
            "claims" => Experiment::Claims,
            "crashes" => Experiment::Crashes,
            "evidence" => Experiment::Evidence,
            "limits" => Experiment::Limits,
            "overload" => Experiment::Overload,
            "config" => Experiment::Config,
            "control" => Experiment::Control,
            "spread" => Experiment::Spread,
            "idle" => Experiment::Idle,
            "sizes" => Experiment::Sizes,
            "placement" => Experiment::Placement,
            "losses" => Experiment::Losses,
            "hedging" => Experiment::Hedging,
            _ => return Err(format!("unknown experiment '{text}'")),
        };
        Ok(Self(experiment))
    }
}
