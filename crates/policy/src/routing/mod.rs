//! Where attempts go: owners, replicas, latency estimates, hedges and retry budgets.

mod hedge;
mod latency;
mod ownership;
mod replica;
mod retry;
#[cfg(test)]
mod tests;

pub use hedge::HedgePolicy;
pub use latency::LatencyWindow;
pub use ownership::owner_of;
pub use ownership::ranking;
pub use replica::ReplicaLoad;
pub use replica::ReplicaTable;
pub use retry::RetryBudget;
