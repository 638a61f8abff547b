//! Bound on the requests that one host has outstanding at a searcher, and the order in which further ones
//! wait for their turn.
//!
//! Answers the load of a flood: a searcher serves its queue in order of arrival and rejects what exceeds it.
//! Requests that wait on the host instead can be sent in the order of what waiting costs their callers.

use std::time::Duration;
use std::time::Instant;

use crate::admission::Draw;
use crate::ids::Rank;

/// Requests for each slot that the aggregators of the searcher's zone together have outstanding at a searcher: one
/// that runs, and others that are there when a slot becomes free. With 2, parts that found no room went to other zones
/// at the usual load too, which cost 0.017 of worth for bytes between zones.
const OUTSTANDING_PER_SLOT: usize = 3;

/// Returns how many requests an aggregator has outstanding at a searcher at most.
///
/// The aggregators of the searcher's zone divide the bound. One of another zone turns to the searcher only if
/// those of its own zone have no room, one request at a time.
pub fn max_outstanding(slots: u32, aggregators_in_zone: usize, own_zone: bool) -> usize {
    if !own_zone {
        return 1;
    }
    (slots as usize * OUTSTANDING_PER_SLOT).div_ceil(aggregators_in_zone.max(1)).max(1)
}

/// What delaying a request costs its caller, as far as it decides the order of waiting requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Urgency {
    /// Rank of its route, of which 0 is the most urgent.
    pub rank: Rank,
    /// Time by which it should be sent so that its answer meets the objective.
    pub due: Instant,
    /// Time that a searcher is expected to work on it.
    pub work: Duration,
    /// Draw of its query, the same at every shard and host.
    pub draw: Draw,
}

impl Urgency {
    /// Returns whether this request goes before another one that waits for the same searchers.
    ///
    /// A request whose answer is late in any case has lost most of its value, so that it waits for those that
    /// can still be in time. Among the others the more urgent rank goes first, then what is due first, so
    /// that the parts of one query have the same place at every shard.
    pub fn goes_before(&self, other: &Self, now: Instant) -> bool {
        self.key(now) < other.key(now)
    }

    fn key(&self, now: Instant) -> (bool, Rank, Draw) {
        (now + self.work > self.due, self.rank, self.draw)
    }
}

#[cfg(test)]
mod tests;
