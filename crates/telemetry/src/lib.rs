//! Logs of one `key=value` line per event, and metrics per kind and rank.

pub mod log;
pub mod metrics;
