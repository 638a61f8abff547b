//! Rate of the requests that one host would like to send to a searcher.

use std::time::Duration;
use std::time::Instant;

use crate::ids::RequestRate;

/// Time in which the weight of a request falls to 1/e.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Moving average of the rate of requests, limited or not.
#[derive(Debug, Default, Clone, Copy)]
pub struct Demand {
    rate: RequestRate,
    updated_at: Option<Instant>,
}

impl Demand {
    /// Records that a request would be sent if the searcher had no limit.
    pub fn record(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Returns the average rate.
    pub fn rate(&self, now: Instant) -> RequestRate {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at)).unwrap_or_default();
        self.rate * (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
