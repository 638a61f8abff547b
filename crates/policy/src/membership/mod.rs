//! Which entry hosts are alive, by probes and gossip.

mod fact;
mod table;
#[cfg(test)]
mod tests;

pub use fact::HostFact;
pub use fact::HostState;
pub use fact::WHOLE_CORE;
pub use table::Change;
pub use table::MemberTable;
