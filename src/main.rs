//! The `zinniawing` program: parses the command line, runs the command, and
//! ends with its exit code.

mod cli;
mod command;
mod output;

use std::process::ExitCode;
use std::sync::Arc;

use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode, WriteLogger};
use tokio::runtime::{Builder, Runtime};
use zinniawing::{LogWriter, Metrics};

use crate::cli::Command;

fn main() -> ExitCode {
    let command = cli::command().run();
    let metrics = Arc::new(Metrics::default());
    start_log(&command, &metrics);
    let runtime = match runtime(&command) {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(command::run(command, metrics)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit_code()
        }
    }
}

/// Creates the async runtime of a command. The `edge` command gets a single
/// thread, because its VM has a fraction of one core and further threads would
/// only add overhead; all other commands, also `serve`, get one thread per core.
fn runtime(command: &Command) -> std::io::Result<Runtime> {
    let mut builder = match command {
        Command::Edge { .. } => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

fn start_log(command: &Command, metrics: &Arc<Metrics>) {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    let level = LevelFilter::Info;
    // Fails only if a logger is already installed, and none is at this point.
    let _ = match command {
        Command::Edge { .. } => WriteLogger::init(level, config, LogWriter::start(metrics.clone())),
        _ => TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never),
    };
}
