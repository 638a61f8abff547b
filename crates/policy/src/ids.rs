//! Identifiers and units shared by all crates.

use std::sync::Arc;

/// Name of an entry or edge host, unique among the live hosts.
pub type HostId = Arc<str>;

/// Name of a searcher, unique within the layout.
pub type SearcherId = Arc<str>;

/// Name of an availability zone.
pub type ZoneId = Arc<str>;

/// Name of a kind of work in the sheet, the value in which operators publish their policies.
pub type KindName = Arc<str>;

/// Name of a collection in the layout.
pub type CollectionName = Arc<str>;

/// Name of a former firm whose entries are in the catalogue.
pub type FirmName = Arc<str>;

/// Number of a shard within one snapshot.
pub type ShardId = u32;

/// Number of a snapshot; a newer snapshot has a greater number.
pub type SnapshotId = u32;

/// Version that the platform gave a published value; a newer value has a greater version.
pub type Revision = u32;

/// Random identifier of one run of a process; a restart gets a new one.
pub type Incarnation = u64;

/// Identity of one attempt to run a request on a shard.
pub type AttemptId = u64;

/// A number of catalogue documents.
pub type DocumentCount = u32;

/// Urgency of work; rank 1 is the most urgent.
pub type Rank = u8;

/// Name of a route in the configuration.
pub type RouteName = Arc<str>;

/// Name of a service. A route that queries many shards treats each shard as a service.
pub type ServiceId = Arc<str>;

/// Version of the operator's configuration; a newer configuration has a greater version.
pub type ConfigVersion = u64;

/// Start time of a searcher, in Unix milliseconds; identifies one process of the searcher.
pub type SearcherStartTime = u64;

/// Era of the platform's store, which rises each time the store comes back from a copy; 0 for a store
/// that names none.
pub type StoreEra = u32;

/// Revision of the platform's store, which grows with each change within one era.
pub type StoreRevision = u64;

/// Requests a second.
pub type RequestRate = f64;

/// CPU capacity of a host, in thousandths of a core of nominal speed.
pub type Capacity = u32;
