//! Scatter-gather decisions: which shards and aggregators a query asks, how long it waits for their
//! parts, and how the parts are merged into one answer.

mod admission;
mod aggregators;
mod selection;
#[cfg(test)]
mod tests;
mod top_records;
mod wait_policy;

pub use admission::ShardAccess;
pub use admission::refuse_until;
pub use aggregators::MIN_GROUP_SHARDS;
pub use aggregators::answer_processing_time;
pub use aggregators::distribute_shards;
pub use aggregators::expected_group_time;
pub use aggregators::is_too_wide;
pub use aggregators::select_aggregators;
pub use selection::select_shards;
pub use top_records::TopRecords;
pub use wait_policy::WaitDecision;
pub use wait_policy::WaitPolicy;
