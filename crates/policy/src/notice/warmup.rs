//! Warm-up of a searcher, in which it takes fewer requests.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::ids::RequestRate;
use crate::notice::LimitReport;
use crate::notice::SharedLimit;

/// Longest warm-up that a searcher can state.
const MAX_WARMUP: Duration = Duration::from_secs(3_600);

/// Time by which a statement in a report has to be later than the known one. The age in a report lacks the
/// time on the way, so that without this a statement would grow younger with each host that passes it on,
/// and the warm-up longer. Hosts that read the store learn of an entry within about a second.
const REPORT_TOLERANCE: Duration = Duration::from_secs(1);

/// What hosts tell each other about a searcher that warms up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WarmupReport {
    /// Time that is left; zero if it has ended.
    pub left: Duration,
    /// The limit meanwhile and the demand for it. Its age is the time since the searcher stated that it
    /// warms up, or that it does not any more.
    pub limit: LimitReport,
}

/// Warm-up of one run of a searcher: how long it lasts, and what this host may send meanwhile. The limit
/// is for all hosts together, however many of them would send requests; it ends with the warm-up, without
/// a further statement.
#[derive(Debug, Default)]
pub struct Warmup {
    /// Requests a second that the searcher takes meanwhile, or `None` if any number.
    rate: Option<RequestRate>,
    ends_at: Option<Instant>,
    /// When the searcher stated that.
    stated_at: Option<Instant>,
    /// `None` if there was no limit lately.
    limit: Option<SharedLimit>,
}

impl Warmup {
    /// Sets the requests a second that the searcher takes while it warms up. Returns whether a limit
    /// began or ended.
    pub fn set_rate(&mut self, rate: Option<RequestRate>, now: Instant) -> bool {
        self.rate = rate;
        self.update_limit(now, now)
    }

    /// Takes over what the searcher stated at `stated_at`, unless a later statement is known. `left` is
    /// the time that is left now. Returns whether a limit began or ended.
    pub fn record(&mut self, left: Duration, stated_at: Instant, now: Instant) -> bool {
        if self.stated_at.is_some_and(|known| stated_at < known) {
            return false;
        }
        self.stated_at = Some(stated_at);
        self.ends_at = Some(now + left.min(MAX_WARMUP));
        self.update_limit(stated_at, now)
    }

    /// Takes over what another host reported. Returns whether a limit began or ended.
    pub fn record_report(&mut self, host: &HostId, report: &WarmupReport, now: Instant) -> bool {
        let stated_at = now.checked_sub(report.limit.age).unwrap_or(now);
        let is_later = self.stated_at.is_none_or(|known| stated_at > known + REPORT_TOLERANCE);
        let changed = is_later && self.record(report.left, stated_at, now);
        if let Some(limit) = &mut self.limit {
            limit.record_report(host, &report.limit, now);
        }
        changed
    }

    /// Ends the limit if the warm-up has ended. Returns whether it did.
    pub fn end(&mut self, now: Instant) -> bool {
        self.end_of_limit(now).is_none() && self.update_limit(now, now)
    }

    /// Returns the end of the warm-up, or `None` if the searcher has no limit for that.
    pub fn end_of_limit(&self, now: Instant) -> Option<Instant> {
        self.rate?;
        self.ends_at.filter(|at| now < *at)
    }

    /// Returns the time that is left; zero if it has ended.
    pub fn left(&self, now: Instant) -> Duration {
        self.ends_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns when this host may send the next request, or `None` if it may send one now.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        let end = self.end_of_limit(now)?;
        self.limit.as_ref()?.opens_at(now).map(|at| at.min(end))
    }

    /// Returns the limit and how it is shared, or `None` if there was none lately.
    pub fn shared_limit(&mut self) -> Option<&mut SharedLimit> {
        self.limit.as_mut()
    }

    /// Forgets a limit that ended some time ago. Returns whether a limit has still to be reported.
    pub fn retain_limit(&mut self, now: Instant) -> bool {
        self.limit.take_if(|limit| limit.is_over(now));
        self.limit.is_some()
    }

    fn update_limit(&mut self, stated_at: Instant, now: Instant) -> bool {
        let limit = self.rate.filter(|_| self.end_of_limit(now).is_some());
        match (&mut self.limit, limit) {
            (Some(shared), _) => shared.update(limit, stated_at, now),
            (None, Some(limit)) => {
                self.limit = Some(SharedLimit::for_warmup(limit, stated_at, now));
                true
            }
            (None, None) => false,
        }
    }
}
