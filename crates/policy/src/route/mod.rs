//! The operator's configuration, which maps requests to services.

mod configuration;
#[cfg(test)]
mod tests;
mod weighted_round_robin;

pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use configuration::Gather;
pub use configuration::Route;
pub use configuration::ServiceSpec;
pub use configuration::Target;
pub use configuration::WarmupSpec;
pub use configuration::WeightedService;
pub use weighted_round_robin::WeightedRoundRobin;
