//! Sliding window over the latencies of a group of attempts.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Length of one half of the window.
const HALF_WINDOW: Duration = Duration::from_secs(10);

/// Largest latency that a histogram records, in microseconds. Longer ones are recorded as this
/// value.
const MAX_MICROS: u64 = 60_000_000;

/// Minimum number of samples for a meaningful quantile.
const MIN_SAMPLES: u64 = 20;

/// Latencies of the last 10 to 20 seconds, in two histograms of 10 seconds each.
#[derive(Debug)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// When the current histogram was started.
    rotated_at: Instant,
}

impl LatencyWindow {
    /// Creates an empty window.
    pub fn new(now: Instant) -> Self {
        Self { current: histogram(), previous: histogram(), rotated_at: now }
    }

    /// Records one latency.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        if now.saturating_duration_since(self.rotated_at) >= HALF_WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.rotated_at = now;
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
        self.current.saturating_record(micros);
    }

    /// Returns the latency at `quantile`, from 0.0 to 1.0, of the histogram with more samples, or
    /// `None` while there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let larger = match self.current.len() >= self.previous.len() {
            true => &self.current,
            false => &self.previous,
        };
        if larger.len() < MIN_SAMPLES {
            return None;
        }
        Some(Duration::from_micros(larger.value_at_quantile(quantile)))
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_MICROS, 2)
        .expect("two significant digits up to one minute is a valid range")
}
