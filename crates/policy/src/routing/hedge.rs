//! Hedging: when to send a second attempt to another replica.

use std::time::Duration;
use std::time::Instant;

use crate::routing::ExpectedQueue;
use crate::routing::LatencyWindow;

/// Quantile of the recent latencies after which an attempt is hedged.
const HEDGE_QUANTILE: f64 = 0.95;

/// Minimum delay before a hedge, so that small variations on fast shards cause no hedges.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Maximum number of unused hedges that the budget accumulates.
const MAX_CREDIT: f64 = 50.0;

/// Wait for a slot, as a share of the work, up to which a hedge begins almost at once.
const SHORT_WAIT: f64 = 0.25;

/// Returns whether a hedge of an attempt that is overdue may be answered first, for load that all
/// replicas share. `attempt` is the queue at the searcher of the attempt, `hedge` that at the searcher
/// of the hedge; `None` where no load is stated. If both searchers are equally loaded, the load explains
/// the delay and a hedge only adds to it.
pub fn is_hedge_useful(attempt: Option<ExpectedQueue>, hedge: Option<ExpectedQueue>) -> bool {
    let (Some(attempt), Some(hedge)) = (attempt, hedge) else {
        return true;
    };
    attempt.is_pausing
        || hedge.next_wait < attempt.last_wait
        || hedge.next_wait <= hedge.work * SHORT_WAIT
}

/// Hedging of one kind of request within a budget of extra load.
#[derive(Debug)]
pub struct HedgePolicy {
    latency: LatencyWindow,
    /// Hedges granted per first attempt, from 0.0 to 1.0.
    ratio: f64,
    /// Number of hedges that may be sent now.
    credit: f64,
}

impl HedgePolicy {
    /// Creates a policy with an empty budget that grants `ratio` hedges per first attempt.
    pub fn new(ratio: f64, now: Instant) -> Self {
        Self { latency: LatencyWindow::new(now), ratio, credit: 0.0 }
    }

    /// Changes the ratio of hedges to first attempts when a new sheet takes effect.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Records a first attempt, which adds to the budget.
    pub fn record_first_attempt(&mut self) {
        self.credit = (self.credit + self.ratio).min(MAX_CREDIT);
    }

    /// Records the latency of an attempt that ran.
    pub fn record_latency(&mut self, latency: Duration, now: Instant) {
        self.latency.record(latency, now);
    }

    /// Returns when to hedge an attempt sent at `sent`, or `None` while too few latencies are
    /// known.
    pub fn hedge_at(&self, sent: Instant) -> Option<Instant> {
        let slow = self.latency.quantile(HEDGE_QUANTILE)?;
        Some(sent + slow.max(MIN_HEDGE_DELAY))
    }

    /// Takes one hedge from the budget. Returns `false` if the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
