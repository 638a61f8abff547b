//! A budget of extra requests that all hosts keep together without a message.

use std::time::Duration;
use std::time::Instant;

/// Share of the operator's bound that is used, so that the hosts' uneven loads stay inside it.
const SAFETY: f64 = 0.8;

/// Share of its slack that a host may spend before its first window is over: the run of the process
/// before may have spent some too.
const FIRST_WINDOW: f64 = 0.5;

/// Steps in which a window slides.
const STEPS: u32 = 10;

/// Counts kept: with one more than the steps, they always cover a whole window.
const COUNTS: usize = STEPS as usize + 1;

/// The operator's bound on requests that reach a service beyond the first of each.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraRequestLimit {
    /// Extra requests per first request.
    pub ratio: f64,
    /// Extra requests in each window whatever the load is, over all hosts.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// What one host may spend of the bound at one service, for the hosts that share its slack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraRequestShare {
    /// The operator's bound.
    pub limit: ExtraRequestLimit,
    /// Hosts that share the slack.
    pub hosts: usize,
}

/// Requests of one step of the window.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    first: u16,
    extra: u16,
}

/// Requests of one host to one service in the last window.
///
/// In any window a host sends at most its part of the slack and what its own first requests of that
/// window earned, so that the sum over the hosts stays inside the bound.
#[derive(Debug, Default)]
pub struct ExtraRequestBudget {
    /// When the first request was sent.
    began: Option<Instant>,
    /// Step that was counted last.
    step: u64,
    counts: [Count; COUNTS],
}

impl ExtraRequestBudget {
    /// Notes a first request.
    pub fn note_first(&mut self, share: &ExtraRequestShare, now: Instant) {
        let count = self.count(share, now);
        count.first = count.first.saturating_add(1);
    }

    /// Returns whether an extra request may be sent, leaving `reserve` for more pressing ones.
    pub fn allows(&mut self, share: &ExtraRequestShare, reserve: f64, now: Instant) -> bool {
        self.left(share, now) >= 1.0 + reserve
    }

    /// Spends one extra request, or returns false when the budget is spent.
    pub fn try_spend(&mut self, share: &ExtraRequestShare, now: Instant) -> bool {
        if self.left(share, now) < 1.0 {
            return false;
        }
        let count = self.count(share, now);
        count.extra = count.extra.saturating_add(1);
        true
    }

    /// Returns how many extra requests may be sent now.
    fn left(&mut self, share: &ExtraRequestShare, now: Instant) -> f64 {
        self.count(share, now);
        let ExtraRequestShare { limit, hosts } = share;
        let slack = limit.slack * SAFETY / (*hosts).max(1) as f64;
        let in_first = self.step < u64::from(STEPS);
        let slack = if in_first { slack * FIRST_WINDOW } else { slack };
        let first: u32 = self.counts.iter().map(|count| u32::from(count.first)).sum();
        let extra: u32 = self.counts.iter().map(|count| u32::from(count.extra)).sum();
        slack.max(1.0) + limit.ratio * SAFETY * f64::from(first) - f64::from(extra)
    }

    /// Returns the count of the present step, after those that are over.
    fn count(&mut self, share: &ExtraRequestShare, now: Instant) -> &mut Count {
        let began = *self.began.get_or_insert(now);
        let length = share.limit.window.max(Duration::from_millis(1)) / STEPS;
        let passed = now.saturating_duration_since(began).as_nanos() / length.as_nanos().max(1);
        let step = u64::try_from(passed).unwrap_or(u64::MAX).max(self.step);
        let over = (step - self.step).min(COUNTS as u64);
        for i in 1..=over {
            self.counts[(self.step.wrapping_add(i) % COUNTS as u64) as usize] = Count::default();
        }
        self.step = step;
        &mut self.counts[(step % COUNTS as u64) as usize]
    }
}
