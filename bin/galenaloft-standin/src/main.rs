//! Stand-in for what surrounds the query tier: searchers, configuration service and host list.

mod catalogue;
mod cli;
mod error;
mod options;
mod platform;
mod run;
mod searcher;

use std::process::ExitCode;

use crate::error::StandinError;
use crate::options::Options;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("galenaloft-standin: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), StandinError> {
    let options = Options::from_flags(&cli::GalenaloftStandin::from_env_or_exit())?;
    run::run(options)
}
