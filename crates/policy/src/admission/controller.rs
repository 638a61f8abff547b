//! The admitted share of each rank at one searcher, steered by how long its work waits.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::admission::Draw;
use crate::ids::Rank;

/// How often the admitted share changes.
pub(super) const INTERVAL: Duration = Duration::from_millis(100);

/// Longest mean wait in the queue, as a share of the time that the work has in all, before less is
/// admitted.
const TARGET_WAIT: f64 = 0.25;

/// Factor of the admitted share after an interval in which the mean wait was too long.
const DECREASE: f64 = 0.85;

/// Factor of the admitted share after any other interval.
pub(super) const INCREASE: f64 = 1.05;

/// Factor by which work beyond the admitted share is still taken. Entry hosts refuse whole queries
/// by the share itself; refusing the shards of a query that they let through wastes the others.
const TOLERANCE: f64 = 1.5;

/// Least admitted share, so that a rank is never shut out wholly.
const MIN_SHARE: f64 = 0.005;

#[derive(Debug)]
struct Lane {
    share: f64,
    /// Sum of the waits of this interval, each as a share of the time in all.
    waits: f64,
    /// Number of those waits.
    count: u32,
    since: Instant,
}

/// Admitted shares of the ranks at one searcher.
///
/// Each rank is steered by its own waits. The queue gives each rank its floor, so that a flood of
/// one rank lengthens the waits of that rank and lowers its own share first.
#[derive(Debug, Default)]
pub struct AdmissionController {
    lanes: BTreeMap<Rank, Lane>,
}

impl AdmissionController {
    /// Notes that work of a rank left the queue after `wait`, of `in_all` that it had.
    pub fn note_wait(&mut self, rank: Rank, wait: Duration, in_all: Duration, now: Instant) {
        let ratio = wait.as_secs_f64() / in_all.as_secs_f64().max(1e-3);
        let lane = self.lane(rank, now);
        lane.waits += ratio;
        lane.count += 1;
        lane.turn(now);
    }

    /// Returns the admitted share of a rank, from 0.0 to 1.0.
    pub fn share(&mut self, rank: Rank, now: Instant) -> f64 {
        let lane = self.lane(rank, now);
        lane.turn(now);
        lane.share
    }

    /// Returns whether work of a rank is taken, somewhat beyond the admitted share.
    pub fn accepts(&mut self, rank: Rank, draw: Draw, now: Instant) -> bool {
        draw.is_below(self.share(rank, now) * TOLERANCE)
    }

    fn lane(&mut self, rank: Rank, now: Instant) -> &mut Lane {
        let new = || Lane { share: 1.0, waits: 0.0, count: 0, since: now };
        self.lanes.entry(rank).or_insert_with(new)
    }
}

impl Lane {
    /// Ends every interval that has passed.
    fn turn(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.since);
        let intervals = (passed.as_secs_f64() / INTERVAL.as_secs_f64()).floor();
        if intervals < 1.0 {
            return;
        }
        self.since = now;
        let too_long = self.waits > TARGET_WAIT * f64::from(self.count);
        self.waits = 0.0;
        self.count = 0;
        self.share = match too_long {
            true => (self.share * DECREASE).max(MIN_SHARE),
            false => (self.share * INCREASE.powf(intervals)).min(1.0),
        };
    }
}
