//! Following the platform's store, directly and by what other hosts read of it.

mod reader;

pub use reader::PeerNotice;
pub use reader::follow;
