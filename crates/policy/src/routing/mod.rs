//! Routing of attempts: owners, replica choice, latency estimates, hedging, retry budgets and
//! shares of connections.

mod connection_share;
mod estimate;
mod extra_requests;
mod health;
mod hedge;
mod latency;
mod load;
mod outstanding;
mod ownership;
mod replica;
mod retry;
#[cfg(test)]
mod tests;

pub use connection_share::ConnectionShare;
pub use connection_share::SharingHosts;
pub use estimate::LatencyEstimate;
pub use estimate::RecentLatencies;
pub use extra_requests::ExtraRequestBudget;
pub use extra_requests::ExtraRequestLimit;
pub use extra_requests::ExtraRequestShare;
pub use health::ExpectedQueue;
pub use health::ReplicaView;
pub use health::SearcherHealth;
pub use hedge::HedgePolicy;
pub use hedge::is_hedge_useful;
pub use latency::LatencyWindow;
pub use outstanding::Urgency;
pub use outstanding::max_outstanding;
pub use ownership::owner_of;
pub use ownership::rank_hosts;
pub use replica::ReplicaLoad;
pub use replica::ReplicaTable;
pub use retry::RetryBudget;
