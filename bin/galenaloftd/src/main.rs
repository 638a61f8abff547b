//! The daemon of an entry host.

mod cli;
mod error;
mod options;
mod serve;

use std::process::ExitCode;

use mimalloc::MiMalloc;

use crate::error::DaemonError;
use crate::options::Mode;
use crate::options::Options;

/// Attempts allocate and free on different threads, which this allocator makes cheap.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("galenaloftd: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode, DaemonError> {
    let options = Options::from_flags(&cli::Galenaloftd::from_env_or_exit())?;
    match options.mode {
        Mode::Check => {
            println!("The settings of host {} are valid.", options.settings.host);
            Ok(ExitCode::SUCCESS)
        }
        Mode::Serve => serve::serve(options.settings),
    }
}
