//! Who reads the store, and when.

use std::time::Duration;
use std::time::Instant;

/// Age at which what a host knows of the store is refreshed. A searcher that is leaving gets no
/// more requests three seconds after it says so: a third of that leaves room for failed reads.
const INTERVAL: Duration = Duration::from_millis(900);

/// By how much later each further host reads than the one before it, so that usually one host reads
/// and the others hear from it.
const STAGGER: Duration = Duration::from_millis(70);

/// Longest time that the others are waited for.
const MAX_STAGGER: Duration = Duration::from_millis(560);

/// Time before a read that failed is tried again.
const RETRY: Duration = Duration::from_millis(250);

/// When one host reads the store for itself and for the others.
///
/// There is no leader: each host waits for its turn, which news from any other host puts off. A
/// host that hears nothing reads for itself.
#[derive(Debug, Default)]
pub struct ReadSchedule {
    /// Since when everything up to now is known.
    fresh: Option<Instant>,
    failed: Option<Instant>,
}

impl ReadSchedule {
    /// Notes that all changes up to `at` are known.
    pub fn note_fresh(&mut self, at: Instant) {
        self.fresh = Some(self.fresh.map_or(at, |known| known.max(at)));
        self.failed = None;
    }

    /// Notes that a read failed.
    pub fn note_failed(&mut self, now: Instant) {
        self.failed = Some(now);
    }

    /// Returns when this host reads, as the one with `rank` others before it.
    pub fn next_read(&self, rank: usize, now: Instant) -> Instant {
        let Some(fresh) = self.fresh else {
            return self.failed.map_or(now, |failed| failed + RETRY);
        };
        let stagger = (STAGGER * u32::try_from(rank).unwrap_or(u32::MAX)).min(MAX_STAGGER);
        let due = fresh + INTERVAL + stagger;
        self.failed.map_or(due, |failed| due.max(failed + RETRY))
    }

    /// Returns how old the knowledge is, or `None` without any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh.map(|fresh| now.saturating_duration_since(fresh))
    }
}

#[cfg(test)]
mod tests;
