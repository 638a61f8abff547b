//! Recent latency of a group of attempts.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// How long one half of the window lasts.
const HALF_WINDOW: Duration = Duration::from_secs(10);

/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Fewest samples for a quantile that means anything.
const MIN_SAMPLES: u64 = 20;

/// Latencies of the last 10 to 20 seconds.
#[derive(Debug)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    turned: Instant,
}

impl LatencyWindow {
    /// Creates an empty window.
    pub fn new(now: Instant) -> Self {
        Self { current: histogram(), previous: histogram(), turned: now }
    }

    /// Adds one latency.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        if now.saturating_duration_since(self.turned) >= HALF_WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.turned = now;
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
        self.current.saturating_record(micros);
    }

    /// Returns a quantile from 0.0 to 1.0, or `None` while there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let fuller = match self.current.len() >= self.previous.len() {
            true => &self.current,
            false => &self.previous,
        };
        if fuller.len() < MIN_SAMPLES {
            return None;
        }
        Some(Duration::from_micros(fuller.value_at_quantile(quantile)))
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_MICROS, 2).expect("two digits up to a minute is a valid range")
}
