//! What one attempt asks of one searcher.

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

/// What a searcher does with a shard.
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
    /// Returns whether a second run has no further effect.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Search | Self::Fetch => true,
            Self::Submit => false,
        }
    }
}

/// One attempt of one request on one shard, as sent to the searcher's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Unique among all attempts of all hosts.
    pub attempt: AttemptId,
    /// The searcher that shall run it.
    pub searcher: SearcherId,
    /// What to do.
    pub operation: Operation,
    /// Kind of work, for metrics and logs.
    pub kind: KindName,
    /// Urgency in the searcher's queue.
    pub rank: Rank,
    /// Draw of the query that it belongs to.
    pub draw: Draw,
    /// Collection to read or write.
    pub collection: CollectionName,
    /// The one snapshot that may answer.
    pub snapshot: SnapshotId,
    /// The shard of that snapshot.
    pub shard: ShardId,
    /// Query text, or the key of a fetch or submission.
    pub text: String,
    /// Body of a submission.
    pub body: String,
    /// Most entries wanted.
    pub limit: u32,
    /// Time left until the result is useless.
    pub time_left: Duration,
}
