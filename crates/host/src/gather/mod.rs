//! The coordinator's work: scatters a request over shards and merges their results.

mod cluster_view;
mod error;
mod explain;
mod fetch;
mod in_flight;
mod kinds;
mod plan;
mod route;
mod search;
mod shard;

pub use cluster_view::ClusterView;
pub use error::RequestError;
pub use explain::ExplainLog;
pub use kinds::KindTable;
pub use plan::Query;
pub use plan::QueryResponse;
pub use route::OwnerCache;
pub use shard::ShardTask;
