//! Which searchers hold which shards of which snapshots.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::CollectionName;
use crate::ids::DocumentCount;
use crate::ids::FirmName;
use crate::ids::SearcherId;
use crate::ids::ShardId;
use crate::ids::SnapshotId;
use crate::ids::ZoneId;

/// One searcher and its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearcherSpec {
    /// Name of the searcher.
    pub id: SearcherId,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// One shard of a snapshot: the keys whose hash is in a closed range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardSpec {
    /// Number of the shard.
    pub id: ShardId,
    /// Lowest key hash.
    pub first_hash: u32,
    /// Highest key hash.
    pub last_hash: u32,
    /// Documents in the shard.
    pub documents: DocumentCount,
    /// Documents by former firm.
    pub firms: BTreeMap<FirmName, DocumentCount>,
    /// Searchers that hold a replica.
    pub replicas: Vec<SearcherId>,
}

/// One snapshot: shards that tile the whole range of key hashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SnapshotSpec {
    /// Shards in order of their lowest hash.
    pub shards: Vec<ShardSpec>,
}

impl SnapshotSpec {
    /// Returns the documents of the whole snapshot.
    pub fn documents(&self) -> DocumentCount {
        self.shards.iter().map(|s| s.documents).sum()
    }

    /// Returns the shard that holds the key with this hash.
    pub fn shard_of(&self, hash: u32) -> Option<&ShardSpec> {
        let after = self.shards.partition_point(|s| s.first_hash <= hash);
        let shard = self.shards.get(after.checked_sub(1)?)?;
        (hash <= shard.last_hash).then_some(shard)
    }
}

/// The snapshots of one collection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CollectionLayout {
    /// Snapshots by number.
    pub snapshots: BTreeMap<SnapshotId, SnapshotSpec>,
}

/// The whole layout in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Layout {
    /// Searchers by name.
    pub searchers: BTreeMap<SearcherId, SearcherSpec>,
    /// Collections by name.
    pub collections: BTreeMap<CollectionName, CollectionLayout>,
}
