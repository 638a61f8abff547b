//! The outcome of one attempt.

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
    /// Number of documents of the shard that the searcher searched.
    pub documents: DocumentCount,
    /// Number of matching documents, of which `entries` are the best.
    pub total_hits: u32,
    /// Best matches, highest score first.
    pub entries: Vec<Entry>,
    /// Receipt of a submission; empty for other operations.
    pub receipt: String,
}

/// Why an attempt failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureReason {
    /// The searcher refused the connection or could not be reached.
    ConnectFailed,
    /// The deadline passed before the attempt was sent.
    Expired,
    /// The searcher's queue was full.
    QueueFull,
    /// The searcher is overloaded, and the draw of this query is not below the admitted share.
    Shed,
    /// The searcher refused the attempt before running it, with this reason.
    Refused(String),
    /// The searcher does not hold the requested snapshot, only these.
    WrongSnapshot(Vec<SnapshotId>),
    /// The searcher is leaving and accepts no new work.
    Draining,
    /// The connection closed while the attempt was in progress.
    ConnectionLost,
    /// No reply arrived before the deadline.
    TimedOut,
    /// The sender cancelled the attempt.
    Cancelled,
    /// The host that owns the searcher did not answer.
    PeerLost,
    /// The reply was malformed or belonged to another request.
    BadReply(String),
    /// No host or replica could run the attempt.
    NoReplica,
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectFailed => f.write_str("connect failed"),
            Self::Expired => f.write_str("deadline passed before the attempt was sent"),
            Self::QueueFull => f.write_str("queue full"),
            Self::Shed => f.write_str("shed under load"),
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::WrongSnapshot(held) => write!(f, "snapshot not held; searcher holds {held:?}"),
            Self::Draining => f.write_str("searcher is draining"),
            Self::ConnectionLost => f.write_str("connection lost"),
            Self::TimedOut => f.write_str("timed out"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::PeerLost => f.write_str("owner host did not answer"),
            Self::BadReply(why) => write!(f, "bad reply: {why}"),
            Self::NoReplica => f.write_str("no host or replica available"),
        }
    }
}

/// A failed attempt, and whether the searcher may have run it nevertheless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptFailure {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Why the attempt failed.
    pub reason: FailureReason,
}

impl AttemptFailure {
    /// Creates a failure of an attempt that the searcher has not run.
    pub fn not_run(reason: FailureReason) -> Self {
        Self { verdict: Verdict::NotRun, reason }
    }

    /// Creates a failure of an attempt that the searcher may or may not have run.
    pub fn may_have_run(reason: FailureReason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason }
    }
}

/// The outcome of an attempt, with the share of work that the searcher's owner (the host that
/// schedules its work) currently admits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptReply {
    /// The result, or why there is none.
    pub result: Result<ShardResult, AttemptFailure>,
    /// Admitted share of the attempt's rank at its searcher, from 0.0 to 1.0.
    pub admitted: f64,
}
