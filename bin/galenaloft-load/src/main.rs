//! Open-loop load for entry hosts, with latency counted from the intended time of each request.

mod cli;
mod error;
mod load;
mod options;
mod report;

use std::process::ExitCode;

use tokio::runtime::Runtime;

use crate::error::LoadError;
use crate::options::Options;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("galenaloft-load: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), LoadError> {
    let options = Options::from_flags(cli::GalenaloftLoad::from_env_or_exit())?;
    let outcome = Runtime::new()?.block_on(load::run(&options))?;
    print!("{}", report::table(&outcome));
    if let Some(path) = &options.json {
        report::write_json(&outcome, path)?;
    }
    if let Some(path) = &options.plot {
        report::write_plot(&outcome, path)?;
    }
    Ok(())
}
