//! Noticing that the process itself did not run for a while.

use std::time::Duration;
use std::time::Instant;

/// Longest gap between two beats of a process that runs.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Beats of a process, noted by itself.
#[derive(Debug)]
pub struct Heartbeat {
    last: Instant,
}

impl Heartbeat {
    /// Starts with a beat at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last: now }
    }

    /// Notes a beat. Returns the gap before it if the process was paused.
    pub fn beat(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        (gap > MAX_GAP).then_some(gap)
    }

    /// Returns whether the process was paused and has not noted a beat since.
    pub fn is_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) > MAX_GAP
    }
}
