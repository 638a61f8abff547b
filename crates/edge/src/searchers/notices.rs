//! What searchers state about themselves, in answers to this host or to others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::directory::SearcherRun;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::ids::RequestRate;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::notice::LimitReport;
use galenaloft_policy::notice::Notice;
use galenaloft_policy::notice::WarmupReport;
use galenaloft_policy::route::ServiceSpec;
use galenaloft_runtime::sync::lock;

use crate::searchers::Fleet;
use crate::searchers::Searcher;
use crate::searchers::fleet::change_event;
use crate::searchers::fleet::log_change;

impl Fleet {
    /// Takes over what a searcher stated about itself in an answer. Returns whether the other hosts
    /// have to be told that it is leaving.
    pub fn record_notice(&self, searcher: &Arc<Searcher>, notice: &Notice, now: Instant) -> bool {
        let leaves = notice.leaving && lock(&self.leaving).record(&searcher.entry.run());
        if leaves {
            log_change("searcher_leaving", &searcher.entry);
            searcher.drain();
        }
        if let Some(load) = notice.load {
            lock(&searcher.health).record_load(load, now);
        }
        let change = lock(&searcher.gate).record(notice, now);
        if change.paused {
            let pause = notice.pause.unwrap_or_default();
            change_event("searcher_paused", &searcher.entry)
                .with("pause_ms", pause.as_millis())
                .info();
        }
        if change.limited {
            self.record_limit_change(searcher);
        }
        leaves
    }

    /// Takes over that a run is leaving, as another host reported. Returns whether that is new.
    pub fn record_leaving(&self, run: &SearcherRun) -> bool {
        let is_new = lock(&self.leaving).record(run);
        if is_new && let Some(searcher) = self.find_run(run) {
            log_change("searcher_leaving", &searcher.entry);
            searcher.drain();
        }
        is_new
    }

    /// Returns whether a run is leaving.
    pub fn is_leaving(&self, run: &SearcherRun) -> bool {
        lock(&self.leaving).contains(run)
    }

    /// Takes over what another host reported about the limits of searchers.
    pub fn record_limit_reports(&self, host: &HostId, reports: &[LimitReport], now: Instant) {
        for report in reports {
            let Some(searcher) = self.find_run(&report.run) else {
                continue;
            };
            if lock(&searcher.gate).record_report(host, report, now) {
                self.record_limit_change(&searcher);
            }
        }
    }

    /// Takes over what another host reported about searchers that warm up.
    pub fn record_warmup_reports(&self, host: &HostId, reports: &[WarmupReport], now: Instant) {
        for report in reports {
            let Some(searcher) = self.find_run(&report.limit.run) else {
                continue;
            };
            let changed = lock(&searcher.gate).record_warmup_report(host, report, now);
            self.update_warmup(&searcher, changed, now);
        }
    }

    /// Takes over from the configuration how many requests a second searchers take while they warm up.
    pub fn set_warmup_rates(&self, services: &BTreeMap<ServiceId, ServiceSpec>, now: Instant) {
        let rate = |(id, spec): (&ServiceId, &ServiceSpec)| Some((id.clone(), spec.warmup?.rate));
        let rates: BTreeMap<ServiceId, RequestRate> = services.iter().filter_map(rate).collect();
        if *lock(&self.warmup_rates) == rates {
            return;
        }
        lock(&self.warmup_rates).clone_from(&rates);
        for (id, service) in self.services() {
            let rate = rates.get(&id).copied();
            for searcher in service.searchers() {
                let changed = lock(&searcher.gate).set_warmup_rate(rate, now);
                self.update_warmup(&searcher, changed, now);
            }
        }
    }

    /// Takes over how long a searcher warms up according to its entry, unless that is known.
    pub(super) fn record_listed_warmup(
        &self,
        searcher: &Arc<Searcher>,
        left: Duration,
        now: Instant,
    ) {
        if std::mem::replace(&mut *lock(&searcher.listed_warmup), left) == left {
            return;
        }
        self.record_warmup(searcher, left, now);
    }

    /// Takes over how long a searcher still warms up.
    pub fn record_warmup(&self, searcher: &Arc<Searcher>, left: Duration, now: Instant) {
        let changed = lock(&searcher.gate).record_warmup(left, now);
        self.update_warmup(searcher, changed, now);
    }

    /// Returns whether the requests to searchers of a service are bounded while they warm up.
    pub fn bounds_warmup(&self, service: &ServiceId) -> bool {
        lock(&self.warmup_rates).contains_key(service)
    }

    /// Sets how many requests a second a searcher that was just listed takes while it warms up.
    pub(super) fn apply_warmup_rate(&self, searcher: &Searcher, now: Instant) {
        let rate = lock(&self.warmup_rates).get(&searcher.entry.service).copied();
        lock(&searcher.gate).set_warmup_rate(rate, now);
    }

    /// Passes on the end of a searcher's warm-up to its health, and records if a limit began or ended.
    fn update_warmup(&self, searcher: &Arc<Searcher>, changed: bool, now: Instant) {
        let end = lock(&searcher.gate).warmup_end(now);
        lock(&searcher.health).record_warmup(end);
        if !changed {
            return;
        }
        match end {
            Some(end) => {
                let left = end.saturating_duration_since(now);
                let event = change_event("searcher_warming_up", &searcher.entry);
                event.with("left_ms", left.as_millis()).info();
            }
            None => log_change("searcher_warmed_up", &searcher.entry),
        }
        lock(&self.limited).insert(searcher.entry.id.clone(), searcher.clone());
        self.limits_changed.notify_one();
    }

    /// Returns a run of a searcher if it is listed. Those that have a limit are found first.
    fn find_run(&self, run: &SearcherRun) -> Option<Arc<Searcher>> {
        let is_run = |searcher: &Arc<Searcher>| {
            searcher.entry.id == run.searcher && searcher.entry.start_time == run.start_time
        };
        let limited = lock(&self.limited).get(&run.searcher).cloned().filter(is_run);
        limited.or_else(|| {
            let services = self.services().into_iter();
            services.flat_map(|(_, service)| service.searchers()).find(is_run)
        })
    }

    fn record_limit_change(&self, searcher: &Arc<Searcher>) {
        match lock(&searcher.gate).limit() {
            Some(limit) => {
                let event = change_event("searcher_limited", &searcher.entry);
                event.with("limit", limit).info();
            }
            None => log_change("searcher_limit_ended", &searcher.entry),
        }
        lock(&self.limited).insert(searcher.entry.id.clone(), searcher.clone());
        self.limits_changed.notify_one();
    }

    /// Returns the searchers that have a limit or had one lately, and forgets those that left.
    pub fn limited(&self, now: Instant) -> Vec<Arc<Searcher>> {
        let mut limited = lock(&self.limited);
        for searcher in limited.values() {
            if lock(&searcher.gate).end_warmup(now) {
                log_change("searcher_warmed_up", &searcher.entry);
            }
        }
        limited.retain(|_, searcher| {
            !searcher.is_draining() && lock(&searcher.gate).retain_limit(now)
        });
        limited.values().cloned().collect()
    }

    /// Returns whether some searcher has a limit or had one lately.
    pub fn has_limits(&self) -> bool {
        !lock(&self.limited).is_empty()
    }
}
