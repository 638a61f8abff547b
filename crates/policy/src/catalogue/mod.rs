//! The catalogue: entries, layout of shards, coverage of answers and merging of entries.

mod coverage;
mod entry;
mod layout;
mod merge;
mod snapshot;
#[cfg(test)]
mod tests;

pub use coverage::Coverage;
pub use coverage::CoverageCounter;
pub use coverage::Missing;
pub use entry::Entry;
pub use entry::key_hash;
pub use layout::CollectionLayout;
pub use layout::Layout;
pub use layout::SearcherSpec;
pub use layout::ShardSpec;
pub use layout::SnapshotSpec;
pub use merge::EntryMerger;
pub use merge::Spread;
pub use snapshot::choose_snapshot;
