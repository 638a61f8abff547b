//! The searchers: which there are, what was observed of them, and their connections.

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
