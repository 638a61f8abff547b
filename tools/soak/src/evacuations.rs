//! Evacuations of zones: drawn from the seed, and checked.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::SmallRng;

const MS: Duration = Duration::from_millis(1);

/// Time from the store's acknowledgement until nothing more may reach the zone's searchers.
pub(crate) const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// An evacuation of some zone that lasts for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evacuation {
    /// The zone, modulo what there is.
    pub zone: usize,
    /// For how long.
    pub time: Duration,
    /// Whether the key is removed and written again soon after its begin.
    pub flickers: bool,
}

/// An evacuation that took place.
#[derive(Debug, Clone)]
pub struct Evacuated {
    /// The zone.
    pub zone: &'static str,
    /// When the store had the key.
    pub from: Instant,
    /// When the key was removed.
    pub until: Instant,
}

/// Draws the next evacuation.
pub fn draw(rng: &mut SmallRng) -> Evacuation {
    Evacuation {
        zone: rng.random_range(0..usize::from(u16::MAX)),
        time: rng.random_range(200..10_000) * MS,
        flickers: rng.random_range(0..3) == 0,
    }
}

/// Draws the pause before an evacuation; they do not overlap, since each shard has searchers in two
/// zones.
pub fn pause(rng: &mut SmallRng) -> Duration {
    rng.random_range(0..3_000) * MS
}
