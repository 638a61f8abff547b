//! The protocol between entry hosts, over tarpc.

mod connector;
mod links;
mod messages;
mod service;

pub use connector::Connector;
pub use connector::TcpConnector;
pub use links::PeerError;
pub use links::PeerLinks;
pub use messages::Probe;
pub use messages::Published;
pub use messages::PublishedKey;
pub use messages::Stamps;
pub use messages::Submission;
pub use messages::SubmissionReply;
pub use service::Peer;
pub use service::PeerClient;
pub use service::PeerRequest;
pub use service::PeerResponse;

/// Transport that the calls are made of.
pub use tarpc;
