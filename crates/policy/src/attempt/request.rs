//! The request of one attempt to one searcher.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::admission::Draw;
use crate::ids::AttemptId;
use crate::ids::CollectionName;
use crate::ids::KindName;
use crate::ids::Rank;
use crate::ids::SearcherId;
use crate::ids::ShardId;
use crate::ids::SnapshotId;

/// Operation that a searcher runs on a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Find the entries that match a query.
    Search,
    /// Return the entry with one key.
    Fetch,
    /// Record a filing or a reservation; not idempotent.
    Submit,
}

impl Operation {
    /// Returns whether running the operation twice has the same effect as running it once.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Search | Self::Fetch => true,
            Self::Submit => false,
        }
    }
}

/// One attempt of one request on one shard, as sent to the searcher's owner (the host that
/// schedules its work).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Identity of the attempt, unique among the attempts of all hosts.
    pub attempt: AttemptId,
    /// Searcher that runs the attempt.
    pub searcher: SearcherId,
    /// Operation to run.
    pub operation: Operation,
    /// Kind of work, for metrics and logs.
    pub kind: KindName,
    /// Rank in the searcher's queue.
    pub rank: Rank,
    /// Admission draw of the query that the attempt belongs to.
    pub draw: Draw,
    /// Collection to read or write.
    pub collection: CollectionName,
    /// Snapshot to use; the searcher must not answer from any other.
    pub snapshot: SnapshotId,
    /// Shard of that snapshot.
    pub shard: ShardId,
    /// Query text, or the key of a fetch or submission.
    pub text: String,
    /// Body of a submission; empty for other operations.
    pub body: String,
    /// Maximum number of entries to return.
    pub limit: u32,
    /// Time left until the deadline, after which the result has no use.
    pub time_left: Duration,
}
