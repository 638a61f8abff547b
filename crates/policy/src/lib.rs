//! Decisions of the query tier: routing, queueing, coverage, tickets, membership and revisions.
//!
//! Every function that decides takes the present time as an argument and reads neither the clock
//! nor the network, so that each decision can be tested alone.

pub mod admission;
pub mod attempt;
pub mod catalogue;
pub mod directory;
pub mod gathering;
pub mod heartbeat;
pub mod ids;
pub mod membership;
pub mod quarantine;
pub mod queue;
pub mod read_schedule;
pub mod readiness;
pub mod revision;
pub mod route;
pub mod routing;
pub mod ticket;
pub mod verdict;
