//! The searchers that the platform's store lists.

mod entry;
mod listing;
#[cfg(test)]
mod tests;

pub use entry::SearcherEntry;
pub use entry::SearcherState;
pub use listing::Change;
pub use listing::ChangeEffect;
pub use listing::Directory;
pub use listing::RevisionedChange;
