//! Budget for extra requests that all hosts keep together without exchanging messages.

use std::time::Duration;
use std::time::Instant;

/// Share of the operator's limit that the hosts use. The margin keeps them within the limit even if
/// their loads are uneven.
const USED_SHARE: f64 = 0.8;

/// Share of its slack that a host may use during its first window, since the previous run of the
/// process may have used some of it too.
const FIRST_WINDOW_SHARE: f64 = 0.5;

/// Number of steps into which the sliding window is divided.
const STEPS: u32 = 10;

/// Number of counts that are kept, one more than the steps, so that they always cover a whole
/// window.
const COUNTS: usize = STEPS as usize + 1;

/// The operator's limit on extra requests, which a service receives in addition to the first
/// request of each query. Hedges and retries are extra requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraRequestLimit {
    /// Extra requests allowed per first request.
    pub ratio: f64,
    /// Extra requests allowed in each window independently of the load, over all hosts together.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Limit on the extra requests of one host to one service, derived from the operator's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraRequestShare {
    /// The operator's limit.
    pub limit: ExtraRequestLimit,
    /// Number of hosts that share the slack.
    pub hosts: usize,
}

/// Number of requests in one step of the window.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    first: u16,
    extra: u16,
}

/// Counts of the requests from one host to one service in the last window.
///
/// In any window, a host sends at most its share of the slack (at least one extra request) plus the
/// number that its own first requests of that window allow. The sum over all hosts therefore stays
/// within the operator's limit as long as there are no more hosts than the slack allows extra
/// requests. With more hosts, the one extra request that each may always send in a window can make the
/// sum exceed the limit.
#[derive(Debug, Default)]
pub struct ExtraRequestBudget {
    /// When the first request was sent.
    started_at: Option<Instant>,
    /// Step of the last recorded request.
    step: u64,
    /// Ring buffer of the counts by step.
    counts: [Count; COUNTS],
}

impl ExtraRequestBudget {
    /// Records a first request.
    pub fn record_first(&mut self, share: &ExtraRequestShare, now: Instant) {
        let count = self.count(share, now);
        count.first = count.first.saturating_add(1);
    }

    /// Returns whether an extra request may be sent while `reserve` further ones stay available for
    /// more important purposes.
    pub fn allows(&mut self, share: &ExtraRequestShare, reserve: f64, now: Instant) -> bool {
        self.available(share, now) >= 1.0 + reserve
    }

    /// Takes one extra request from the budget. Returns `false` if the budget is exhausted.
    pub fn try_spend(&mut self, share: &ExtraRequestShare, now: Instant) -> bool {
        if self.available(share, now) < 1.0 {
            return false;
        }
        let count = self.count(share, now);
        count.extra = count.extra.saturating_add(1);
        true
    }

    /// Returns the number of extra requests that may be sent now.
    fn available(&mut self, share: &ExtraRequestShare, now: Instant) -> f64 {
        self.count(share, now);
        let ExtraRequestShare { limit, hosts } = share;
        let slack = limit.slack * USED_SHARE / (*hosts).max(1) as f64;
        let in_first_window = self.step < u64::from(STEPS);
        let slack = if in_first_window { slack * FIRST_WINDOW_SHARE } else { slack };
        let first: u32 = self.counts.iter().map(|count| u32::from(count.first)).sum();
        let extra: u32 = self.counts.iter().map(|count| u32::from(count.extra)).sum();
        slack.max(1.0) + limit.ratio * USED_SHARE * f64::from(first) - f64::from(extra)
    }

    /// Returns the count of the current step, after resetting the counts of steps that have left
    /// the window.
    fn count(&mut self, share: &ExtraRequestShare, now: Instant) -> &mut Count {
        let started_at = *self.started_at.get_or_insert(now);
        let step_length = share.limit.window.max(Duration::from_millis(1)) / STEPS;
        let elapsed_steps =
            now.saturating_duration_since(started_at).as_nanos() / step_length.as_nanos().max(1);
        let step = u64::try_from(elapsed_steps).unwrap_or(u64::MAX).max(self.step);
        let skipped = (step - self.step).min(COUNTS as u64);
        for i in 1..=skipped {
            self.counts[(self.step.wrapping_add(i) % COUNTS as u64) as usize] = Count::default();
        }
        self.step = step;
        &mut self.counts[(step % COUNTS as u64) as usize]
    }
}
