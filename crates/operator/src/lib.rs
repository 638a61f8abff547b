//! The protocol between an entry host and its operators.

mod client;
mod paths;
pub mod wire;

pub use client::OperatorClient;
pub use client::OperatorError;
pub use paths::DRAIN_PATH;
pub use paths::EXPLAIN_PATH;
pub use paths::METRICS_PATH;
pub use paths::READY_PATH;
pub use paths::STATUS_PATH;
