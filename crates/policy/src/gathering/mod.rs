//! One answer from the parts of many shards.

mod patience;
mod records;
mod selection;
#[cfg(test)]
mod tests;

pub use patience::Patience;
pub use patience::Wait;
pub use records::TopRecords;
pub use selection::select_shards;
