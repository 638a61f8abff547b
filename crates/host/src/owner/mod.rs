//! The owner's role: queues before searchers, and the slots behind them.

mod control;
mod job;
mod queue;
mod registry;
mod slot;

pub use registry::Owner;
pub use slot::LATE_REPLY_TIMEOUT;
