//! Errors that end a caller's request.

use std::time::Duration;

use galenaloft_policy::verdict::Verdict;
use quick_error::quick_error;

/// Retry-after hint for a temporary condition.
const RETRY_AFTER: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a caller's request failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// The host does not know the current sheet and layout yet: it has just started, or has
        /// resumed after its process was paused.
        NotReady {
            display("the host does not know the current sheet and layout yet")
        }
        /// The host has too many requests in progress.
        Overloaded {
            display("the host has too many requests in progress")
        }
        /// The searchers are overloaded and do not admit this query.
        Shed {
            display("the searchers are overloaded and shed requests of this rank")
        }
        /// The current sheet has no such kind.
        UnknownKind(kind: String) {
            display("the current sheet has no kind `{}`", kind)
        }
        /// The kind does not allow the requested operation.
        WrongOperation(kind: String) {
            display("kind `{}` does not allow this operation", kind)
        }
        /// The current layout has no snapshot of the kind's collection, or no shard for the key.
        NoSnapshot(collection: String) {
            display("the current layout has no snapshot of collection `{}`", collection)
        }
        /// No shard answered. The reason is that of one shard, or that the deadline passed.
        Failed(verdict: Verdict, reason: String) {
            display("no shard answered: {}", reason)
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

    /// Returns the HTTP status of the reply.
    pub fn status(&self) -> u16 {
        match self {
            Self::UnknownKind(_) | Self::WrongOperation(_) => 400,
            Self::NotReady | Self::Overloaded | Self::Shed | Self::NoSnapshot(_) => 503,
            Self::Failed(Verdict::NotRun, _) => 503,
            Self::Failed(..) => 504,
        }
    }

    /// Returns the delay after which to retry, or zero if a retry cannot succeed.
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
