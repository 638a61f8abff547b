//! What an owner last told of its admitted share.

use std::time::Instant;

use crate::admission::controller::INCREASE;
use crate::admission::controller::INTERVAL;

/// An admitted share that an owner told, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedShare {
    share: f64,
    told: Instant,
}

impl ReportedShare {
    /// Notes a share that was told at `now`.
    pub fn new(share: f64, now: Instant) -> Self {
        Self { share, told: now }
    }

    /// Returns the share that the owner has by now at most: it can have grown since.
    pub fn estimate(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.told);
        let intervals = passed.as_secs_f64() / INTERVAL.as_secs_f64();
        (self.share * INCREASE.powf(intervals)).min(1.0)
    }
}
