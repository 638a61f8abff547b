//! All searchers by service, as the directory lists them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use galenaloft_policy::directory::Directory;
use galenaloft_policy::directory::SearcherEntry;
use galenaloft_policy::directory::SearcherState;
use galenaloft_policy::ids::RequestRate;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::notice::LeavingRuns;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::sync::Notify;

use crate::searchers::Searcher;
use crate::searchers::Service;

/// All services that have searchers or are in use by a request.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneId,
    services: Mutex<BTreeMap<ServiceId, Arc<Service>>>,
    /// For each zone that has searchers or is evacuated, whether it is evacuated. The searchers of a
    /// zone share its flag, so that no request looks up a zone.
    evacuated: Mutex<BTreeMap<ZoneId, Arc<AtomicBool>>>,
    /// Whether some zone is evacuated.
    any_evacuated: AtomicBool,
    /// Runs of searchers that are leaving, listed or not.
    pub(super) leaving: Mutex<LeavingRuns>,
    /// Searchers that have a limit or had one lately.
    pub(super) limited: Mutex<BTreeMap<SearcherId, Arc<Searcher>>>,
    /// Signalled when the limit of a searcher begins or ends.
    pub limits_changed: Notify,
    /// Requests a second that searchers take while they warm up, by service.
    pub(super) warmup_rates: Mutex<BTreeMap<ServiceId, RequestRate>>,
}

impl Fleet {
    /// Creates an empty fleet for a host in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            services: Mutex::default(),
            evacuated: Mutex::default(),
            any_evacuated: AtomicBool::new(false),
            leaving: Mutex::default(),
            limited: Mutex::default(),
            limits_changed: Notify::new(),
            warmup_rates: Mutex::default(),
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

    /// Sets which zones are evacuated: nothing new is sent to their searchers, including those that are
    /// listed later.
    pub fn set_evacuated(&self, zones: &BTreeSet<ZoneId>) {
        let mut flags = lock(&self.evacuated);
        for zone in zones {
            flags.entry(zone.clone()).or_default();
        }
        for (zone, flag) in flags.iter() {
            flag.store(zones.contains(zone), Ordering::Relaxed);
        }
        self.any_evacuated.store(!zones.is_empty(), Ordering::Relaxed);
    }

    /// Returns whether some zone is evacuated.
    pub fn has_evacuated_zones(&self) -> bool {
        self.any_evacuated.load(Ordering::Relaxed)
    }

    /// Returns the flag that states whether a zone is evacuated.
    fn evacuation_flag(&self, zone: &ZoneId) -> Arc<AtomicBool> {
        lock(&self.evacuated).entry(zone.clone()).or_default().clone()
    }

    /// Updates the searchers to those that the directory lists. Searchers that stay keep their
    /// observed health and connections; those that are no longer listed drain, and those that are
    /// leaving stay drained if they are listed again.
    pub fn update(&self, directory: &Directory) {
        let now = now();
        let mut listed: BTreeMap<ServiceId, Vec<Arc<Searcher>>> = BTreeMap::new();
        for entry in directory.entries() {
            let known = self.find(&entry.service, &entry.id);
            let searcher = match known.filter(|known| known.entry.is_same_run(entry)) {
                Some(known) => known,
                None => {
                    let local = entry.zone == self.zone;
                    log_change("searcher_listed", entry);
                    let evacuated = self.evacuation_flag(&entry.zone);
                    let searcher = Arc::new(Searcher::new(entry.clone(), local, evacuated));
                    self.apply_warmup_rate(&searcher, now);
                    searcher
                }
            };
            self.record_listed_warmup(&searcher, entry.warmup_left, now);
            let run = entry.run();
            if entry.state == SearcherState::Draining && lock(&self.leaving).record(&run) {
                log_change("searcher_draining", entry);
            }
            if self.is_leaving(&run) {
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
        lock(&self.evacuated)
            .retain(|_, flag| flag.load(Ordering::Relaxed) || Arc::strong_count(flag) > 1);
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
pub(super) fn log_change(event: &str, entry: &SearcherEntry) {
    change_event(event, entry).info();
}

/// Returns a log line about a searcher that names it.
pub(super) fn change_event(event: &str, entry: &SearcherEntry) -> Event {
    Event::new(event)
        .with("searcher", &entry.id)
        .with("service", &entry.service)
        .with("zone", &entry.zone)
        .with("address", entry.address)
        .with("born", entry.start_time)
}
