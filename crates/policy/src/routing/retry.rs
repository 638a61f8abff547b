//! Retry budget, which keeps retries from multiplying the load.

/// Maximum number of unused retries that a budget accumulates.
const MAX_CREDIT: f64 = 20.0;

/// Budget that grants a fixed ratio of retries to first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries granted per first attempt, from 0.0 to 1.0.
    ratio: f64,
    /// Number of retries that may be sent now.
    credit: f64,
}

impl RetryBudget {
    /// Creates a full budget that grants `ratio` retries per first attempt.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, credit: MAX_CREDIT }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn record_first_attempt(&mut self) {
        self.credit = (self.credit + self.ratio).min(MAX_CREDIT);
    }

    /// Takes one retry from the budget. Returns `false` if the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
