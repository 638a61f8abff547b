//! The command line of operators and callers.

mod cli;
mod command;
mod error;
mod options;
mod report;

use std::process::ExitCode;

use crate::error::CommandError;
use crate::options::Command;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("galenaloft: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), CommandError> {
    command::execute(Command::from_flags(cli::Galenaloft::from_env_or_exit())?)
}
