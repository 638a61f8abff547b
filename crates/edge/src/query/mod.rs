//! Requests to searchers: one of a service, or one of each shard.

mod attempt;
mod gather;
mod group;
mod plan;
mod shard;
mod single;
mod suspicion;

pub use gather::gather;
pub use group::answer_group;
pub use plan::Plan;
pub use single::single;
