//! Identifiers shared by every package.

use std::sync::Arc;

/// Name of an entry host, unique among the live hosts.
pub type HostId = Arc<str>;

/// Name of a searcher, unique within the layout.
pub type SearcherId = Arc<str>;

/// Name of an availability zone.
pub type ZoneId = Arc<str>;

/// Name of a kind of work in the sheet.
pub type KindName = Arc<str>;

/// Name of a collection in the layout.
pub type CollectionName = Arc<str>;

/// Name of a former firm whose stock is in the catalogue.
pub type FirmName = Arc<str>;

/// Number of a shard within one snapshot.
pub type ShardId = u32;

/// Number of a snapshot; a newer snapshot has a greater number.
pub type SnapshotId = u32;

/// Version of a published value, in the platform's own order.
pub type Revision = u32;

/// Random identity of one run of one process.
pub type Incarnation = u64;

/// Identity of one attempt to run a request on a shard.
pub type AttemptId = u64;

/// Number of catalogue documents.
pub type DocumentCount = u32;

/// Urgency of work: rank 1 goes first.
pub type Rank = u8;

/// Name of a route of the configuration.
pub type RouteName = Arc<str>;

/// Name of a service; each shard of an index is a service.
pub type ServiceId = Arc<str>;

/// Version of the operator's configuration; a newer one is greater.
pub type ConfigVersion = u64;

/// Identity of one start of a searcher: the Unix milliseconds at which it started.
pub type SearcherStartTime = u64;

/// Revision of the platform's store, which grows with each of its changes.
pub type StoreRevision = u64;

/// What a host has of a processor, in thousandths of a core of usual speed.
pub type Capacity = u32;
