//! The protocol between an entry host and a searcher.
//!
//! An attempt is `POST /v1/attempts` with a binary protobuf body. Status 200 means that the attempt
//! ran, and 400, 404, 409, 429 and 503 mean that it did not start. Status 499 means that it was
//! cancelled; the header `galenaloft-began` says whether it had started. With any other status the
//! attempt may have run.

mod client;
mod convert;
mod paths;
#[cfg(test)]
mod tests;
pub mod wire;

pub use client::HttpConnector;
pub use client::SearcherClient;
pub use convert::RanReply;
pub use convert::read_refusal;
pub use convert::read_reply;
pub use convert::request_to_wire;
pub use paths::ATTEMPTS_PATH;
pub use paths::BEGAN_HEADER;
pub use paths::CANCELLED_STATUS;
pub use paths::HEALTH_PATH;
pub use paths::PROTOBUF;
