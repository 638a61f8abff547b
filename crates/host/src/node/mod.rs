//! One entry host: its state, background tasks, peer service, status and graceful drain.

mod background;
mod drain;
mod model;
mod peer_service;
mod status;

pub use model::Identity;
pub use model::Node;
pub use model::Phase;
pub use peer_service::serve_peer;
pub use peer_service::serve_peers;
