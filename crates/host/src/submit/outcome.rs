//! What a submission came to.

use galenaloft_peer::SubmissionReply;
use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::verdict::Verdict;

/// What a submission came to, for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitOutcome {
    /// Whether the ticket's request ran.
    pub verdict: Verdict,
    /// HTTP status that tells of the outcome.
    pub status: u16,
    /// The receipt; empty unless it ran.
    pub receipt: String,
    /// Whether an earlier request of the ticket ran it.
    pub replayed: bool,
    /// Why there is no receipt; empty when it ran.
    pub error: String,
}

impl SubmitOutcome {
    fn failed(verdict: Verdict, status: u16, error: &str) -> Self {
        let (receipt, error) = (String::new(), error.to_owned());
        Self { verdict, status, receipt, replayed: false, error }
    }

    /// The outcome of a ticket that has ended.
    pub fn ended(outcome: StoredOutcome, replayed: bool) -> Self {
        let status = match outcome.verdict {
            Verdict::Ran => 200,
            Verdict::NotRun => 503,
            Verdict::MayHaveRun => 504,
        };
        let StoredOutcome { verdict, receipt, reason: error, .. } = outcome;
        Self { verdict, status, receipt, replayed, error }
    }

    /// What the holder of the ticket replied.
    pub fn of_reply(reply: SubmissionReply) -> Self {
        match reply {
            SubmissionReply::Ended { outcome, replayed } => Self::ended(outcome, replayed),
            SubmissionReply::StillRunning => {
                Self::failed(Verdict::MayHaveRun, 504, "it is still running; repeat the ticket")
            }
            SubmissionReply::OtherRequest => {
                Self::failed(Verdict::NotRun, 409, "the ticket was used for another request")
            }
            SubmissionReply::Expired => {
                Self::failed(Verdict::MayHaveRun, 410, "the ticket is past its life")
            }
            SubmissionReply::Forged => {
                Self::failed(Verdict::NotRun, 400, "no such ticket was issued")
            }
            SubmissionReply::NotHolder => Self::failed(
                Verdict::MayHaveRun,
                504,
                "the host that holds the ticket is lost; it will not run again",
            ),
            SubmissionReply::Full => {
                Self::failed(Verdict::MayHaveRun, 503, "too many tickets are remembered")
            }
        }
    }
}
