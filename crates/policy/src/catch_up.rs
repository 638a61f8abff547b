//! Where a host gets a configuration that is newer than its own.
//!
//! Every message between hosts names the newest configuration of its sender. In a fleet of hundreds
//! of hosts, most of them get it from a host of their zone, so that a change causes few reads of the
//! store and few bytes between zones.

use std::time::Duration;
use std::time::Instant;

/// How long a representative of its zone leaves it to the zone's reader of the store to get a
/// configuration that another zone has. The reader reads each 0.9 s.
const REPRESENTATIVE_DELAY: Duration = Duration::from_millis(1_200);

/// How long any other host waits for its own zone, before it asks another zone itself.
const OTHER_HOST_DELAY: Duration = Duration::from_millis(2_400);

/// Delay before another host is asked after one that did not return the configuration.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Number of hosts that fail to return the configuration before the store is read.
const MAX_PEER_FAILURES: u32 = 2;

/// Where to get the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// The host that reported it.
    Peer,
    /// The store.
    Store,
}

/// A report that another host has a newer configuration.
#[derive(Debug, Clone, Copy)]
pub struct ConfigReport {
    /// Whether the other host shares store updates with this one: in a large fleet, only hosts of
    /// the same zone do.
    pub from_sharer: bool,
    /// Whether this host speaks for its zone.
    pub is_representative: bool,
}

/// State of a host that catches up with a newer configuration.
#[derive(Debug, Default)]
pub struct ConfigCatchUp {
    /// When a newer configuration was first reported.
    behind_since: Option<Instant>,
    retry_at: Option<Instant>,
    failures: u32,
}

impl ConfigCatchUp {
    /// Returns where to get a newer configuration now that a host reports it, or `None` to wait
    /// for a later report. Reports come with every message, several times a second.
    pub fn next_source(&mut self, report: ConfigReport, now: Instant) -> Option<ConfigSource> {
        let behind_since = *self.behind_since.get_or_insert(now);
        if self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        if self.failures >= MAX_PEER_FAILURES {
            return Some(ConfigSource::Store);
        }
        let delay = match (report.from_sharer, report.is_representative) {
            (true, _) => Duration::ZERO,
            (false, true) => REPRESENTATIVE_DELAY,
            (false, false) => OTHER_HOST_DELAY,
        };
        (now >= behind_since + delay).then_some(ConfigSource::Peer)
    }

    /// Records that `source` did not return the configuration.
    pub fn record_failed(&mut self, source: ConfigSource, now: Instant) {
        self.failures = match source {
            ConfigSource::Peer => self.failures + 1,
            ConfigSource::Store => 0,
        };
        self.retry_at = Some(now + RETRY_DELAY);
    }

    /// Records that this host has the newest configuration that it knows of.
    pub fn record_caught_up(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
