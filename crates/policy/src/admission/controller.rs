//! The admitted share of each rank at one searcher, steered by how long its work waits.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Rank;

/// How often the admitted share changes.
const INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait in the queue, as a share of the time that the work has in all, before less is
/// admitted.
const TARGET_WAIT: f64 = 0.25;

/// Factor of the admitted share after an interval in which even the shortest wait was too long.
const DECREASE: f64 = 0.85;

/// What is added to the admitted share after any other interval.
const INCREASE: f64 = 0.01;

/// Least admitted share, so that a rank is never shut out wholly.
const MIN_SHARE: f64 = 0.005;

#[derive(Debug)]
struct Lane {
    share: f64,
    /// Shortest wait of this interval, as a share of the time in all; `None` without work.
    shortest: Option<f64>,
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
        lane.shortest = Some(lane.shortest.map_or(ratio, |shortest| shortest.min(ratio)));
        lane.turn(now);
    }

    /// Returns the admitted share of a rank, from 0.0 to 1.0.
    pub fn share(&mut self, rank: Rank, now: Instant) -> f64 {
        let lane = self.lane(rank, now);
        lane.turn(now);
        lane.share
    }

    fn lane(&mut self, rank: Rank, now: Instant) -> &mut Lane {
        let new = || Lane {
            share: 1.0,
            shortest: None,
            since: now,
        };
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
        let too_long = self
            .shortest
            .take()
            .is_some_and(|shortest| shortest > TARGET_WAIT);
        self.share = match too_long {
            true => (self.share * DECREASE).max(MIN_SHARE),
            false => (self.share + INCREASE * intervals).min(1.0),
        };
    }
}
