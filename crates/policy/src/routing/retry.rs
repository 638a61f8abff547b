//! A budget that keeps retries from multiplying a load.

/// Most retries that can be saved up.
const MAX_SAVED: f64 = 20.0;

/// Allows a fixed share of retries per first attempt.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries per first attempt, from 0.0 to 1.0.
    ratio: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget of `ratio` retries per first attempt.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, saved: MAX_SAVED }
    }

    /// Notes a first attempt, which earns its share of a retry.
    pub fn note_first_attempt(&mut self) {
        self.saved = (self.saved + self.ratio).min(MAX_SAVED);
    }

    /// Spends one retry, or returns false when the budget is spent.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
