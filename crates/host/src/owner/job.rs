//! An attempt on its way through a queue.

use std::time::Instant;

use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::attempt::ShardResult;
use tokio::sync::oneshot;

/// Result of an attempt.
pub type AttemptResult = Result<ShardResult, AttemptFailure>;

/// Where the result of an attempt goes.
pub type ResultSender = oneshot::Sender<AttemptResult>;

/// An attempt that waits for a slot.
#[derive(Debug)]
pub struct Job {
    /// What to send.
    pub req: AttemptRequest,
    /// When it came.
    pub arrived: Instant,
    /// When its result is useless.
    pub deadline: Instant,
    /// Where the result goes; closed when nobody wants it any more.
    pub tx: ResultSender,
}

impl Job {
    /// Ends the job as not run.
    pub fn refuse(self, reason: FailureReason) {
        // The receiver may be gone, which is no loss.
        let _ = self.tx.send(Err(AttemptFailure::not_run(reason)));
    }
}
