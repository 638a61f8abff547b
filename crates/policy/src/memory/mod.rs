//! Memory that callers hold in one process: what may be read, what is refused, and which connections
//! are closed.

mod budget;
mod holder;

pub use budget::BudgetLimits;
pub use budget::MemoryBudget;
pub use budget::Verdict;
pub use budget::caller_connections;
pub use budget::longest_waiting;
pub use holder::Activity;
pub use holder::ConnectionId;
pub use holder::Eviction;
pub use holder::body_deadline;

#[cfg(test)]
mod tests;
