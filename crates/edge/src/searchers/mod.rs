//! The searchers: the listed ones, their observed health, the connections to them and the choice of
//! one for a request.

mod fleet;
mod lease;
mod searcher;
#[cfg(test)]
mod tests;

pub use fleet::Candidates;
pub use fleet::Choice;
pub use fleet::Fleet;
pub use fleet::Service;
pub use fleet::ZoneScope;
pub use lease::Lease;
pub use searcher::Searcher;
