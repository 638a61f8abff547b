//! Estimates of latency that a few outliers do not move.

use std::time::Duration;
use std::time::Instant;

/// Share of the attempts that end before they are overdue. Hedges for the rest and for searchers
/// that pause stay inside a budget of one extra request in five.
const OVERDUE_QUANTILE: f64 = 0.92;

/// By which part of itself an estimate moves with each latency at most.
const STEP: f64 = 0.12;

/// How many times the first latency the overdue time starts at.
const FIRST_OVERDUE: f64 = 2.0;

/// Shortest time after which an attempt is overdue: timers on the hosts fire some milliseconds
/// late.
const MIN_OVERDUE: Duration = Duration::from_millis(4);

/// Latencies of which the median is typical. Fewer than half of them may come from a pause of the
/// searcher without a change of the median.
const RECENT: usize = 5;

/// Median and high quantile of the latency of one route over all searchers.
#[derive(Debug, Clone, Copy)]
pub struct LatencyEstimate {
    median: f64,
    high: f64,
}

impl LatencyEstimate {
    /// Starts from one latency.
    pub fn new(latency: Duration) -> Self {
        let median = latency.as_secs_f64();
        Self { median, high: median * FIRST_OVERDUE }
    }

    /// Adds one latency. Stochastic approximation: steps up and down balance at the quantile.
    pub fn record(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        let step = |estimate: f64, quantile: f64| match latency > estimate {
            true => estimate * (1.0 + STEP * quantile),
            false => estimate * (1.0 - STEP * (1.0 - quantile)),
        };
        self.median = step(self.median, 0.5);
        self.high = step(self.high, OVERDUE_QUANTILE).max(self.median);
    }

    /// Returns after how long an attempt is overdue.
    pub fn overdue_after(&self) -> Duration {
        Duration::from_secs_f64(self.high).max(MIN_OVERDUE)
    }

    /// Returns the median, in seconds.
    pub fn median(&self) -> f64 {
        self.median
    }
}

/// Age at which latencies say nothing any more: a searcher pauses for a tenth of a second, and one
/// that was slow for longer may have recovered.
const FORGOTTEN: Duration = Duration::from_secs(3);

/// The last latencies of one route at one searcher.
#[derive(Debug, Clone, Copy)]
pub struct RecentLatencies {
    latest: [f32; RECENT],
    count: usize,
    next: usize,
    seen: Instant,
}

impl RecentLatencies {
    /// Starts from one latency.
    pub fn new(latency: Duration, now: Instant) -> Self {
        let mut recent = Self { latest: [0.0; RECENT], count: 0, next: 0, seen: now };
        recent.record(latency, now);
        recent
    }

    /// Adds one latency.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        if self.is_stale(now) {
            self.count = 0;
            self.next = 0;
        }
        self.latest[self.next] = latency.as_secs_f32();
        self.next = (self.next + 1) % RECENT;
        self.count = (self.count + 1).min(RECENT);
        self.seen = now;
    }

    /// Returns the median, the lower one of two, in seconds.
    pub fn median(&self) -> f64 {
        let mut sorted = self.latest;
        let known = &mut sorted[..self.count];
        known.sort_unstable_by(f32::total_cmp);
        known.get((self.count.saturating_sub(1)) / 2).copied().map_or(0.0, f64::from)
    }

    /// Returns whether the newest latency is so old that it says nothing any more.
    pub fn is_stale(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.seen) >= FORGOTTEN
    }
}
