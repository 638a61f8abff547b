//! Whether a host may send one more request to a searcher.

use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::RequestRate;
use crate::notice::LimitReport;
use crate::notice::Notice;
use crate::notice::SharedLimit;
use crate::notice::StatedLimit;
use crate::notice::Warmup;
use crate::notice::WarmupReport;

/// Longest pause that a searcher can ask for.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// What an answer changed about the requests that its searcher takes.
#[derive(Debug, Clone, Copy)]
pub struct GateChange {
    /// Whether a pause begins.
    pub paused: bool,
    /// Whether the limit began or ended.
    pub limited: bool,
}

/// What one host may send to one run of a searcher, according to the statements in its answers.
#[derive(Debug, Default)]
pub struct Gate {
    /// End of the last pause that the searcher asked for.
    paused_until: Option<Instant>,
    /// Limit that the searcher has stated; `None` if it has not stated any lately.
    limit: Option<SharedLimit>,
    /// Warm-up of the searcher. The lower one of its limit and the stated one holds.
    warmup: Warmup,
}

impl Gate {
    /// Takes over the statements of an answer that was received at `now`.
    pub fn record(&mut self, notice: &Notice, now: Instant) -> GateChange {
        let limited = match notice.limit {
            StatedLimit::Unknown => false,
            StatedLimit::Unlimited => self.update_limit(None, now, now),
            StatedLimit::Limited(limit) => self.update_limit(Some(limit), now, now),
        };
        GateChange { paused: self.record_pause(notice.pause, now), limited }
    }

    /// Sets the requests a second that the searcher takes while it warms up. Returns whether a limit
    /// began or ended.
    pub fn set_warmup_rate(&mut self, rate: Option<RequestRate>, now: Instant) -> bool {
        self.warmup.set_rate(rate, now)
    }

    /// Takes over how long the searcher still warms up, as it states in its entry or to a health check.
    /// Returns whether a limit began or ended.
    pub fn record_warmup(&mut self, left: Duration, now: Instant) -> bool {
        self.warmup.record(left, now, now)
    }

    /// Takes over what another host reported about the warm-up. Returns whether a limit began or ended.
    pub fn record_warmup_report(
        &mut self,
        host: &HostId,
        report: &WarmupReport,
        now: Instant,
    ) -> bool {
        self.warmup.record_report(host, report, now)
    }

    /// Ends the limit of the warm-up if that has ended. Returns whether it did.
    pub fn end_warmup(&mut self, now: Instant) -> bool {
        self.warmup.end(now)
    }

    /// Returns the end of the warm-up, or `None` if the searcher has no limit for that.
    pub fn warmup_end(&self, now: Instant) -> Option<Instant> {
        self.warmup.end_of_limit(now)
    }

    /// Returns the warm-up and how its limit is shared.
    pub fn warmup(&mut self) -> &mut Warmup {
        &mut self.warmup
    }

    /// Takes over what another host reported about the limit. Returns whether the limit began or ended.
    pub fn record_report(&mut self, host: &HostId, report: &LimitReport, now: Instant) -> bool {
        let stated_at = now.checked_sub(report.age).unwrap_or(now);
        let changed = self.update_limit(report.limit, stated_at, now);
        if let Some(limit) = &mut self.limit {
            limit.record_report(host, report, now);
        }
        changed
    }

    /// Returns when the next request may be sent, or `None` if it may be sent now.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        let next_in_limit = self.limit.as_ref().and_then(|limit| limit.opens_at(now));
        self.pause_end(now).max(next_in_limit).max(self.warmup.opens_at(now))
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.shared_limits().for_each(|limit| limit.record_sent(now));
    }

    /// Records that a request would be sent if the searcher had no limit.
    pub fn record_demand(&mut self, now: Instant) {
        self.shared_limits().for_each(|limit| limit.record_demand(now));
    }

    /// Returns whether there is a limit on the requests of all hosts together.
    pub fn is_limited(&self, now: Instant) -> bool {
        self.limit().is_some() || self.warmup_end(now).is_some()
    }

    fn shared_limits(&mut self) -> impl Iterator<Item = &mut SharedLimit> {
        self.limit.iter_mut().chain(self.warmup.shared_limit())
    }

    /// Returns the limit on the requests of all hosts together, or `None` if there is none.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.as_ref().and_then(SharedLimit::limit)
    }

    /// Returns the limit and how it is shared, or `None` if there was none lately.
    pub fn shared_limit(&mut self) -> Option<&mut SharedLimit> {
        self.limit.as_mut()
    }

    /// Returns whether the searcher's health should be checked now to hear whether its limit still
    /// holds, although the limit may leave no request for that. A paused searcher is not checked.
    pub fn begin_limit_check(&mut self, now: Instant) -> bool {
        self.pause_end(now).is_none()
            && self.shared_limits().fold(false, |is_due, limit| limit.begin_check(now) | is_due)
    }

    /// Forgets a limit that ended some time ago. Returns whether a limit has still to be reported.
    pub fn retain_limit(&mut self, now: Instant) -> bool {
        self.limit.take_if(|limit| limit.is_over(now));
        let has_warmup_limit = self.warmup.retain_limit(now);
        self.limit.is_some() || has_warmup_limit
    }

    /// Returns the end of the pause, or `None` if the searcher is not paused.
    fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Returns whether the searcher asks for a pause that begins now.
    fn record_pause(&mut self, pause: Option<Duration>, now: Instant) -> bool {
        let Some(pause) = pause.filter(|pause| !pause.is_zero()) else {
            return false;
        };
        let is_new = self.pause_end(now).is_none();
        self.paused_until = self.paused_until.max(Some(now + pause.min(MAX_PAUSE)));
        is_new
    }

    fn update_limit(
        &mut self,
        limit: Option<RequestRate>,
        stated_at: Instant,
        now: Instant,
    ) -> bool {
        match (&mut self.limit, limit) {
            (Some(shared), _) => shared.update(limit, stated_at, now),
            (None, Some(limit)) => {
                self.limit = Some(SharedLimit::new(limit, stated_at, now));
                true
            }
            (None, None) => false,
        }
    }
}
