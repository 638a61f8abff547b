//! The protocol between an entry host and the control plane of the stand-in platform.
//!
//! The control plane is a configuration service, whose values can be read and watched, and a host
//! list, which lags behind the actual state of the hosts. Its HTTP paths and the protobuf package
//! `galenaloft.platform` call it the platform. The adapter to the users' platform is another crate,
//! `galenaloft-adapter`.

mod client;
mod layout;
mod paths;
#[cfg(test)]
mod tests;
pub mod wire;

pub use client::HostListRead;
pub use client::PlatformClient;
pub use client::PlatformError;
pub use client::WatchOutcome;
pub use layout::parse_layout;
pub use paths::CONFIG_PATH;
pub use paths::HOSTS_PATH;
pub use paths::LAYOUT_KEY;
pub use paths::SHEET_KEY;
