//! Zones whose searchers get no new requests because the operator has evacuated them.

mod state;
#[cfg(test)]
mod tests;

pub use state::Evacuations;
pub use state::ZoneChange;
