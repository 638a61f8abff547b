//! The draw of a query, which is the same at every shard.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// A number from 0.0 to 1.0 drawn from the identity of a query.
///
/// An owner admits a query when its draw is below the admitted share of its rank. Since every
/// owner sees the same draw, owners under like load shed the same queries, and the others keep
/// all their shards.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Draw(f64);

impl Draw {
    /// The draw that is admitted at any share above zero.
    pub const LOWEST: Self = Self(0.0);

    /// Draws for the query with this identity.
    pub fn from_request_id(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64)
    }

    /// Returns whether the draw is below an admitted share.
    pub fn is_below(self, share: f64) -> bool {
        self.0 < share
    }
}
