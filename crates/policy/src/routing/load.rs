//! Requests of other hosts at a searcher, estimated from the load that it states.

use std::time::Duration;
use std::time::Instant;

use crate::notice::StatedLoad;

#[cfg(test)]
mod tests;

/// Age from which a statement is no longer used. It spans some answers of a searcher to one of 65
/// hosts, which gets about one a second.
const VALIDITY: Duration = Duration::from_secs(10);

/// Age from which the stated speed of a machine is no longer used. Latencies are stale at the same age,
/// so that a slow searcher is tried again without regard to either.
const SLOWNESS_VALIDITY: Duration = Duration::from_secs(3);

/// Time in which the weight of a statement in the average falls to 1/e. It spans some statements of a
/// searcher that answers this host a few times a second.
const AVERAGE_TIME: Duration = Duration::from_secs(1);

/// Shortest time in which the weight of a statement falls to 1/e, in seconds. An answer is under way
/// for about as long.
const MIN_FADE_TIME: f64 = 0.001;

/// Variance of the number of requests in the estimate of a wait, so that the emptier of two searchers
/// with free slots has the shorter one.
const ROUNDING: f64 = 0.1;

/// Draw that stands for the expected number of requests.
pub const EXPECTED_DRAW: f64 = 0.5;

/// Requests of other hosts at one searcher, for any number of hosts that choose by statements of
/// different ages.
///
/// The number changes within the time that a request takes. As in a queue with free slots, its
/// expected value moves within that time from the stated number to the average, and its variance from
/// 0 to that of random arrivals. A choice draws the number from this distribution, so that a searcher
/// that was idle a moment ago is not chosen by every host that heard it.
#[derive(Debug, Clone, Copy)]
pub struct ObservedLoad {
    stated: StatedLoad,
    received_at: Instant,
    /// Requests of other hosts at the time of the statement.
    others: f64,
    /// Moving average of the requests of other hosts.
    average: f64,
    /// Whether the searcher counts a request as running in the answer to it.
    counts_answered: bool,
}

impl ObservedLoad {
    /// Takes over a statement received at `now`, while `own` exchanges of this host were unfinished,
    /// including the one that brought the statement. `earlier` is what was known before.
    pub fn new(stated: StatedLoad, own: usize, earlier: Option<&Self>, now: Instant) -> Self {
        let present = f64::from(stated.running) + f64::from(stated.waiting);
        // Whether the answered request is still counted is known once no request is stated with the
        // answer to one.
        let counts_answered = earlier.is_none_or(|earlier| earlier.counts_answered)
            && !(stated.after_run && present == 0.0);
        let answered = usize::from(!(stated.after_run && counts_answered));
        let others = (present - own.saturating_sub(answered) as f64).max(0.0);
        let average = earlier.filter(|earlier| earlier.is_current(now)).map_or(others, |earlier| {
            let kept = weight(now, earlier.received_at, AVERAGE_TIME.as_secs_f64());
            others + kept * (earlier.average - others)
        });
        Self { stated, received_at: now, others, average, counts_answered }
    }

    /// Returns whether the statement is recent enough to be used.
    pub fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < VALIDITY
    }

    /// Returns how long work takes at the searcher according to the statement, whatever its age.
    pub fn stated_slowness(&self) -> f64 {
        self.stated.slowness
    }

    /// Returns how long work takes at the searcher, as a multiple of the usual time.
    pub fn slowness(&self, now: Instant) -> f64 {
        match now.saturating_duration_since(self.received_at) < SLOWNESS_VALIDITY {
            true => self.stated.slowness,
            false => 1.0,
        }
    }

    /// Returns the time of an answer as a multiple of the time that its request ran, if the queue was as
    /// long before the request as it was stated with the answer.
    pub fn queue_factor(&self) -> f64 {
        1.0 + f64::from(self.stated.waiting) / self.slots()
    }

    /// Returns how long one more request waits for a slot, in seconds, behind `own` requests of this
    /// host and those of others, if each takes `work` seconds. `draw`, from 0.0 to 1.0, picks the number
    /// of the latter from its distribution; [`EXPECTED_DRAW`] picks the expected value.
    pub fn wait(&self, own: usize, work: f64, draw: f64, now: Instant) -> f64 {
        // Requests that have to end before this one begins.
        let excess = own as f64 + self.others(work, draw, now) - self.slots() + 1.0;
        let to_end = (excess + (excess * excess + ROUNDING).sqrt()) / 2.0;
        to_end / self.slots() * work
    }

    /// Returns the number of requests that other hosts have at the searcher now.
    fn others(&self, work: f64, draw: f64, now: Instant) -> f64 {
        // The requests that were stated have ended after so many times the work.
        let rounds = (self.others / self.slots()).max(1.0);
        let weight = weight(now, self.received_at, (work * rounds).max(MIN_FADE_TIME));
        let mean = self.average + weight * (self.others - self.average);
        let variance = self.average * (1.0 - weight);
        // A uniform distribution of this width has a variance of 1.
        let deviation = (draw - EXPECTED_DRAW) * 12.0_f64.sqrt();
        (mean + variance.sqrt() * deviation).max(0.0)
    }

    fn slots(&self) -> f64 {
        f64::from(self.stated.slots.max(1))
    }
}

/// Returns the weight of what was known at `then` if it falls to 1/e in `time` seconds.
fn weight(now: Instant, then: Instant, time: f64) -> f64 {
    (-now.saturating_duration_since(then).as_secs_f64() / time).exp()
}
