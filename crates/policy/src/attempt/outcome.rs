//! What became of one attempt.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Entry;
use crate::ids::DocumentCount;
use crate::ids::ShardId;
use crate::ids::SnapshotId;
use crate::verdict::Verdict;

/// Result of an attempt that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardResult {
    /// Snapshot that answered.
    pub snapshot: SnapshotId,
    /// Shard that answered.
    pub shard: ShardId,
    /// Documents of the shard that the searcher covered.
    pub documents: DocumentCount,
    /// Matching documents, of which `entries` are the best.
    pub total_hits: u32,
    /// Best matches, highest score first.
    pub entries: Vec<Entry>,
    /// Receipt of a submission, empty otherwise.
    pub receipt: String,
}

/// Why an attempt gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureReason {
    /// The searcher refused the connection or could not be reached.
    ConnectFailed,
    /// The time was up before the attempt was sent.
    Expired,
    /// The searcher's queue was full.
    QueueFull,
    /// More work came than the searcher can serve, and this query was not drawn.
    Shed,
    /// The searcher refused before it began.
    Refused(String),
    /// The searcher does not hold the snapshot; it holds these.
    WrongSnapshot(Vec<SnapshotId>),
    /// The searcher is leaving and takes no new work.
    Draining,
    /// The connection ended with the attempt on it.
    ConnectionLost,
    /// No reply within the deadline.
    TimedOut,
    /// The sender withdrew the attempt.
    Cancelled,
    /// The owner's host did not answer.
    PeerLost,
    /// The reply was malformed or belonged to another request.
    BadReply(String),
    /// No host or replica was available.
    NoReplica,
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectFailed => f.write_str("connect failed"),
            Self::Expired => f.write_str("deadline passed before it was sent"),
            Self::QueueFull => f.write_str("queue full"),
            Self::Shed => f.write_str("shed under load"),
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::WrongSnapshot(held) => write!(f, "snapshot not held, only {held:?}"),
            Self::Draining => f.write_str("searcher is draining"),
            Self::ConnectionLost => f.write_str("connection lost"),
            Self::TimedOut => f.write_str("timed out"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::PeerLost => f.write_str("owner host lost"),
            Self::BadReply(why) => write!(f, "bad reply: {why}"),
            Self::NoReplica => f.write_str("no replica available"),
        }
    }
}

/// A failed attempt, and whether it may have run all the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptFailure {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub reason: FailureReason,
}

impl AttemptFailure {
    /// A failure before the searcher could begin.
    pub fn not_run(reason: FailureReason) -> Self {
        Self { verdict: Verdict::NotRun, reason }
    }

    /// A failure after which nobody knows whether the searcher ran the attempt.
    pub fn may_have_run(reason: FailureReason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason }
    }
}

/// The outcome of an attempt, with what its owner admits at present.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptReply {
    /// The result, or why there is none.
    pub result: Result<ShardResult, AttemptFailure>,
    /// Admitted share of the attempt's rank at its searcher, from 0.0 to 1.0.
    pub admitted: f64,
}
