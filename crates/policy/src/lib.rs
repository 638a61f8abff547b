//! Decision logic of the query tier: routing, queueing, coverage, tickets, membership, revisions.
//!
//! No function here reads the clock or the network. The current time is passed in as an argument,
//! so that each decision can be tested in isolation.

pub mod admission;
pub mod attempt;
pub mod catalogue;
pub mod catch_up;
pub mod directory;
pub mod evacuation;
pub mod gathering;
pub mod heartbeat;
pub mod ids;
pub mod membership;
pub mod memory;
pub mod notice;
pub mod quarantine;
pub mod queue;
pub mod read_schedule;
pub mod readiness;
pub mod revision;
pub mod route;
pub mod routing;
pub mod store_position;
pub mod ticket;
pub mod verdict;
