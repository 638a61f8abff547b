//! Layout: which searchers hold which shards of which snapshots.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::CollectionName;
use crate::ids::DocumentCount;
use crate::ids::FirmName;
use crate::ids::SearcherId;
use crate::ids::ShardId;
use crate::ids::SnapshotId;
use crate::ids::ZoneId;

/// A searcher and its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearcherSpec {
    /// Name of the searcher.
    pub id: SearcherId,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
}

/// A shard of a snapshot. It holds the keys whose hash is in a range, both ends inclusive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardSpec {
    /// Number of the shard.
    pub id: ShardId,
    /// Lowest key hash.
    pub first_hash: u32,
    /// Highest key hash.
    pub last_hash: u32,
    /// Number of documents in the shard.
    pub documents: DocumentCount,
    /// Number of documents by former firm.
    pub firms: BTreeMap<FirmName, DocumentCount>,
    /// Searchers that hold a replica of the shard.
    pub replicas: Vec<SearcherId>,
}

/// A snapshot. Its shards cover the whole range of key hashes without overlap.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SnapshotSpec {
    /// Shards in order of their lowest hash.
    pub shards: Vec<ShardSpec>,
}

impl SnapshotSpec {
    /// Returns the number of documents in the snapshot.
    pub fn documents(&self) -> DocumentCount {
        self.shards.iter().map(|s| s.documents).sum()
    }

    /// Returns the shard that holds the key with this hash, or `None` if the range of no shard
    /// includes it, as in an empty snapshot.
    pub fn shard_of(&self, hash: u32) -> Option<&ShardSpec> {
        let next = self.shards.partition_point(|s| s.first_hash <= hash);
        let shard = self.shards.get(next.checked_sub(1)?)?;
        (hash <= shard.last_hash).then_some(shard)
    }
}

/// The snapshots of one collection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CollectionLayout {
    /// Snapshots by number.
    pub snapshots: BTreeMap<SnapshotId, SnapshotSpec>,
}

/// The searchers and the collections that they hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Layout {
    /// Searchers by name.
    pub searchers: BTreeMap<SearcherId, SearcherSpec>,
    /// Collections by name.
    pub collections: BTreeMap<CollectionName, CollectionLayout>,
}
