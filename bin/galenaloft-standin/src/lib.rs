//! Stand-in for what surrounds the query tier: searchers, configuration service and host list.

mod catalogue;
mod error;
mod options;
mod platform;
mod run;
mod searcher;

pub use error::StandinError;
pub use options::Options;
pub use run::play;
pub use run::run;
