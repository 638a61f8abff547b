//! Settings of an entry host's process.

mod model;
#[cfg(test)]
mod tests;

pub use model::Drain;
pub use model::Limits;
pub use model::Listen;
pub use model::LogLevel;
pub use model::Settings;
