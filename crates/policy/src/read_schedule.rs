//! Schedules which host reads the store, and when.

use std::time::Duration;
use std::time::Instant;

/// Age at which a host refreshes its knowledge of the store. Requests to a searcher that is leaving
/// must cease within three seconds of its announcement; refreshing in under a third of that leaves
/// time for failed reads.
const REFRESH_INTERVAL: Duration = Duration::from_millis(900);

/// Additional delay of each further host, so that usually one host reads the store and the others
/// receive the changes from it.
const STAGGER_STEP: Duration = Duration::from_millis(70);

/// Longest time that a host leaves the read to the hosts before it.
const MAX_STAGGER: Duration = Duration::from_millis(560);

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Schedule by which one host reads the store for itself and the other hosts.
///
/// There is no leader. Each host has its own due time, and a store update from any other host
/// postpones it. A host that receives no updates reads the store itself.
#[derive(Debug, Default)]
pub struct ReadSchedule {
    /// Time up to which all changes of the store are known.
    known_up_to: Option<Instant>,
    /// Time of the last read, if it failed.
    failed_at: Option<Instant>,
}

impl ReadSchedule {
    /// Records that all changes up to `at` are known.
    pub fn record_known_up_to(&mut self, at: Instant) {
        self.known_up_to = Some(self.known_up_to.map_or(at, |known| known.max(at)));
        self.failed_at = None;
    }

    /// Records that a read failed.
    pub fn record_failed(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Returns when this host reads the store next, where `hosts_before` hosts are due before it.
    pub fn next_read(&self, hosts_before: usize, now: Instant) -> Instant {
        let Some(known_up_to) = self.known_up_to else {
            return self.failed_at.map_or(now, |failed_at| failed_at + RETRY_DELAY);
        };
        let stagger =
            (STAGGER_STEP * u32::try_from(hosts_before).unwrap_or(u32::MAX)).min(MAX_STAGGER);
        let due = known_up_to + REFRESH_INTERVAL + stagger;
        self.failed_at.map_or(due, |failed_at| due.max(failed_at + RETRY_DELAY))
    }

    /// Returns the age of the knowledge, or `None` before the store is known.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.known_up_to.map(|at| now.saturating_duration_since(at))
    }
}

#[cfg(test)]
mod tests;
