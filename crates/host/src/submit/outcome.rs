//! The outcome of a submission.

use galenaloft_peer::SubmissionReply;
use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::verdict::Verdict;

/// The outcome of a submission, as its caller gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitOutcome {
    /// Whether the submission ran.
    pub verdict: Verdict,
    /// HTTP status of the reply.
    pub status: u16,
    /// The receipt; empty unless it ran.
    pub receipt: String,
    /// Whether the outcome is that of an earlier request with the same ticket.
    pub replayed: bool,
    /// Why there is no receipt; empty when it ran.
    pub error: String,
}

impl SubmitOutcome {
    fn failed(verdict: Verdict, status: u16, error: &str) -> Self {
        let (receipt, error) = (String::new(), error.to_owned());
        Self { verdict, status, receipt, replayed: false, error }
    }

    /// Converts the stored outcome of a ticket whose run has ended.
    pub fn from_stored(outcome: StoredOutcome, replayed: bool) -> Self {
        let status = match outcome.verdict {
            Verdict::Ran => 200,
            Verdict::NotRun => 503,
            Verdict::MayHaveRun => 504,
        };
        let StoredOutcome { verdict, receipt, reason: error, .. } = outcome;
        Self { verdict, status, receipt, replayed, error }
    }

    /// Converts the reply of the ticket's holder.
    pub fn from_reply(reply: SubmissionReply) -> Self {
        match reply {
            SubmissionReply::Ended { outcome, replayed } => Self::from_stored(outcome, replayed),
            SubmissionReply::StillRunning => Self::failed(
                Verdict::MayHaveRun,
                504,
                "the submission is still running; retry with the same ticket",
            ),
            SubmissionReply::OtherRequest => {
                Self::failed(Verdict::NotRun, 409, "the ticket was used for another request")
            }
            SubmissionReply::Expired => {
                Self::failed(Verdict::MayHaveRun, 410, "the ticket has expired")
            }
            SubmissionReply::Forged => {
                Self::failed(Verdict::NotRun, 400, "no such ticket was issued")
            }
            SubmissionReply::NotHolder => Self::failed(
                Verdict::MayHaveRun,
                504,
                "the holder of the ticket cannot be reached; the submission ran once or not at all",
            ),
            SubmissionReply::Full => Self::failed(
                Verdict::MayHaveRun,
                503,
                "the host that holds the ticket cannot store the outcome of another submission",
            ),
        }
    }
}
