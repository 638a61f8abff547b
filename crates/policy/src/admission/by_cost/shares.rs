//! Distribution of capacity over classes of work, and the shares that hosts report to each other.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::admission::Draw;
use crate::admission::by_cost::class::Class;
use crate::admission::by_cost::class::Lane;
use crate::admission::by_cost::class::MAX_COVERAGE;
use crate::ids::RouteName;

/// Share of what a class offers that is always admitted, so that no rank is starved.
pub(super) const MIN_SHARE: f64 = 0.05;

/// Factor by which the admitted work grows in an interval in which the searchers keep up.
pub(super) const GROWTH: f64 = 1.08;

/// Factor by which a reported share is assumed to grow in an interval. A host that asks rarely gets
/// no newer report while it refuses its callers, and full service must be back within 2 s.
const REPORT_GROWTH: f64 = 1.25;

/// Length of an interval.
pub(super) const INTERVAL: Duration = Duration::from_millis(100);

/// Bounds of the time after which a refused caller is told to return. A shorter one would cause
/// the next refusal; after a longer one the flood has ended or the caller has given up.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Weight of the newest interval in the mean of the capacity that is left for a lane. A few queries
/// more or less in an interval must not make an urgent class give way.
const COVERAGE_WEIGHT: f64 = 0.3;

/// Admitted shares of one route at one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteShares {
    /// The route.
    pub route: RouteName,
    /// Admitted share of the requests that are expected to be answered in time.
    pub timely: f64,
    /// Admitted share of the requests that are expected to be late.
    pub late: f64,
}

impl RouteShares {
    /// Returns the share of a lane.
    pub fn share(&self, lane: Lane) -> f64 {
        match lane {
            Lane::Timely => self.timely,
            Lane::Late => self.late,
        }
    }
}

/// Distributes `capacity`, the admitted work in a second, over the classes. Every lane gets its
/// floor; the rest goes to the most urgent rank first, within a rank to the requests that will be
/// in time, and among these to the class with the least work for one answer.
pub(super) fn distribute(classes: &mut [Class], capacity: f64, was_limited: bool) {
    let has_work = |class: &&Class| class.offered_rate.iter().sum::<f64>() > 0.0;
    let least_urgent = classes.iter().filter(has_work).map(|class| class.rank).max();
    let mut lanes: Vec<(usize, Lane)> =
        (0..classes.len()).flat_map(|i| Lane::ALL.map(|lane| (i, lane))).collect();
    lanes.sort_by(|a, b| {
        let key = |(i, lane): &(usize, Lane)| (classes[*i].rank, *lane as usize);
        let work = |(i, _): &(usize, Lane)| classes[*i].work_per_request;
        key(a).cmp(&key(b)).then(work(a).total_cmp(&work(b)))
    });
    let offered: f64 = classes.iter().flat_map(|class| class.offered_rate).sum();
    let mut left = (capacity - MIN_SHARE * offered).max(0.0);
    for (i, lane) in lanes {
        let above_floor = classes[i].offered_rate[lane as usize] * (1.0 - MIN_SHARE);
        let covered = match (above_floor > 0.0, left > 0.0) {
            (true, _) => (left / above_floor).min(MAX_COVERAGE),
            (false, true) => MAX_COVERAGE,
            (false, false) => 0.0,
        };
        let is_marginal = !was_limited || Some(classes[i].rank) == least_urgent;
        let weight = if is_marginal { 1.0 } else { COVERAGE_WEIGHT };
        let coverage = &mut classes[i].coverage[lane as usize];
        *coverage += (covered - *coverage) * weight;
        let share = coverage.min(1.0);
        left = (left - above_floor * share).max(0.0);
        classes[i].shares[lane as usize] = MIN_SHARE + (1.0 - MIN_SHARE) * share;
    }
}

/// Returns the time after which the admitted share of a request with this draw is expected to have
/// grown from `share` to the draw. Requests with different draws return at different times.
pub fn retry_after(draw: Draw, share: f64) -> Duration {
    let growth = (draw.value() / share.max(MIN_SHARE)).max(1.0);
    let intervals = growth.ln() / GROWTH.ln();
    INTERVAL.mul_f64(intervals).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Returns a share that was reported `age` ago, assuming that it has grown since.
pub(super) fn grown(share: f64, age: Duration) -> f64 {
    let intervals = age.as_secs_f64() / INTERVAL.as_secs_f64();
    (share * REPORT_GROWTH.powf(intervals)).min(1.0)
}

/// Returns the shares of the classes whose work is not all admitted.
pub(super) fn report(classes: &[Class]) -> Vec<RouteShares> {
    let limited = classes.iter().filter(|class| class.shares.iter().any(|share| *share < 1.0));
    let shares = |class: &Class| RouteShares {
        route: class.route.clone(),
        timely: class.shares[Lane::Timely as usize],
        late: class.shares[Lane::Late as usize],
    };
    limited.map(shares).collect()
}
