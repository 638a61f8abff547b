//! Admission of whole requests while the searchers cannot serve all of them.

mod class;
mod controller;
mod host;
mod shares;
#[cfg(test)]
mod tests;

pub use class::Lane;
pub use class::Work;
pub use controller::CapacityController;
pub use controller::PartOutcome;
pub use host::HostAdmission;
pub use shares::RouteShares;
pub use shares::retry_after;
