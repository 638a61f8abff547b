//! The protocol between entry hosts, over tarpc.

mod connections;
mod connector;
mod messages;
mod service;

pub use connections::PeerConnections;
pub use connections::PeerError;
pub use connector::Connector;
pub use connector::TcpConnector;
pub use messages::Probe;
pub use messages::PublishedKey;
pub use messages::PublishedValue;
pub use messages::Stamps;
pub use messages::Submission;
pub use messages::SubmissionReply;
pub use service::Peer;
pub use service::PeerClient;
pub use service::PeerRequest;
pub use service::PeerResponse;

/// The RPC framework of the peer protocol, re-exported for the server side.
pub use tarpc;
