//! Learns from the outcomes of parts how much work the searchers take.

use std::time::Duration;
use std::time::Instant;

use crate::admission::Draw;
use crate::admission::by_cost::class::Class;
use crate::admission::by_cost::class::Lane;
use crate::admission::by_cost::class::MAX_WAIT_OUTCOME;
use crate::admission::by_cost::class::Work;
use crate::admission::by_cost::shares::GROWTH;
use crate::admission::by_cost::shares::INTERVAL;
use crate::admission::by_cost::shares::MIN_SHARE;
use crate::admission::by_cost::shares::RouteShares;
use crate::admission::by_cost::shares::distribute;
use crate::admission::by_cost::shares::report;
use crate::ids::Rank;
use crate::ids::RouteName;

/// Mean outcome above which capacity is insufficient. When 0.3 of the searchers are six times slower
/// and are never avoided, the mean is 0.15. At 0.2, more than a tenth of the urgent queries missed
/// their objective at twice the load.
const MAX_MEAN_OUTCOME: f64 = 0.14;

/// Part of the estimate that is taken back after the worst interval, and the part that remains at
/// most after any interval that was too bad.
const MAX_DECREASE: f64 = 0.25;
const MAX_REMAINDER: f64 = 0.97;

/// The estimate is lowered at most to this share of the work that was answered in the interval.
const ANSWERED_SHARE: f64 = 0.85;

/// The first estimate is at least this share of the offered work, as the work answered in one
/// interval may be small by chance.
const MIN_FIRST_REMAINDER: f64 = 0.4;

/// Number of outcomes that make a mean.
const MIN_OUTCOMES: f64 = 30.0;

/// Longest interval. After it fewer outcomes are enough.
const MAX_INTERVAL: Duration = Duration::from_millis(300);

/// Margin added to the greatest mean, divided by the square root of the number of outcomes: the
/// parts of one query that meet a few paused searchers are no lack of capacity.
const OUTCOME_MARGIN: f64 = 0.6;

/// Most intervals for which the estimate grows at once, after a time with few outcomes.
const MAX_GROWTH_INTERVALS: f64 = 2.0;

/// Factor on the growth while urgent work is refused. A query is admitted by the least share of
/// several hosts, so the hosts with the lowest estimates must catch up with the others.
const URGENT_PACE: f64 = 3.0;

/// The estimate is dropped when it is this many times the offered work.
const DROP_FACTOR: f64 = 2.0;

/// A host that queries searchers on behalf of others accepts requests up to the admitted share times
/// this factor. The hosts that shed whole requests by the admitted share know it a little later, and
/// refusing a few parts of a request would waste the work on its other parts.
const TOLERANCE_FACTOR: f64 = 1.5;

/// Most classes. The classes are cleared when there are more, which bounds their memory.
const MAX_CLASSES: usize = 32;

/// Admitted share of a class below which failed parts are not tried again.
const MIN_SHARE_FOR_RETRIES: f64 = 0.5;

/// Outcome of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartOutcome {
    /// It was answered.
    Answered,
    /// It was given up before it was answered.
    Abandoned,
    /// A busy searcher rejected it.
    Rejected,
}

/// Admitted share of each class of the work that one host sends to one group of searchers.
///
/// It responds to more work than the searchers can do, by bursts, floods and callers that retry: work
/// that waits in their queues or is rejected there. Single searchers that are slow or pause change
/// the mean outcome little.
///
/// The estimate of the work that the searchers take is lowered while the mean outcome is bad, and
/// grows otherwise. It is distributed over the classes by what each of them offered lately, so that
/// a class is admitted again as soon as it offers less.
#[derive(Debug)]
pub struct CapacityController {
    classes: Vec<Class>,
    /// Work that is admitted in a second, or `None` while all is.
    capacity: Option<f64>,
    interval_start: Instant,
    /// Outcomes of parts that started before are not counted: they show the effect of what was
    /// admitted before the last decrease.
    counted_from: Instant,
}

impl CapacityController {
    /// Creates a controller that admits everything.
    pub fn new(now: Instant) -> Self {
        Self { classes: Vec::new(), capacity: None, interval_start: now, counted_from: now }
    }

    /// Returns the lane of a request, given the latency of the parts of its class.
    pub fn lane(&self, work: &Work<'_>) -> Lane {
        self.class(work.route).map_or(Lane::Timely, |class| class.lane(work))
    }

    /// Returns the admitted share of a lane of a route.
    pub fn share(&mut self, route: &RouteName, lane: Lane, now: Instant) -> f64 {
        self.update(now);
        self.class(route).map_or(1.0, |class| class.shares[lane as usize])
    }

    /// Returns whether a request is accepted that another host admitted by shares which it may have
    /// learned before the last change.
    pub fn tolerates(&mut self, route: &RouteName, lane: Lane, draw: Draw, now: Instant) -> bool {
        draw.is_below(self.share(route, lane, now) * TOLERANCE_FACTOR)
    }

    /// Records that a request was offered. `share` is the share of such requests that reach this
    /// host: 1.0 on the host that callers send them to.
    pub fn record_offered(&mut self, work: &Work<'_>, lane: Lane, share: f64, now: Instant) {
        self.update(now);
        let known = self.classes.iter().position(|class| class.route == *work.route);
        let index = known.unwrap_or_else(|| {
            if self.classes.len() >= MAX_CLASSES {
                self.classes.clear();
            }
            self.classes.push(Class::new(work));
            self.classes.len() - 1
        });
        self.classes[index].record_offered(work, lane, share.max(MIN_SHARE));
    }

    /// Records that a request's parts are sent to searchers.
    pub fn record_admitted(&mut self, route: &RouteName, parts: usize) {
        if let Some(class) = self.class_mut(route) {
            class.record_admitted(parts);
        }
    }

    /// Records the outcome of a part that started at `started_at`. The time that it waited for a
    /// connection counts.
    pub fn record_outcome(
        &mut self,
        route: &RouteName,
        outcome: PartOutcome,
        started_at: Instant,
        now: Instant,
    ) {
        let counts = started_at >= self.counted_from;
        let latency = now.saturating_duration_since(started_at);
        if let Some(class) = self.class_mut(route) {
            match outcome {
                PartOutcome::Rejected if counts => class.record_rejected(),
                PartOutcome::Rejected => {}
                PartOutcome::Answered => class.record_latency(latency, true, counts),
                PartOutcome::Abandoned => class.record_latency(latency, false, counts),
            }
        }
        self.update(now);
    }

    /// Returns whether work is refused. No hedges are sent then.
    pub fn is_limited(&mut self, now: Instant) -> bool {
        self.update(now);
        self.capacity.is_some()
            && self.classes.iter().flat_map(|class| class.shares).any(|share| share < 1.0)
    }

    /// Returns whether failed parts of a route may be tried again. Retries stop after hedges, while
    /// much of the route's work is refused.
    pub fn allows_retries(&mut self, route: &RouteName, now: Instant) -> bool {
        self.share(route, Lane::Timely, now) >= MIN_SHARE_FOR_RETRIES
    }

    /// Returns the shares of the routes whose work is not all admitted.
    pub fn report(&mut self, now: Instant) -> Vec<RouteShares> {
        self.update(now);
        match self.capacity {
            Some(_) => report(&self.classes),
            None => Vec::new(),
        }
    }

    /// Returns the admitted share of each class, without the requests that are expected to be late.
    pub(super) fn shares(
        &mut self,
        now: Instant,
    ) -> impl Iterator<Item = (Rank, RouteName, f64)> + '_ {
        self.update(now);
        let share = |class: &Class| class.shares[Lane::Timely as usize];
        self.classes.iter().map(move |class| (class.rank, class.route.clone(), share(class)))
    }

    /// Returns whether work is refused that is more urgent than other work.
    fn refuses_urgent(&self) -> bool {
        let has_work = |class: &&Class| class.offered_rate.iter().sum::<f64>() > 0.0;
        let least = self.classes.iter().filter(has_work).map(|class| class.rank).max();
        let is_refused =
            |class: &Class| Some(class.rank) < least && class.shares[Lane::Timely as usize] < 1.0;
        self.classes.iter().any(is_refused)
    }

    fn class(&self, route: &RouteName) -> Option<&Class> {
        self.classes.iter().find(|class| class.route == *route)
    }

    fn class_mut(&mut self, route: &RouteName) -> Option<&mut Class> {
        self.classes.iter_mut().find(|class| class.route == *route)
    }

    /// Ends the interval if it is long enough and has enough outcomes, and adapts the shares.
    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.interval_start);
        if elapsed < INTERVAL {
            return;
        }
        let count: f64 = self.classes.iter().map(|class| class.signal_count).sum();
        if count < MIN_OUTCOMES && elapsed < MAX_INTERVAL {
            return;
        }
        self.interval_start = now;
        let seconds = elapsed.as_secs_f64();
        let limited = self.capacity.is_some();
        let (mut worst, mut sum) = (-1.0_f64, 0.0);
        let (mut admitted, mut answered) = (0.0_f64, 0.0_f64);
        let mut wait: f64 = 0.0;
        for class in &mut self.classes {
            let interval = class.end_interval(seconds, limited);
            sum += interval.signal_sum;
            admitted += interval.admitted / seconds;
            answered += interval.answered / seconds;
            wait = wait.max(interval.mean_wait);
            worst = worst.max(excess(interval.signal_sum, interval.signal_count));
        }
        // The class that waits longest for its objective decides.
        let excess = worst.max(excess(sum, count));
        let offered: f64 = self.classes.iter().flat_map(|class| class.offered_rate).sum();
        if excess > 0.0 {
            // Work that the searchers answer is within their capacity, whatever waits behind it.
            let lowered = match self.capacity {
                Some(current) => {
                    // An estimate above what is offered has no effect. It can be far above if it was
                    // made before the first latency was known.
                    let current = current.min(admitted.max(offered));
                    let least = current * (1.0 - MAX_DECREASE * excess);
                    least.max(answered * ANSWERED_SHARE).min(current * MAX_REMAINDER)
                }
                None => answered.max(admitted.max(offered) * MIN_FIRST_REMAINDER),
            };
            self.capacity = Some(lowered.max(MIN_SHARE * offered));
            self.classes.iter_mut().for_each(Class::forget_outcomes);
            self.counted_from = now + Duration::from_secs_f64(wait).min(MAX_INTERVAL);
        } else if let Some(capacity) = self.capacity {
            let intervals = (seconds / INTERVAL.as_secs_f64()).min(MAX_GROWTH_INTERVALS);
            let pace = if self.refuses_urgent() { URGENT_PACE } else { 1.0 };
            let grown = capacity * GROWTH.powf(intervals * pace * (-2.0 * excess).min(1.0));
            self.capacity = Some(grown).filter(|grown| *grown <= DROP_FACTOR * offered);
        }
        match self.capacity {
            Some(capacity) => distribute(&mut self.classes, capacity, limited),
            None => self.classes.iter_mut().for_each(Class::admit_all),
        }
    }
}

/// Returns how far the mean of `count` outcomes is above the greatest one without a lack of capacity:
/// from 0.0 to 1.0 above it, and from 0.0 to -1.0 below it.
fn excess(sum: f64, count: f64) -> f64 {
    if count < 1.0 {
        return -1.0;
    }
    let mean = sum / count;
    let limit = MAX_MEAN_OUTCOME + OUTCOME_MARGIN / count.sqrt();
    match mean > limit {
        true => ((mean - limit) / (MAX_WAIT_OUTCOME - MAX_MEAN_OUTCOME)).min(1.0),
        false => mean / limit - 1.0,
    }
}
