//! Requests to searchers: to one searcher of a service, or to one searcher of each shard.

mod admission;
mod attempt;
mod crash_check;
mod gather;
mod group;
mod routed_request;
mod service;
mod shard;

pub use admission::index_name;
pub use gather::scatter_gather;
pub use group::answer_group;
pub use routed_request::RoutedRequest;
pub use service::query_service;

#[cfg(test)]
mod tests;
