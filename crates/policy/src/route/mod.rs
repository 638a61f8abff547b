//! The operator's configuration: which service answers which request.

mod configuration;
mod split;
#[cfg(test)]
mod tests;

pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use configuration::Gather;
pub use configuration::Route;
pub use configuration::ServiceSpec;
pub use configuration::Target;
pub use configuration::WeightedService;
pub use split::Split;
