//! Selects the current one among published values.

mod current;
mod stamp;
#[cfg(test)]
mod tests;

pub use current::CurrentValue;
pub use current::OfferOutcome;
pub use stamp::Stamp;
