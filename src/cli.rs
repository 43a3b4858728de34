//! The command line, apart from the library.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use zinniawing::Experiment;

/// What the user asked for.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    descr("Serves long model generations whole on engines that fail.")
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
        /// Port of the machine at which counters are served
        #[bpaf(long("metrics-port"), argument("PORT"), optional)]
        metrics_port: Option<u16>,
        /// Settings file that the platform wrote
        #[bpaf(long, argument("FILE"), env("ZINNIAWING_SETTINGS"))]
        settings: PathBuf,
    },
    /// Check a settings file or an intent and list everything wrong with it
    #[bpaf(command)]
    Check {
        /// The file is an intent
        #[bpaf(long)]
        intent: bool,
        /// The file is one that the platform wrote
        #[bpaf(long)]
        platform: bool,
        /// File to check
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// State an intent and print the plan of what would change
    #[bpaf(command)]
    Intent {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// Intent file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the plan of a stated intent against the configuration of now
    #[bpaf(command)]
    Plan {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// Id that stating the intent printed
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Confirm an intent on the version that its plan was made for
    #[bpaf(command)]
    Confirm {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// Version that the plan names
        #[bpaf(long, argument("VERSION"))]
        base: u64,
        /// Id that stating the intent printed
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Print what is in force where
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
    /// Have something generated, resume where needed, and verify the answer
    #[bpaf(command)]
    Call {
        #[bpaf(external(call_args))]
        call: CallArgs,
    },
    /// Run the whole path in this process and kill a runner in mid-answer
    #[bpaf(command)]
    Demo {
        /// Tokens of the answer
        #[bpaf(long, argument("COUNT"), fallback(200))]
        tokens: u64,
        /// Milliseconds between two tokens
        #[bpaf(long, argument("MS"), fallback(10))]
        token_ms: u64,
        /// Print the report as JSON
        #[bpaf(long)]
        json: bool,
    },
    /// Measure one thing and print a table
    #[bpaf(command)]
    Experiment {
        /// Seed of everything that is drawn
        #[bpaf(long, argument("SEED"), fallback(1))]
        seed: u64,
        /// How to print: text, csv or json
        #[bpaf(long, argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        /// resume, claims, crashes, overload, config, control, spread, idle, sizes,
        /// placement or losses
        #[bpaf(positional("NAME"))]
        name: ExperimentName,
    },
    /// Run a stand-in for an outside system
    #[bpaf(command("stand-in"))]
    StandIn {
        #[bpaf(external(stand_in_args))]
        stand_in: StandInArgs,
    },
}

/// How to reach a node as an operator.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct OperatorArgs {
    /// Operator address of any node
    #[bpaf(long, argument("ADDRESS"))]
    pub(crate) node: SocketAddr,
    /// The operator's key
    #[bpaf(long, argument("KEY"), env("ZINNIAWING_OPERATOR_KEY"))]
    pub(crate) key: String,
    /// Print JSON
    #[bpaf(long)]
    pub(crate) json: bool,
}

/// What a caller wants.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CallArgs {
    /// Caller address of a node; give several to be safe against its loss
    #[bpaf(long, argument("ADDRESS"), some("at least one --node is needed"))]
    pub(crate) node: Vec<SocketAddr>,
    /// The customer's key
    #[bpaf(long, argument("KEY"), env("ZINNIAWING_KEY"))]
    pub(crate) key: String,
    /// Kind of caller
    #[bpaf(long, argument("KIND"), fallback("default".to_owned()))]
    pub(crate) kind: String,
    /// Model
    #[bpaf(long, argument("MODEL"))]
    pub(crate) model: String,
    /// Tokens
    #[bpaf(long, argument("COUNT"), fallback(100))]
    pub(crate) tokens: u64,
    /// Do not bring the text along when resuming at another node
    #[bpaf(long)]
    pub(crate) without_text: bool,
    /// Print JSON
    #[bpaf(long)]
    pub(crate) json: bool,
    /// Prompt
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
        /// Streams that generate at once
        #[bpaf(long, argument("COUNT"), fallback(32))]
        slots: u32,
        /// Model held from the start, as NAME@VERSION; may be repeated
        #[bpaf(long, argument("MODEL"))]
        model: Vec<String>,
        /// Carry out orders whatever their fence
        #[bpaf(long)]
        ignores_fence: bool,
    },
    /// A plain service whose calls may not be repeated
    #[bpaf(command)]
    Service {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"))]
        listen: SocketAddr,
    },
}

/// How a table is printed.
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
            _ => Err(format!("'{text}' is none of text, csv, json")),
        }
    }
}

/// An experiment by its name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExperimentName(pub(crate) Experiment);

impl FromStr for ExperimentName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let experiment = match text {
            "resume" => Experiment::Resume,
            "claims" => Experiment::Claims,
            "crashes" => Experiment::Crashes,
            "overload" => Experiment::Overload,
            "config" => Experiment::Config,
            "control" => Experiment::Control,
            "spread" => Experiment::Spread,
            "idle" => Experiment::Idle,
            "sizes" => Experiment::Sizes,
            "placement" => Experiment::Placement,
            "losses" => Experiment::Losses,
            _ => return Err(format!("there is no experiment '{text}'")),
        };
        Ok(Self(experiment))
    }
}
