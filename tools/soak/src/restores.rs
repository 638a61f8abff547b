//! Returns of the store from a copy: drawn from the seed.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

const MS: Duration = Duration::from_millis(1);

/// Greatest number of changes that a return from a copy loses.
const MAX_LOST: u64 = 2_000;

/// The store is away for a while and comes back from a copy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Restore {
    /// How long it is away.
    pub time: Duration,
    /// Number of changes that are lost, as far as there are that many.
    pub lost: u64,
    /// Whether it does not answer while it is away; otherwise it refuses.
    pub silent: bool,
}

/// Draws the next restore: few changes are lost as often as many.
pub fn draw(rng: &mut SmallRng) -> Restore {
    let most = MAX_LOST >> rng.random_range(0..10);
    Restore {
        time: rng.random_range(0..5_000) * MS,
        lost: rng.random_range(0..=most),
        silent: rng.random_bool(0.5),
    }
}

/// Draws the pause before a restore; some follow each other.
pub fn pause(rng: &mut SmallRng) -> Duration {
    rng.random_range(0..8_000) * MS
}
