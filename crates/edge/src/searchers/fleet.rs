//! All searchers by service, and the choice of one of them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use galenaloft_policy::directory::Directory;
use galenaloft_policy::directory::SearcherEntry;
use galenaloft_policy::directory::SearcherRun;
use galenaloft_policy::directory::SearcherState;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::notice::LeavingRuns;
use galenaloft_policy::notice::LimitReport;
use galenaloft_policy::notice::Notice;
use galenaloft_policy::route::Route;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_policy::routing::ExtraRequestBudget;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::sync::Notify;

use crate::searchers::Searcher;

/// One service: its searchers, and this host's budget of extra requests to it.
#[derive(Debug, Default)]
pub struct Service {
    searchers: Mutex<Vec<Arc<Searcher>>>,
    /// Budget of hedges and retries, the requests beyond the first attempt.
    pub budget: Mutex<ExtraRequestBudget>,
    /// Signalled when a connection to some searcher becomes free.
    pub connection_freed: Notify,
}

/// Zones whose searchers can be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneScope {
    /// All zones.
    All,
    /// Only this host's zone, since it is cut off from the others.
    OwnZone,
}

/// Restricts which searchers of a service may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidates<'a> {
    /// Searchers that may be asked; empty for all that are listed.
    pub allowed: &'a [SearcherId],
    /// Searchers that were asked already.
    pub tried: &'a [SearcherId],
    /// Zones whose searchers can be asked.
    pub zone_scope: ZoneScope,
}

impl Candidates<'_> {
    fn contains(&self, searcher: &Searcher) -> bool {
        let id = &searcher.entry.id;
        let allowed = self.allowed.is_empty() || self.allowed.contains(id);
        let in_scope = self.zone_scope == ZoneScope::All || searcher.local;
        allowed && in_scope && !self.tried.contains(id)
    }
}

/// Result of choosing a searcher.
#[derive(Debug, Clone)]
pub enum Choice {
    /// The searcher with the least expected cost.
    Searcher(Arc<Searcher>),
    /// There are usable candidates, but this host has used up its connections to each of them.
    AllAtLimit,
    /// There are usable candidates, but none of them takes requests from this host before this time.
    Closed(Instant),
    /// There is no usable candidate.
    NoSearcher,
}

impl Service {
    /// Returns the searchers of the service.
    pub fn searchers(&self) -> Vec<Arc<Searcher>> {
        lock(&self.searchers).clone()
    }

    /// Returns when some usable searcher takes requests from this host again, or `None` if one does
    /// now or there is no usable one.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        let searchers = lock(&self.searchers);
        let mut earliest: Option<Instant> = None;
        for searcher in searchers.iter().filter(|searcher| searcher.is_usable()) {
            let at = searcher.opens_at(now)?;
            earliest = Some(earliest.map_or(at, |known| known.min(at)));
        }
        earliest
    }

    /// Returns the lowest expected latency of a usable searcher that takes requests from this host
    /// now, in seconds, or `None` if there is no such searcher. `prior` is the expected latency of searchers without observations.
    pub fn best_expected_latency(&self, route: &Route, prior: f64, now: Instant) -> Option<f64> {
        let searchers = lock(&self.searchers);
        let usable = searchers.iter().filter(|s| s.is_usable() && s.opens_at(now).is_none());
        usable.map(|searcher| searcher.expected_latency(route, prior, now)).min_by(f64::total_cmp)
    }

    /// Returns the availability zone of each searcher that is usable and has not failed since its
    /// last answer.
    pub fn healthy_zones(&self) -> Vec<ZoneId> {
        let searchers = lock(&self.searchers);
        let healthy = searchers.iter().filter(|s| s.is_usable() && !s.is_suspect());
        healthy.map(|searcher| searcher.entry.zone.clone()).collect()
    }

    /// Returns whether some searcher in this host's zone is usable.
    pub fn has_local_searcher(&self) -> bool {
        lock(&self.searchers).iter().any(|searcher| searcher.local && searcher.is_usable())
    }

    /// Records that a request would be sent to the searcher with the least expected cost if it takes
    /// requests only up to a limit.
    pub fn record_demand(&self, route: &Route, prior: f64, now: Instant) {
        let searchers = lock(&self.searchers);
        let usable = searchers.iter().filter(|searcher| searcher.is_usable());
        let preferred =
            usable.min_by(|a, b| a.cost(route, prior, now).total_cmp(&b.cost(route, prior, now)));
        if let Some(searcher) = preferred
            && let Some(limit) = lock(&searcher.gate).shared_limit()
        {
            limit.record_demand(now);
        }
    }

    /// Chooses the candidate with the least expected cost among the usable searchers that take
    /// requests from this host and to which it may use a connection. `prior` is the expected latency, in seconds, without
    /// observations.
    pub fn choose(
        &self,
        route: &Route,
        prior: f64,
        candidates: Candidates<'_>,
        share: ConnectionShare,
        now: Instant,
    ) -> Choice {
        let searchers = lock(&self.searchers);
        let mut best: Option<(f64, &Arc<Searcher>)> = None;
        let mut any_at_limit = false;
        let mut opens_at: Option<Instant> = None;
        for searcher in searchers.iter() {
            if !searcher.is_usable() || !candidates.contains(searcher) {
                continue;
            }
            if !searcher.has_free_connection(share.limit(searcher.local)) {
                any_at_limit = true;
                continue;
            }
            if let Some(at) = searcher.opens_at(now) {
                opens_at = Some(opens_at.map_or(at, |earliest| earliest.min(at)));
                continue;
            }
            let cost = searcher.cost(route, prior, now);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, searcher));
            }
        }
        match (best, opens_at) {
            (Some((_, searcher)), _) => Choice::Searcher(searcher.clone()),
            (None, _) if any_at_limit => Choice::AllAtLimit,
            (None, Some(at)) => Choice::Closed(at),
            (None, None) => Choice::NoSearcher,
        }
    }
}

/// All services that have searchers or are in use by a request.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneId,
    services: Mutex<BTreeMap<ServiceId, Arc<Service>>>,
    /// Runs of searchers that are leaving, listed or not.
    leaving: Mutex<LeavingRuns>,
    /// Searchers that have a limit or had one lately.
    limited: Mutex<BTreeMap<SearcherId, Arc<Searcher>>>,
    /// Signalled when the limit of a searcher begins or ends.
    pub limits_changed: Notify,
}

impl Fleet {
    /// Creates an empty fleet for a host in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            services: Mutex::default(),
            leaving: Mutex::default(),
            limited: Mutex::default(),
            limits_changed: Notify::new(),
        }
    }

    /// Returns a service, which is created without searchers if there is none of that id.
    pub fn service(&self, id: &ServiceId) -> Arc<Service> {
        let mut services = lock(&self.services);
        match services.get(id) {
            Some(service) => service.clone(),
            None => services.entry(id.clone()).or_default().clone(),
        }
    }

    /// Returns every service with its id.
    pub fn services(&self) -> Vec<(ServiceId, Arc<Service>)> {
        lock(&self.services).iter().map(|(id, service)| (id.clone(), service.clone())).collect()
    }

    /// Ends the backoff of searchers in other zones, so that those that were unreachable get a
    /// health request in the next maintenance round.
    pub fn retry_other_zones(&self, now: Instant) {
        for (_, service) in self.services() {
            for searcher in service.searchers().iter().filter(|searcher| !searcher.local) {
                lock(&searcher.health).end_backoff(now);
            }
        }
    }

    /// Takes over what a searcher stated about itself in an answer. Returns whether the other hosts
    /// have to be told that it is leaving.
    pub fn record_notice(&self, searcher: &Arc<Searcher>, notice: &Notice, now: Instant) -> bool {
        let leaves = notice.leaving && lock(&self.leaving).record(&searcher.entry.run());
        if leaves {
            log_change("searcher_leaving", &searcher.entry);
            searcher.drain();
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
        limited.retain(|_, searcher| {
            !searcher.is_draining() && lock(&searcher.gate).retain_limit(now)
        });
        limited.values().cloned().collect()
    }

    /// Returns whether some searcher has a limit or had one lately.
    pub fn has_limits(&self) -> bool {
        !lock(&self.limited).is_empty()
    }

    /// Updates the searchers to those that the directory lists. Searchers that stay keep their
    /// observed health and connections; those that are no longer listed drain, and those that are
    /// leaving stay drained if they are listed again.
    pub fn update(&self, directory: &Directory) {
        let mut listed: BTreeMap<ServiceId, Vec<Arc<Searcher>>> = BTreeMap::new();
        for entry in directory.entries() {
            let known = self.find(&entry.service, &entry.id);
            let searcher = match known.filter(|known| known.entry.is_same_run(entry)) {
                Some(known) => known,
                None => {
                    let local = entry.zone == self.zone;
                    log_change("searcher_listed", entry);
                    Arc::new(Searcher::new(entry.clone(), local))
                }
            };
            if entry.state == SearcherState::Draining && lock(&self.leaving).record(&entry.run()) {
                log_change("searcher_draining", entry);
            }
            if lock(&self.leaving).contains(&entry.run()) {
                searcher.drain();
            }
            listed.entry(entry.service.clone()).or_default().push(searcher);
        }
        for (id, searchers) in &listed {
            let service = self.service(id);
            let before = std::mem::replace(&mut *lock(&service.searchers), searchers.clone());
            let removed =
                before.iter().filter(|old| !searchers.iter().any(|new| Arc::ptr_eq(old, new)));
            removed.for_each(|searcher| retire(searcher));
        }
        lock(&self.services).retain(|id, service| {
            if !listed.contains_key(id) {
                lock(&service.searchers).drain(..).for_each(|searcher| retire(&searcher));
            }
            listed.contains_key(id) || Arc::strong_count(service) > 1
        });
    }

    fn find(&self, service: &ServiceId, id: &SearcherId) -> Option<Arc<Searcher>> {
        let service = lock(&self.services).get(service)?.clone();
        let searchers = lock(&service.searchers);
        searchers.iter().find(|searcher| searcher.entry.id == *id).cloned()
    }
}

/// Stops using a searcher that the store no longer lists.
fn retire(searcher: &Searcher) {
    log_change("searcher_gone", &searcher.entry);
    searcher.drain();
}

/// Logs that a searcher was added, began to drain or was removed.
fn log_change(event: &str, entry: &SearcherEntry) {
    change_event(event, entry).info();
}

/// Returns a log line about a searcher that names it.
fn change_event(event: &str, entry: &SearcherEntry) -> Event {
    Event::new(event)
        .with("searcher", &entry.id)
        .with("service", &entry.service)
        .with("zone", &entry.zone)
        .with("address", entry.address)
        .with("born", entry.start_time)
}
