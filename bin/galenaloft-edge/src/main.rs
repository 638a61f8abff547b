//! The daemon of an edge host on the users' platform.

mod cli;
mod error;

use std::process::ExitCode;

use galenaloft_config::edge::EdgeSettings;
use galenaloft_telemetry::log;
use galenaloft_telemetry::log::Level;
use tokio::runtime::Builder;

use crate::error::EdgeError;

/// Most log lines of one event name in a second, so that a flood of one event leaves room for the
/// others.
const MAX_LINES_PER_SECOND: u32 = 20;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("galenaloft-edge: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), EdgeError> {
    let flags = cli::GalenaloftEdge::from_env_or_exit();
    let settings = EdgeSettings::load(&flags.settings)?;
    if flags.check {
        println!("The settings of host {} are valid.", settings.host);
        return Ok(());
    }
    log::init_bounded(Level::Info, MAX_LINES_PER_SECOND)?;
    // The hosts have a fraction of one core, so further threads would only cost memory.
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(galenaloft_edge::serve(settings, flags.settings))?;
    Ok(())
}
