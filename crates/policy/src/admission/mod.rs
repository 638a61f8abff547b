//! Shedding that is consistent across shards.

mod controller;
mod draw;
#[cfg(test)]
mod tests;

pub use controller::AdmissionController;
pub use draw::Draw;
