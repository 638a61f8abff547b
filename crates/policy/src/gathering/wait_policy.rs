//! How long a query waits for missing parts before it answers.

use std::time::Duration;
use std::time::Instant;

/// How long a query that missed its objective waits past it for parts beyond its floor, as a
/// multiple of the objective.
const LATE_WAIT_FACTOR: u32 = 1;

/// Maximum delay with which timers fire on the hosts.
const TIMER_SLACK: Duration = Duration::from_millis(4);

/// Next step of a query with missing parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// Wait for further parts, at most until this time.
    Until(Instant),
    /// Answer now with the parts that have arrived.
    Answer,
    /// Give up, since the floor was not met before the deadline.
    GiveUp,
}

/// Times at which a query stops waiting for its slowest shards.
///
/// The value of an answer grows with the square of its coverage, so that before the objective it
/// pays to wait for one more part. An answer that misses the objective loses nearly all of its
/// value. An answer that meets its floor is therefore sent just before the objective. One that is
/// below its floor waits until it meets the floor, and then a limited time for the remaining parts,
/// since a late answer loses no further value by waiting.
#[derive(Debug, Clone, Copy)]
pub struct WaitPolicy {
    /// Latest time at which an answer can be sent with its full value.
    objective: Instant,
    /// Latest time up to which an answer that missed its objective waits for parts beyond its
    /// floor.
    late_wait_end: Instant,
    /// Latest time at which any answer can be sent.
    deadline: Instant,
}

impl WaitPolicy {
    /// Creates the policy of a query that arrived at `arrived`. `reply_time` is the time needed to
    /// merge the answer and to send it to the caller.
    pub fn new(
        arrived: Instant,
        target_latency: Duration,
        reply_time: Duration,
        deadline: Instant,
    ) -> Self {
        let objective = arrived + target_latency.saturating_sub(reply_time);
        let late_wait_end = arrived + target_latency * (1 + LATE_WAIT_FACTOR);
        Self {
            objective: objective.min(deadline),
            late_wait_end: late_wait_end.min(deadline),
            deadline,
        }
    }

    /// Decides the next step of a query that has received `parts` parts, needs `min_parts` for its
    /// floor and still misses some.
    pub fn decide(&self, parts: usize, min_parts: usize, now: Instant) -> WaitDecision {
        let floor_met = parts >= min_parts;
        if now >= self.deadline {
            return if floor_met { WaitDecision::Answer } else { WaitDecision::GiveUp };
        }
        if now < self.objective {
            return WaitDecision::Until(self.objective);
        }
        match floor_met {
            // The objective has just passed, so that the answer still has its full value, or the
            // late wait has ended.
            true if now <= self.objective + TIMER_SLACK || now >= self.late_wait_end => {
                WaitDecision::Answer
            }
            true => WaitDecision::Until(self.late_wait_end),
            false => WaitDecision::Until(self.deadline),
        }
    }

    /// Returns the latest time at which an answer can be sent with its full value.
    pub fn objective(&self) -> Instant {
        self.objective
    }
}
