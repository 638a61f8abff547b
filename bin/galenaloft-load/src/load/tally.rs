//! What one kind of work came to.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// How one request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ending {
    /// It was answered with this share of the catalogue covered.
    Answered {
        /// Covered share, from 0.0 to 1.0.
        coverage: f64,
        /// Whether the answer met the deadline and the coverage floor of its kind.
        good: bool,
    },
    /// It was refused and not run.
    NotRun,
    /// It may have run, but there is no answer.
    MayHaveRun,
}

/// Counts and latencies of one kind.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests that were due.
    pub sent: u64,
    /// Requests with an answer.
    pub answered: u64,
    /// Answers within the deadline that met the coverage floor.
    pub good: u64,
    /// Answers that covered the whole catalogue.
    pub complete: u64,
    /// Requests refused and not run.
    pub not_run: u64,
    /// Requests without an answer that may have run.
    pub may_have_run: u64,
    /// Sum of the covered shares of all answers.
    pub coverage: f64,
    /// Latencies of the answers from their intended time, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            good: 0,
            complete: 0,
            not_run: 0,
            may_have_run: 0,
            coverage: 0.0,
            latency: Histogram::new_with_max(MAX_MICROS, 3).expect("a valid range"),
        }
    }
}

impl Tally {
    /// Counts a request.
    pub fn add(&mut self, ending: Ending, latency: Duration) {
        self.sent += 1;
        match ending {
            Ending::Answered { coverage, good } => {
                self.answered += 1;
                self.good += u64::from(good);
                self.complete += u64::from(coverage >= 1.0);
                self.coverage += coverage;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
                self.latency.saturating_record(micros);
            }
            Ending::NotRun => self.not_run += 1,
            Ending::MayHaveRun => self.may_have_run += 1,
        }
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the mean covered share of the answers.
    pub fn mean_coverage(&self) -> f64 {
        self.coverage / self.answered.max(1) as f64
    }
}
