//! Checked options of the daemon.

use galenaloft_config::settings::Settings;

use crate::cli::Galenaloftd;
use crate::error::DaemonError;

/// What the daemon shall do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Check the settings and exit.
    Check,
    /// Serve until told to stop.
    Serve,
}

/// Checked options.
#[derive(Debug)]
pub struct Options {
    /// What to do.
    pub mode: Mode,
    /// Settings of the host.
    pub settings: Settings,
}

impl Options {
    /// Checks the command line and the files that it names.
    pub fn from_flags(flags: &Galenaloftd) -> Result<Self, DaemonError> {
        let mode = if flags.check { Mode::Check } else { Mode::Serve };
        Ok(Self { mode, settings: Settings::load(&flags.settings)? })
    }
}
