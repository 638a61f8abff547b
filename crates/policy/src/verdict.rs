//! Whether a request may have been run.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request may have run on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request ran, and its result is known.
    Ran,
    /// The request did not run, and no queue still holds it.
    NotRun,
    /// The request may have run; its result is lost or not yet known.
    MayHaveRun,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        })
    }
}
