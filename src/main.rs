//! Parses the command line, runs what it asks for, and prints the outcome.

mod cli;
mod command;

use std::process::ExitCode;

use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};

#[tokio::main]
async fn main() -> ExitCode {
    let command = cli::command().run();
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    let level = LevelFilter::Info;
    // A second logger is the only failure, and there is none.
    let _ = TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never);
    match command::run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit_code()
        }
    }
}
