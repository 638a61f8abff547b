//! Identity and order of a published value.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Revision;

/// Version that the platform gave a value, and a hash of the value's text.
///
/// The order is total: if operators publish two texts under one version, every host prefers the
/// same one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Version given by the platform; 0 before any value is known.
    pub revision: Revision,
    /// XXH3-64 of the text.
    pub hash: u64,
}

impl Stamp {
    /// Returns the stamp of a published text.
    pub fn new(revision: Revision, text: &str) -> Self {
        Self { revision, hash: xxh3_64(text.as_bytes()) }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.revision, self.hash)
    }
}
