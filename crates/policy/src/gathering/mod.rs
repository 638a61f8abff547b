//! One answer from the parts of many shards.

mod patience;
mod records;
mod selection;
mod sharing;
#[cfg(test)]
mod tests;

pub use patience::Patience;
pub use patience::Wait;
pub use records::TopRecords;
pub use selection::select_shards;
pub use sharing::MIN_GROUP;
pub use sharing::answer_time;
pub use sharing::gatherers;
pub use sharing::share_out;
