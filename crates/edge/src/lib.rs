//! The edge host: answers callers on the users' platform by querying the searchers that the
//! platform's store lists.
//!
//! A request goes through `api` (the HTTP interface for callers), `query` (sends it to one searcher
//! of a service or of each shard, to some of them through another host) and `searchers` (selects a
//! searcher and pools connections).
//! `store` keeps the configuration and the list of searchers up to date; `peers` shares both with
//! the other edge hosts.

mod api;
mod error;
mod evacuation;
mod host;
mod peers;
mod probe;
mod query;
mod readiness;
mod searchers;
mod serve;
mod store;

pub use error::ServeError;
pub use serve::serve;
