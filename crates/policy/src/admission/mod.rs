//! Shedding that is consistent across shards.

mod controller;
mod draw;
#[cfg(test)]
mod tests;
mod told;

pub use controller::AdmissionController;
pub use draw::Draw;
pub use told::ToldShare;
