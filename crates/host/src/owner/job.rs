//! An attempt that waits in a queue.

use std::time::Instant;

use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::attempt::ShardResult;
use tokio::sync::oneshot;

/// Result of an attempt.
pub type AttemptResult = Result<ShardResult, AttemptFailure>;

/// Channel that takes the result of an attempt.
pub type ResultSender = oneshot::Sender<AttemptResult>;

/// An attempt that waits for a slot.
#[derive(Debug)]
pub struct Job {
    /// The request to send to the searcher.
    pub req: AttemptRequest,
    /// When the attempt arrived.
    pub arrived: Instant,
    /// When the result stops being useful.
    pub deadline: Instant,
    /// Takes the result; closed once the requester no longer waits for it.
    pub tx: ResultSender,
}

impl Job {
    /// Ends the job as not run, with this reason.
    pub fn refuse(self, reason: FailureReason) {
        // Sending fails if the requester no longer waits, and then nobody needs the result.
        let _ = self.tx.send(Err(AttemptFailure::not_run(reason)));
    }
}
