//! Adaptive load shedding for one searcher: adjusts the admitted share of each rank by queue wait.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::admission::Draw;
use crate::ids::Rank;

/// Minimum interval between two adjustments of an admitted share.
pub(super) const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Mean queue wait above which the admitted share is reduced, as a fraction of the time between
/// arrival and deadline.
const MAX_WAIT_RATIO: f64 = 0.25;

/// Factor applied to the admitted share after an interval whose mean wait was too long.
const DECREASE_FACTOR: f64 = 0.85;

/// Factor applied to the admitted share after any other interval.
pub(super) const INCREASE_FACTOR: f64 = 1.05;

/// A searcher's queue accepts work up to the admitted share times this factor. Entry hosts shed
/// whole queries by the admitted share itself; refusing single shards of a query that they let
/// through would waste the work on its other shards.
const TOLERANCE_FACTOR: f64 = 1.5;

/// Lower bound of the admitted share, so that no rank is shed completely.
const MIN_SHARE: f64 = 0.005;

/// Lower bound of the allowed time, in seconds. Avoids a division by zero for work whose deadline
/// had passed when it arrived.
const MIN_TIME_ALLOWED_SECONDS: f64 = 1e-3;

/// Admitted share of one rank, and the waits measured in the current interval.
#[derive(Debug)]
struct RankState {
    share: f64,
    /// Sum of the waits, each as a fraction of the time that the work was allowed.
    wait_ratio_sum: f64,
    /// Number of waits in the sum.
    wait_count: u32,
    interval_start: Instant,
}

/// Admitted shares of the ranks at one searcher.
///
/// Each rank is adjusted by its own waits only. The queue guarantees each rank its floor, so an
/// overload of one rank lengthens the waits of that rank and reduces its own share first.
#[derive(Debug, Default)]
pub struct AdmissionController {
    ranks: BTreeMap<Rank, RankState>,
}

impl AdmissionController {
    /// Records that work of a rank left the queue after `wait`, out of the `time_allowed` between
    /// its arrival and its deadline.
    pub fn record_wait(
        &mut self,
        rank: Rank,
        wait: Duration,
        time_allowed: Duration,
        now: Instant,
    ) {
        let ratio = wait.as_secs_f64() / time_allowed.as_secs_f64().max(MIN_TIME_ALLOWED_SECONDS);
        let state = self.rank_state(rank, now);
        state.wait_ratio_sum += ratio;
        state.wait_count += 1;
        state.update(now);
    }

    /// Returns the admitted share of a rank, from 0.0 to 1.0.
    pub fn share(&mut self, rank: Rank, now: Instant) -> f64 {
        let state = self.rank_state(rank, now);
        state.update(now);
        state.share
    }

    /// Returns whether the queue accepts work of a rank with this draw. The limit is somewhat above
    /// the admitted share.
    pub fn accepts(&mut self, rank: Rank, draw: Draw, now: Instant) -> bool {
        draw.is_below(self.share(rank, now) * TOLERANCE_FACTOR)
    }

    fn rank_state(&mut self, rank: Rank, now: Instant) -> &mut RankState {
        let new =
            || RankState { share: 1.0, wait_ratio_sum: 0.0, wait_count: 0, interval_start: now };
        self.ranks.entry(rank).or_insert_with(new)
    }
}

impl RankState {
    /// Adjusts the share if at least one interval has passed since the last adjustment.
    ///
    /// A decrease is applied once, however many intervals have passed; an increase is applied once
    /// per interval.
    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.interval_start);
        let intervals = (elapsed.as_secs_f64() / UPDATE_INTERVAL.as_secs_f64()).floor();
        if intervals < 1.0 {
            return;
        }
        self.interval_start = now;
        let too_long = self.wait_ratio_sum > MAX_WAIT_RATIO * f64::from(self.wait_count);
        self.wait_ratio_sum = 0.0;
        self.wait_count = 0;
        self.share = match too_long {
            true => (self.share * DECREASE_FACTOR).max(MIN_SHARE),
            false => (self.share * INCREASE_FACTOR.powf(intervals)).min(1.0),
        };
    }
}
