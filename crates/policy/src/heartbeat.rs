//! Detects that the own process was paused.

use std::time::Duration;
use std::time::Instant;

/// Longest gap between two heartbeats of a process that was not paused.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Heartbeat that a process records for itself in order to detect its own pauses.
#[derive(Debug)]
pub struct Heartbeat {
    last_beat: Instant,
}

impl Heartbeat {
    /// Creates a heartbeat whose first beat is at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_beat: now }
    }

    /// Records a beat. If the process was paused since the previous beat, returns the time between
    /// the two.
    pub fn beat(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_beat);
        self.last_beat = now;
        (gap > MAX_GAP).then_some(gap)
    }

    /// Returns whether the process was paused and has not recorded a beat since.
    pub fn was_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_beat) > MAX_GAP
    }
}
