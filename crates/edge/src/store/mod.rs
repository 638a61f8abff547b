//! Keeping up with the platform's store, by reading it and by updates from other hosts.

mod reader;

pub use reader::PeerNotice;
pub use reader::follow;
