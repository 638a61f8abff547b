//! Latency estimates that are robust against outliers.

use std::time::Duration;
use std::time::Instant;

/// Quantile of the latencies after which an attempt is overdue. The hedges for the remaining
/// attempts and for searchers that pause stay within a budget of one extra request in five.
const OVERDUE_QUANTILE: f64 = 0.92;

/// Maximum relative change of an estimate with each latency.
const MAX_STEP: f64 = 0.12;

/// Initial estimate of the overdue time, as a multiple of the first latency.
const INITIAL_OVERDUE_FACTOR: f64 = 2.0;

/// Minimum time after which an attempt is overdue, since timers on the hosts fire some milliseconds
/// late.
const MIN_OVERDUE: Duration = Duration::from_millis(4);

/// Number of recent latencies whose median is the typical latency. The median stays typical as long
/// as fewer than half of them were measured during a pause of the searcher.
const RECENT_LEN: usize = 5;

/// Median and high quantile of the latency of one route over all searchers, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct LatencyEstimate {
    median: f64,
    high: f64,
}

impl LatencyEstimate {
    /// Creates an estimate from a first latency.
    pub fn new(latency: Duration) -> Self {
        let median = latency.as_secs_f64();
        Self { median, high: median * INITIAL_OVERDUE_FACTOR }
    }

    /// Adds one latency by stochastic approximation: the steps up and down balance at the quantile.
    pub fn record(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        let step = |estimate: f64, quantile: f64| match latency > estimate {
            true => estimate * (1.0 + MAX_STEP * quantile),
            false => estimate * (1.0 - MAX_STEP * (1.0 - quantile)),
        };
        self.median = step(self.median, 0.5);
        self.high = step(self.high, OVERDUE_QUANTILE).max(self.median);
    }

    /// Returns the time after which an attempt is overdue.
    pub fn overdue_after(&self) -> Duration {
        Duration::from_secs_f64(self.high).max(MIN_OVERDUE)
    }

    /// Returns the median, in seconds.
    pub fn median(&self) -> f64 {
        self.median
    }
}

/// Age of the newest latency from which the latencies are stale. A pause of a searcher lasts a
/// tenth of a second, and a searcher that was slow for longer may have recovered.
const STALE_AFTER: Duration = Duration::from_secs(3);

/// Most recent latencies of one route at one searcher.
#[derive(Debug, Clone, Copy)]
pub struct RecentLatencies {
    /// Ring buffer of latencies, in seconds.
    latest: [f32; RECENT_LEN],
    count: usize,
    next: usize,
    /// When the newest latency was added.
    updated_at: Instant,
}

impl RecentLatencies {
    /// Creates an estimate from a first latency.
    pub fn new(latency: Duration, now: Instant) -> Self {
        let mut recent = Self { latest: [0.0; RECENT_LEN], count: 0, next: 0, updated_at: now };
        recent.record(latency, now);
        recent
    }

    /// Adds one latency. Older ones are dropped first if they are stale.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        if self.is_stale(now) {
            self.count = 0;
            self.next = 0;
        }
        self.latest[self.next] = latency.as_secs_f32();
        self.next = (self.next + 1) % RECENT_LEN;
        self.count = (self.count + 1).min(RECENT_LEN);
        self.updated_at = now;
    }

    /// Returns the median in seconds, or the lower median if the number of latencies is even.
    pub fn median(&self) -> f64 {
        let mut sorted = self.latest;
        let known = &mut sorted[..self.count];
        known.sort_unstable_by(f32::total_cmp);
        known.get((self.count.saturating_sub(1)) / 2).copied().map_or(0.0, f64::from)
    }

    /// Returns whether the newest latency is too old to predict the next one.
    pub fn is_stale(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.updated_at) >= STALE_AFTER
    }
}
