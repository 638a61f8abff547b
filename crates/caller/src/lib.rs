//! The protocol between callers and an entry host: JSON over HTTP.

mod client;
mod paths;
pub mod wire;

pub use client::CallerClient;
pub use client::CallerError;
pub use paths::DEADLINE_HEADER;
pub use paths::FETCH_PATH;
pub use paths::FILE_PATH;
pub use paths::RESERVE_PATH;
pub use paths::RETRY_AFTER_MS_HEADER;
pub use paths::SEARCH_PATH;
pub use paths::TICKETS_PATH;
pub use paths::VERDICT_HEADER;
