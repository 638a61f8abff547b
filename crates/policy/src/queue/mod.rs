//! Queue of the work that waits for one searcher.

mod rank_queue;
#[cfg(test)]
mod tests;

pub use rank_queue::Popped;
pub use rank_queue::RankQueue;
