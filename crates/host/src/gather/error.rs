//! Why a request got no answer.

use std::time::Duration;

use galenaloft_policy::verdict::Verdict;
use quick_error::quick_error;

/// Earliest useful retry after a condition that passes by itself.
const RETRY_AFTER: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a request got no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// The host does not know yet what is in force.
        NotReady {
            display("the host does not know yet which sheet and layout are in force")
        }
        /// The host has too many requests in progress.
        Overloaded {
            display("the host has too many requests in progress")
        }
        /// More work came than the searchers can serve, and this query was not drawn.
        Shed {
            display("more requests of this rank come than the searchers can serve")
        }
        /// The sheet has no such kind.
        UnknownKind(kind: String) {
            display("the sheet in force has no kind `{}`", kind)
        }
        /// The kind is for another operation.
        WrongOperation(kind: String) {
            display("kind `{}` is for another operation", kind)
        }
        /// The layout has no snapshot of the kind's collection.
        NoSnapshot(collection: String) {
            display("the layout in force has no snapshot of collection `{}`", collection)
        }
        /// Every attempt failed.
        Failed(verdict: Verdict, why: String) {
            display("no shard answered: {}", why)
        }
    }
}

impl RequestError {
    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Failed(verdict, _) => *verdict,
            _ => Verdict::NotRun,
        }
    }

    /// Returns the HTTP status that tells of the error.
    pub fn status(&self) -> u16 {
        match self {
            Self::UnknownKind(_) | Self::WrongOperation(_) => 400,
            Self::NotReady | Self::Overloaded | Self::Shed | Self::NoSnapshot(_) => 503,
            Self::Failed(Verdict::NotRun, _) => 503,
            Self::Failed(..) => 504,
        }
    }

    /// Returns the earliest useful retry, or zero when a retry would not help.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::UnknownKind(_) | Self::WrongOperation(_) => Duration::ZERO,
            Self::NotReady
            | Self::Overloaded
            | Self::Shed
            | Self::NoSnapshot(_)
            | Self::Failed(..) => RETRY_AFTER,
        }
    }
}
