//! An entry host: answers the requests of callers by querying shards, and schedules the slots of
//! searchers.

pub mod api;
mod gather;
mod gossip;
pub mod network;
mod node;
mod owner;
mod publish;
mod submit;

pub use node::Identity;
pub use node::Node;
pub use node::Phase;
pub use node::serve_peer;
pub use node::serve_peers;
