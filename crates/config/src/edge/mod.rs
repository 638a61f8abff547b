//! Settings of an edge host, which serves callers on the users' platform.

mod model;
#[cfg(test)]
mod tests;

pub use model::EdgeAdmission;
pub use model::EdgeListen;
pub use model::EdgeSettings;
