//! Which published value is in force.

mod current;
mod stamp;
#[cfg(test)]
mod tests;

pub use current::CurrentValue;
pub use current::OfferOutcome;
pub use stamp::Stamp;
