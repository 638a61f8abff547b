//! One attempt to run a request on one shard, and its outcome.

mod outcome;
mod request;

pub use outcome::AttemptFailure;
pub use outcome::AttemptReply;
pub use outcome::FailureReason;
pub use outcome::ShardResult;
pub use request::AttemptRequest;
pub use request::Operation;
