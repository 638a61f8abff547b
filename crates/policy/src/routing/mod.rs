//! Where attempts go: owners, replicas, latency estimates, hedges and retry budgets.

mod estimate;
mod extra;
mod health;
mod hedge;
mod latency;
mod ownership;
mod replica;
mod retry;
mod share;
#[cfg(test)]
mod tests;

pub use estimate::LatencyEstimate;
pub use estimate::RecentLatencies;
pub use extra::ExtraBound;
pub use extra::ExtraBudget;
pub use extra::ExtraShare;
pub use health::ReplicaView;
pub use health::SearcherHealth;
pub use hedge::HedgePolicy;
pub use latency::LatencyWindow;
pub use ownership::owner_of;
pub use ownership::ranking;
pub use replica::ReplicaLoad;
pub use replica::ReplicaTable;
pub use retry::RetryBudget;
pub use share::ConnectionShare;
pub use share::Sharers;
