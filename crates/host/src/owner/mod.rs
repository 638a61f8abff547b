//! The owner of a searcher is the host that schedules its slots. This module has the owner's queues
//! and the connections to the slots.

mod control;
mod job;
mod queue;
mod registry;
mod slot;

pub use registry::Owner;
pub use slot::LATE_REPLY_TIMEOUT;
