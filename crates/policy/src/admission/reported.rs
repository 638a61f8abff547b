//! The admitted share that the owner of a searcher last reported.

use std::time::Instant;

use crate::admission::controller::INCREASE_FACTOR;
use crate::admission::controller::UPDATE_INTERVAL;

/// An admitted share reported by the owner of a searcher, and when it was reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedShare {
    share: f64,
    reported_at: Instant,
}

impl ReportedShare {
    /// Creates a report of `share` received at `now`.
    pub fn new(share: f64, now: Instant) -> Self {
        Self { share, reported_at: now }
    }

    /// Returns an estimate of the owner's current share, assuming that it has grown at the maximum
    /// rate since the report.
    pub fn estimate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.reported_at);
        let intervals = elapsed.as_secs_f64() / UPDATE_INTERVAL.as_secs_f64();
        (self.share * INCREASE_FACTOR.powf(intervals)).min(1.0)
    }
}
