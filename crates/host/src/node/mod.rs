//! One entry host: its state, its background tasks and its planned stop.

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
