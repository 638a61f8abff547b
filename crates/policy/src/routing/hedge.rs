//! When to send a second attempt to another replica.

use std::time::Duration;
use std::time::Instant;

use crate::routing::LatencyWindow;

/// Quantile of the recent latency after which an attempt counts as slow.
const SLOW_QUANTILE: f64 = 0.95;

/// Shortest wait before a hedge, so that noise on fast shards is not hedged.
const MIN_WAIT: Duration = Duration::from_millis(2);

/// Most hedges that can be saved up.
const MAX_SAVED: f64 = 50.0;

/// Hedging of one kind of work inside a budget of extra load.
#[derive(Debug)]
pub struct HedgePolicy {
    latency: LatencyWindow,
    /// Hedges per first attempt, from 0.0 to 1.0.
    ratio: f64,
    saved: f64,
}

impl HedgePolicy {
    /// Creates a policy that adds at most `ratio` hedges per first attempt.
    pub fn new(ratio: f64, now: Instant) -> Self {
        Self { latency: LatencyWindow::new(now), ratio, saved: 0.0 }
    }

    /// Changes the budget when a new sheet comes into force.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Notes a first attempt, which earns its share of a hedge.
    pub fn note_first_attempt(&mut self) {
        self.saved = (self.saved + self.ratio).min(MAX_SAVED);
    }

    /// Notes the latency of an attempt that ran.
    pub fn note_latency(&mut self, latency: Duration, now: Instant) {
        self.latency.record(latency, now);
    }

    /// Returns when to hedge an attempt sent at `sent`, or `None` while latency is unknown.
    pub fn hedge_at(&self, sent: Instant) -> Option<Instant> {
        let slow = self.latency.quantile(SLOW_QUANTILE)?;
        Some(sent + slow.max(MIN_WAIT))
    }

    /// Spends one hedge of the budget, or returns false when it is spent.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
