//! The searchers: the listed ones, their observed health, the connections to them and the choice of
//! one for a request.

mod fleet;
mod lease;
mod notices;
mod searcher;
mod service;
#[cfg(test)]
mod tests;
mod waiting;

pub use fleet::Fleet;
pub use lease::Lease;
pub use searcher::Searcher;
pub use service::Candidates;
pub use service::Choice;
pub use service::OutstandingBound;
pub use service::Service;
pub use service::ZoneScope;
