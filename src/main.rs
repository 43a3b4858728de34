//! Parses the command line, runs what it asks for, and prints the outcome.

mod cli;
mod command;

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
            eprintln!("no runtime: {error}");
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

/// An entry VM has a part of one core, where more threads only cost.
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
    // A second logger is the only failure, and there is none.
    let _ = match command {
        Command::Edge { .. } => WriteLogger::init(level, config, LogWriter::start(metrics.clone())),
        _ => TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never),
    };
}
