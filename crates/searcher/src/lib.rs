//! The protocol between an entry host and a searcher.
//!
//! An attempt is `POST /v1/attempts` with a binary protobuf body. A status of 200 means that it
//! ran; 400, 404, 409, 429 and 503 mean that it did not begin; 499 that it was cancelled, with the
//! header `galenaloft-began` telling whether it had begun. Any other status may have run.

mod convert;
mod link;
mod paths;
#[cfg(test)]
mod tests;
pub mod wire;

pub use convert::RanReply;
pub use convert::failure_of_refusal;
pub use convert::read_reply;
pub use convert::request_to_wire;
pub use link::HttpLink;
pub use link::HttpSearcher;
pub use paths::ATTEMPTS_PATH;
pub use paths::BEGAN_HEADER;
pub use paths::CANCELLED_STATUS;
pub use paths::HEALTH_PATH;
pub use paths::PROTOBUF;
