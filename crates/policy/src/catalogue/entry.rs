//! One entry of the catalogue.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::FirmName;

/// One entry of the catalogue, as returned by a searcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique key within the collection.
    pub key: String,
    /// Former firm that the entry comes from.
    pub firm: FirmName,
    /// Human-readable title.
    pub title: String,
    /// Relevance; greater is better.
    pub score: u32,
}

/// Returns the hash that assigns a key to a shard: the upper 32 bits of XXH3-64 with seed 0.
pub fn key_hash(key: &str) -> u32 {
    (xxh3_64(key.as_bytes()) >> 32) as u32
}
