//! The admission draw of a query, which is the same at every shard.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// A number from 0.0 to 1.0 derived from the hash of a query's request id.
///
/// The owner of a searcher (the host that schedules its work) admits a query when the draw is below
/// the admitted share of the query's rank. The draw is the same at every owner, so owners under
/// similar load shed the same queries, and the admitted queries keep all of their shards.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Draw(f64);

impl Draw {
    /// The lowest draw, which is admitted at any share above zero.
    pub const LOWEST: Self = Self(0.0);

    /// Returns the draw of the query with this request id.
    pub fn from_request_id(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64)
    }

    /// Returns whether the draw is below an admitted share.
    pub fn is_below(self, share: f64) -> bool {
        self.0 < share
    }

    /// Returns the number.
    pub(super) fn value(self) -> f64 {
        self.0
    }
}
