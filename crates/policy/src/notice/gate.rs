//! Whether a host may send one more request to a searcher.

use std::time::Duration;
use std::time::Instant;

use crate::notice::Notice;

/// Longest pause that a searcher can ask for.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// What one host may send to one run of a searcher, according to the statements in its answers.
#[derive(Debug, Default)]
pub struct Gate {
    /// End of the last pause that the searcher asked for.
    paused_until: Option<Instant>,
}

impl Gate {
    /// Takes over the statements of an answer that was received at `now`. Returns whether the searcher
    /// asks for a pause that begins now.
    pub fn record(&mut self, notice: &Notice, now: Instant) -> bool {
        let Some(pause) = notice.pause else {
            return false;
        };
        let is_new = !pause.is_zero() && self.opens_at(now).is_none();
        let until = now + pause.min(MAX_PAUSE);
        self.paused_until = Some(self.paused_until.map_or(until, |known| known.max(until)));
        is_new
    }

    /// Returns when the next request may be sent, or `None` if it may be sent now.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }
}
