//! The stand-in as a program.

mod cli;

use std::process::ExitCode;

use galenaloft_standin::Options;
use galenaloft_standin::StandinError;

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
    let flags = cli::GalenaloftStandin::from_env_or_exit();
    let options = Options::load(&flags.scene, flags.seconds)?;
    galenaloft_standin::run(options)
}
