//! Whether a host that runs well should take new callers.

use std::time::Duration;
use std::time::Instant;

/// Silence of everything in other availability zones after which the own zone counts as cut off.
/// Hosts there send several datagrams a second.
const SILENCE: Duration = Duration::from_millis(600);

/// Why a host takes no new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReady {
    /// It has no configuration, or no list of searchers.
    Uninformed,
    /// It is stopping.
    Stopping,
    /// Its zone is cut off from the others and has too few shards of its own: hosts of other zones
    /// answer better.
    CutOff,
}

/// What a host knows of its own ability to answer.
#[derive(Debug, Clone, Copy)]
pub struct HostCondition {
    /// Whether it has a configuration and a list of searchers.
    pub initialized: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Whether the own zone is cut off from the others.
    pub cut_off: bool,
    /// Whether every query over many shards finds enough shards in the own zone.
    pub covers_floor: bool,
}

/// Returns whether the own zone is cut off from the others, of which something was last heard at
/// `heard`; `None` if there are no others.
pub fn is_cut_off(heard: Option<Instant>, now: Instant) -> bool {
    heard.is_some_and(|heard| now.saturating_duration_since(heard) >= SILENCE)
}

impl HostCondition {
    /// Returns why the host takes no new callers, or `None` if it does.
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
