//! When an incomplete answer goes out.

use std::time::Duration;
use std::time::Instant;

/// How much longer than the objective an answer is waited for, as a multiple of the objective,
/// once its full value is lost and its floor is met.
const LATE_WAIT: u32 = 1;

/// How late timers fire on the hosts.
const TIMER_SLACK: Duration = Duration::from_millis(4);

/// What a query with missing parts does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// Wait for more parts, at most until this time.
    Until(Instant),
    /// Answer now with the parts that are there.
    Answer,
    /// Give up: the floor was not met in time.
    GiveUp,
}

/// The times at which a query stops waiting for its slowest shards.
///
/// Until the objective, one more part is worth the wait: the value of an answer grows with the
/// square of its coverage. At the objective nearly all value goes, so that an answer that meets its
/// floor leaves just before. One that was below its floor then waits for that floor, and a little
/// longer for the rest, since a late answer loses no more by the wait.
#[derive(Debug, Clone, Copy)]
pub struct WaitPolicy {
    /// Latest time at which an answer still has its full value.
    objective: Instant,
    /// End of the wait for the rest of an answer that missed its objective.
    late: Instant,
    /// Latest time for any answer.
    deadline: Instant,
}

impl WaitPolicy {
    /// Plans the wait of a query that arrived at `arrived`; `way_back` is what the answer needs to
    /// be merged and to reach its caller.
    pub fn new(
        arrived: Instant,
        target_latency: Duration,
        way_back: Duration,
        deadline: Instant,
    ) -> Self {
        let objective = arrived + target_latency.saturating_sub(way_back);
        let late = arrived + target_latency * (1 + LATE_WAIT);
        Self { objective: objective.min(deadline), late: late.min(deadline), deadline }
    }

    /// Decides with `parts` there, `min_parts` needed and others still missing.
    pub fn decide(&self, parts: usize, min_parts: usize, now: Instant) -> WaitDecision {
        let met = parts >= min_parts;
        if now >= self.deadline {
            return if met { WaitDecision::Answer } else { WaitDecision::GiveUp };
        }
        if now < self.objective {
            return WaitDecision::Until(self.objective);
        }
        match met {
            // The objective has just passed, which is the last moment of full value, or the wait
            // for the rest is over.
            true if now <= self.objective + TIMER_SLACK || now >= self.late => WaitDecision::Answer,
            true => WaitDecision::Until(self.late),
            false => WaitDecision::Until(self.deadline),
        }
    }

    /// Returns the time after which an answer has lost its full value.
    pub fn objective(&self) -> Instant {
        self.objective
    }
}
