//! A bound on the lines of each event.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    since: Instant,
    lines: u32,
    left_out: u64,
}

/// Lets the first lines of each event and second pass and counts the others.
#[derive(Debug)]
pub struct Limiter {
    most: u32,
    windows: BTreeMap<String, Window>,
}

impl Limiter {
    /// Creates a limiter of `most` lines an event and second.
    pub fn new(most: u32) -> Self {
        Self { most, windows: BTreeMap::new() }
    }

    /// Returns whether a line of `event` passes, with the lines that were left out before it.
    pub fn pass(&mut self, event: &str, now: Instant) -> Option<u64> {
        if !self.windows.contains_key(event) {
            let window = Window { since: now, lines: 1, left_out: 0 };
            self.windows.insert(event.to_owned(), window);
            return Some(0);
        }
        let window = self.windows.get_mut(event)?;
        if now.saturating_duration_since(window.since) >= WINDOW {
            window.since = now;
            window.lines = 0;
        }
        if window.lines >= self.most {
            window.left_out += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.left_out))
    }
}
