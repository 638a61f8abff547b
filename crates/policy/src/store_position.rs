//! Points in the history of the platform's store.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::StoreEra;
use crate::ids::StoreRevision;

/// A point in the history of the platform's store.
///
/// A store that came back from a copy gives its revisions out again, in the next era. All positions of
/// an era are after those of earlier ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StorePosition {
    /// Era of the store.
    pub era: StoreEra,
    /// Revision within that era.
    pub revision: StoreRevision,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
