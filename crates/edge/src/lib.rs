//! The edge host: answers callers on the users' platform from the searchers that it lists.
//!
//! A request passes `front` (the caller's side), `query` (one searcher, or all shards), `searchers`
//! (choice of a searcher, its connections) and back. `store` keeps the configuration and the list
//! of searchers up to date; `peers` shares that with the other hosts.

mod error;
mod front;
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
