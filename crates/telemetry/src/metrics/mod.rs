//! Metrics per kind and rank, scraped in the Prometheus text format.

mod recorder;

pub use recorder::AttemptRole;
pub use recorder::Metrics;
