//! The searchers: which there are, what was observed of them, and their connections.

mod fleet;
mod lease;
mod searcher;
#[cfg(test)]
mod tests;

pub use fleet::Among;
pub use fleet::Choice;
pub use fleet::Fleet;
pub use fleet::Reach;
pub use fleet::Service;
pub use lease::Lease;
pub use searcher::Searcher;
