//! The protocol between an entry host and the platform: configuration that can be read and
//! watched, and a lagging list of hosts.

mod client;
mod layout;
mod paths;
#[cfg(test)]
mod tests;
pub mod wire;

pub use client::ListRead;
pub use client::PlatformClient;
pub use client::PlatformError;
pub use client::Watched;
pub use layout::parse_layout;
pub use paths::CONFIG_PATH;
pub use paths::HOSTS_PATH;
pub use paths::LAYOUT_KEY;
pub use paths::SHEET_KEY;
