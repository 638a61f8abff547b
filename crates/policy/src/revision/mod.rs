//! Which published value is in force.

mod in_force;
mod stamp;
#[cfg(test)]
mod tests;

pub use in_force::InForce;
pub use in_force::Offer;
pub use stamp::Stamp;
