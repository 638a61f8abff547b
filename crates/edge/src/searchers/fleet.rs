//! The searchers of every service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use galenaloft_policy::directory::Directory;
use galenaloft_policy::directory::SearcherEntry;
use galenaloft_policy::directory::SearcherState;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::route::Route;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_policy::routing::ExtraBudget;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::sync::Notify;

use crate::searchers::Searcher;

/// One service: its searchers and what one host may spend on it.
#[derive(Debug, Default)]
pub struct Service {
    searchers: Mutex<Vec<Arc<Searcher>>>,
    /// Budget of requests beyond the first.
    pub budget: Mutex<ExtraBudget>,
    /// Signalled when a connection becomes free.
    pub connection_freed: Notify,
}

/// Which searchers can be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneScope {
    /// Those of every zone.
    All,
    /// Those of the own zone, which is cut off from the others.
    OwnZone,
}

/// The searchers that a choice is made among.
#[derive(Debug, Clone, Copy)]
pub struct Candidates<'a> {
    /// Searchers that may be asked; none stands for all that are listed.
    pub allowed: &'a [SearcherId],
    /// Searchers that were asked already.
    pub tried: &'a [SearcherId],
    /// Which can be asked.
    pub zone_scope: ZoneScope,
}

impl Candidates<'_> {
    fn include(&self, searcher: &Searcher) -> bool {
        let id = &searcher.entry.id;
        let allowed = self.allowed.is_empty() || self.allowed.contains(id);
        let reached = self.zone_scope == ZoneScope::All || searcher.local;
        allowed && reached && !self.tried.contains(id)
    }
}

/// What a choice found.
#[derive(Debug, Clone)]
pub enum Choice {
    /// The searcher that is expected to answer first.
    Searcher(Arc<Searcher>),
    /// Searchers are there, but each has as many requests of this host as it may.
    AllAtLimit,
    /// No searcher is left.
    NoSearcher,
}

impl Service {
    /// Returns the searchers.
    pub fn searchers(&self) -> Vec<Arc<Searcher>> {
        lock(&self.searchers).clone()
    }

    /// Returns the expected latency of the best searcher, or `None` without a usable one.
    pub fn best_expected_latency(&self, route: &Route, prior: f64, now: Instant) -> Option<f64> {
        let searchers = lock(&self.searchers);
        let usable = searchers.iter().filter(|searcher| searcher.is_usable());
        usable.map(|searcher| searcher.expected_latency(route, prior, now)).min_by(f64::total_cmp)
    }

    /// Returns the availability zones in which a searcher is expected to answer.
    pub fn healthy_zones(&self) -> Vec<ZoneId> {
        let searchers = lock(&self.searchers);
        let sound = searchers.iter().filter(|s| s.is_usable() && !s.is_suspect());
        sound.map(|searcher| searcher.entry.zone.clone()).collect()
    }

    /// Returns whether some searcher in the own zone may be asked.
    pub fn has_local_searcher(&self) -> bool {
        lock(&self.searchers).iter().any(|searcher| searcher.local && searcher.is_usable())
    }

    /// Chooses one searcher.
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
        let mut full = false;
        for searcher in searchers.iter() {
            if !searcher.is_usable() || !candidates.include(searcher) {
                continue;
            }
            if !searcher.has_free_connection(share.limit(searcher.local)) {
                full = true;
                continue;
            }
            let cost = searcher.cost(route, prior, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, searcher));
            }
        }
        match best {
            Some((_, searcher)) => Choice::Searcher(searcher.clone()),
            None if full => Choice::AllAtLimit,
            None => Choice::NoSearcher,
        }
    }
}

/// Every service that has or had searchers.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneId,
    services: Mutex<BTreeMap<ServiceId, Arc<Service>>>,
}

impl Fleet {
    /// Creates a fleet without searchers, seen from `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self { zone, services: Mutex::default() }
    }

    /// Returns a service; one without searchers is created empty.
    pub fn service(&self, id: &ServiceId) -> Arc<Service> {
        let mut services = lock(&self.services);
        match services.get(id) {
            Some(service) => service.clone(),
            None => services.entry(id.clone()).or_default().clone(),
        }
    }

    /// Returns every service with its name.
    pub fn services(&self) -> Vec<(ServiceId, Arc<Service>)> {
        lock(&self.services).iter().map(|(id, service)| (id.clone(), service.clone())).collect()
    }

    /// Lets every searcher of another zone that was unreachable be asked for its health at once.
    pub fn retry_other_zones(&self, now: Instant) {
        for (_, service) in self.services() {
            for searcher in service.searchers().iter().filter(|searcher| !searcher.local) {
                lock(&searcher.health).retry(now);
            }
        }
    }

    /// Brings the searchers in line with the directory. Those that stay keep what was observed of
    /// them; those that are gone drain.
    pub fn update(&self, directory: &Directory) {
        let mut listed: BTreeMap<ServiceId, Vec<Arc<Searcher>>> = BTreeMap::new();
        for entry in directory.entries() {
            let known = self.find(&entry.service, &entry.id);
            let searcher = match known.filter(|known| known.entry.is_same_run(entry)) {
                Some(known) => known,
                None => {
                    let local = entry.zone == self.zone;
                    note_change("searcher_listed", entry);
                    Arc::new(Searcher::new(entry.clone(), local))
                }
            };
            if entry.state == SearcherState::Draining && !searcher.is_draining() {
                note_change("searcher_draining", entry);
                searcher.drain();
            }
            listed.entry(entry.service.clone()).or_default().push(searcher);
        }
        for (id, searchers) in &listed {
            let service = self.service(id);
            let before = std::mem::replace(&mut *lock(&service.searchers), searchers.clone());
            let gone =
                before.iter().filter(|old| !searchers.iter().any(|new| Arc::ptr_eq(old, new)));
            gone.for_each(|searcher| end(searcher));
        }
        lock(&self.services).retain(|id, service| {
            if !listed.contains_key(id) {
                lock(&service.searchers).drain(..).for_each(|searcher| end(&searcher));
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

/// Uses a searcher no more, since the store lists it no longer.
fn end(searcher: &Searcher) {
    note_change("searcher_gone", &searcher.entry);
    searcher.drain();
}

fn note_change(event: &str, entry: &SearcherEntry) {
    Event::new(event)
        .with("searcher", &entry.id)
        .with("service", &entry.service)
        .with("zone", &entry.zone)
        .with("address", entry.address)
        .with("born", entry.born)
        .info();
}
