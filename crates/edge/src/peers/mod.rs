//! The other edge hosts: membership, sharing of store updates, and queries through aggregators.

mod gossip;
mod limits;
mod members;
mod messages;
mod relay;
mod service;
mod suspects;

pub use gossip::run;
pub use members::Aggregator;
pub use members::MIN_ASSUMED_HOSTS;
pub use members::Peers;
pub use members::capacity;
pub use messages::GroupAdmission;
pub use messages::GroupQuery;
pub use messages::GroupReply;
pub use messages::GroupResult;
pub use messages::GroupShard;
pub use messages::MergedParts;
pub use messages::Report;
pub use messages::StoreUpdate;
pub use messages::StoreView;
pub use relay::GroupFailure;
pub use relay::Relays;
pub use service::serve;
