//! A budget of extra requests that all hosts keep together without a message.

use std::time::Duration;

/// Share of the operator's bound that is used, so that the hosts' uneven loads stay inside it.
const SAFETY: f64 = 0.8;

/// The operator's bound on requests that reach a service beyond the first of each.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraBound {
    /// Extra requests per first request.
    pub ratio: f64,
    /// Extra requests in each window whatever the load is, over all hosts.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// What one host may spend of the bound at one service.
///
/// A token bucket: each first request earns its share, and the bucket holds this host's part of
/// the slack. In any window a host then sends at most its bucket and what its own first requests
/// earned, so that the sum over the hosts stays inside the bound.
#[derive(Debug)]
pub struct ExtraBudget {
    saved: f64,
}

impl Default for ExtraBudget {
    fn default() -> Self {
        Self { saved: 1.0 }
    }
}

impl ExtraBudget {
    /// Notes a first request.
    pub fn note_first(&mut self, bound: &ExtraBound, hosts: usize) {
        let most = (bound.slack * SAFETY / hosts.max(1) as f64).max(1.0);
        self.saved = (self.saved + bound.ratio * SAFETY).min(most);
    }

    /// Returns whether an extra request may be sent, leaving `reserve` for more pressing ones.
    pub fn allows(&self, reserve: f64) -> bool {
        self.saved >= 1.0 + reserve
    }

    /// Spends one extra request, or returns false when the budget is spent.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
