//! Schedules this host's reads of the store, so that usually one host reads for all.

use std::time::Duration;
use std::time::Instant;

/// Age at which a host refreshes its knowledge of the store. Requests to a searcher that is leaving
/// must cease within three seconds of its announcement; refreshing in under a third of that leaves
/// time for failed reads.
const REFRESH_INTERVAL: Duration = Duration::from_millis(900);

/// Delay of each host after the one before it in the reading order, so that usually one host reads
/// the store and the others receive the changes from it.
const STAGGER_STEP: Duration = Duration::from_millis(70);

/// Maximum stagger, reached by the ninth host. Bounds how late the store is read if all hosts
/// before this one have failed.
const MAX_STAGGER: Duration = Duration::from_millis(560);

/// Maximum random delay of the second read. Even then the knowledge is refreshed within three
/// seconds.
const MAX_EARLY_DELAY: Duration = Duration::from_millis(1_200);

/// Delay before the first host in the reading order retries a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Additional delay for each host before this one in the reading order. During an outage of the
/// store only the first hosts retry often, so that a large fleet does not flood the store.
const RETRY_STEP: Duration = Duration::from_millis(125);

/// Maximum delay before a failed read is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2_500);

/// Schedule by which one host reads the store for itself and the other hosts.
///
/// There is no leader. Each host has its own due time, and a store update from any other host
/// postpones it. A host that receives no updates reads the store itself.
#[derive(Debug, Default)]
pub struct ReadSchedule {
    /// Time up to which all changes of the store are known.
    known_up_to: Option<Instant>,
    /// Time of the last failed read, unless the state of the store became known since then.
    failed_at: Option<Instant>,
    /// Time of the second read, if no update comes before it.
    early_read: Option<Instant>,
}

impl ReadSchedule {
    /// Records the first read, which began at `at`. The host hardly knows other hosts yet, and when
    /// a whole fleet has started, none is known to be the first. A random time of the second read,
    /// where `draw` is a number from 0.0 to 1.0, lets one host of the fleet be first.
    pub fn record_first_read(&mut self, at: Instant, draw: f64) {
        self.record_known_up_to(at);
        self.early_read = Some(at + REFRESH_INTERVAL + MAX_EARLY_DELAY.mul_f64(draw));
    }

    /// Records that all changes up to `at` are known.
    pub fn record_known_up_to(&mut self, at: Instant) {
        self.early_read = None;
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
        if let Some(early_read) = self.early_read.filter(|at| now <= *at) {
            return early_read;
        }
        let hosts_before = u32::try_from(hosts_before).unwrap_or(u32::MAX);
        let retry_delay = RETRY_DELAY.saturating_add(RETRY_STEP.saturating_mul(hosts_before));
        let retry_delay = retry_delay.min(MAX_RETRY_DELAY);
        let stagger = STAGGER_STEP.saturating_mul(hosts_before).min(MAX_STAGGER);
        let due = known_up_to + REFRESH_INTERVAL + stagger;
        self.failed_at.map_or(due, |failed_at| due.max(failed_at + retry_delay))
    }

    /// Returns how long ago the known state of the store was current, or `None` before the first
    /// read or update.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.known_up_to.map(|at| now.saturating_duration_since(at))
    }
}

#[cfg(test)]
mod tests;
