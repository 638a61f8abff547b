//! Decides whether a healthy host should accept new callers.

use std::time::Duration;
use std::time::Instant;

/// Time without any message from other availability zones after which this host's zone counts
/// as cut off. Hosts in other zones send several datagrams a second.
const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a host accepts no new callers. The names of the variants are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReady {
    /// The host has no configuration or no list of searchers yet.
    Uninformed,
    /// The host is stopping.
    Stopping,
    /// The host's zone is cut off from the others and holds too few shards, so that hosts in other
    /// zones give more complete answers.
    CutOff,
}

/// Condition of a host, from which its readiness follows.
#[derive(Debug, Clone, Copy)]
pub struct HostCondition {
    /// Whether the host has a configuration and a list of searchers.
    pub initialized: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Whether this host's zone is cut off from the others.
    pub cut_off: bool,
    /// Whether this host's zone holds enough shards for the minimum coverage of every route that
    /// queries many shards.
    pub covers_floor: bool,
}

/// Returns whether this host's zone is cut off from the others. `last_heard` is the time of the
/// last message from another zone, or `None` if no host of another zone is known.
pub fn is_cut_off(last_heard: Option<Instant>, now: Instant) -> bool {
    last_heard.is_some_and(|at| now.saturating_duration_since(at) >= CUT_OFF_TIMEOUT)
}

impl HostCondition {
    /// Returns why the host accepts no new callers, or `None` if it accepts them.
    pub fn not_ready(&self) -> Option<NotReady> {
        if self.stopping {
            return Some(NotReady::Stopping);
        }
        if !self.initialized {
            return Some(NotReady::Uninformed);
        }
        (self.cut_off && !self.covers_floor).then_some(NotReady::CutOff)
    }
}

#[cfg(test)]
mod tests;
