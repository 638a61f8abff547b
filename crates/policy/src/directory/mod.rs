//! Directory of the searchers registered in the platform's store.

mod entry;
mod listing;
#[cfg(test)]
mod tests;

pub use entry::SearcherEntry;
pub use entry::SearcherRun;
pub use entry::SearcherState;
pub use listing::Change;
pub use listing::ChangeEffect;
pub use listing::Directory;
pub use listing::RevisionedChange;
