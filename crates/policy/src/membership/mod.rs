//! Membership and failure detection of hosts by probes and gossip.

mod fact;
mod table;
#[cfg(test)]
mod tests;
mod zones;

pub use fact::FULL_CORE_CAPACITY;
pub use fact::HostFact;
pub use fact::HostState;
pub use table::MemberTable;
pub use table::StateChange;
pub use zones::ALL_FACTS_ROUNDS;
pub use zones::MAX_HOSTS_WITHOUT_ZONES;
pub use zones::ZoneGossip;
