//! The platform that the stand-in plays: configuration service, host list and its own faults.

mod control;
mod service;
mod state;

pub use control::Control;
pub use service::handle;
pub use state::PlatformState;
