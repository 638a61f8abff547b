//! Shedding that is consistent across shards.

mod controller;
mod draw;
mod gate;
#[cfg(test)]
mod tests;
mod told;

pub use controller::AdmissionController;
pub use draw::Draw;
pub use gate::Gate;
pub use gate::gate;
pub use told::ToldShare;
