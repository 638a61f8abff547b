//! What the tasks of one host share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_config::edge::EdgeSettings;
use galenaloft_http::Limits;
use galenaloft_policy::directory::Revised;
use galenaloft_policy::ids::Capacity;
use galenaloft_policy::ids::ConfigVersion;
use galenaloft_policy::ids::RouteName;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::ids::StoreRevision;
use galenaloft_policy::quarantine::Crash;
use galenaloft_policy::quarantine::Quarantine;
use galenaloft_policy::readiness::HostCondition;
use galenaloft_policy::readiness::NotReady;
use galenaloft_policy::readiness::is_cut_off;
use galenaloft_policy::route::Configuration;
use galenaloft_policy::route::Gather;
use galenaloft_policy::route::Route;
use galenaloft_policy::route::Split;
use galenaloft_policy::route::Target;
use galenaloft_policy::route::WeightedService;
use galenaloft_policy::routing::LatencyEstimate;
use galenaloft_policy::routing::Sharers;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use galenaloft_telemetry::metrics::Metrics;
use tokio::sync::watch;

use crate::peers::MIN_ASSUMED_HOSTS;
use crate::peers::Peers;
use crate::peers::Relays;
use crate::peers::StoreView;
use crate::peers::capacity;
use crate::searchers::Fleet;

/// Connections that callers may open; the platform gives a process some thousand descriptors.
const CALLER_CONNECTIONS: usize = 2_000;

/// Part of its objective that a request is expected to take at a searcher while nothing is known.
const FIRST_ESTIMATE: u32 = 6;

/// Latencies of so many routes are kept.
const MAX_ROUTES: usize = 64;

/// The searchers that the store listed at some time.
#[derive(Debug, Clone)]
pub struct KnownSearchers {
    /// Each with its revision.
    pub searchers: Vec<Revised>,
    /// Revision up to which changes are known.
    pub revision: StoreRevision,
    /// When that was the newest.
    pub as_of: Instant,
}

/// State of one edge host.
#[derive(Debug)]
pub struct Host {
    /// Settings of the process.
    pub settings: EdgeSettings,
    /// The searchers.
    pub fleet: Fleet,
    /// The other hosts.
    pub peers: Peers,
    /// Calls to the other hosts.
    pub relays: Relays,
    /// What is known of the store, for hosts that ask.
    pub known_searchers: Mutex<Option<KnownSearchers>>,
    /// Requests that crash searchers.
    pub quarantine: Mutex<Quarantine>,
    /// Counters and latencies.
    pub metrics: Metrics,
    config: Mutex<Option<Arc<Configuration>>>,
    /// Bounds on callers, by the configuration.
    pub limits: watch::Sender<Limits>,
    splits: Mutex<BTreeMap<RouteName, Split>>,
    latencies: Mutex<BTreeMap<RouteName, LatencyEstimate>>,
    /// Whether the list of searchers was read.
    pub searchers_loaded: AtomicBool,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Hosts among which connections and budgets are shared out.
    sharers: Mutex<Sharers>,
    /// Whether the own zone is cut off from the others.
    cut_off: AtomicBool,
    /// When a searcher in another zone last answered.
    last_other_zone_answer: Mutex<Option<Instant>>,
    /// What the balancer was told last.
    reported_not_ready: Mutex<Option<NotReady>>,
    /// Requests of callers that are not answered yet.
    pub in_progress: AtomicUsize,
}

impl Host {
    /// Creates the state of a host that knows nothing yet.
    pub fn new(settings: EdgeSettings, incarnation: u64) -> Self {
        Self {
            peers: Peers::new(&settings, incarnation),
            relays: Relays::default(),
            known_searchers: Mutex::default(),
            fleet: Fleet::new(settings.zone.clone()),
            settings,
            quarantine: Mutex::default(),
            metrics: Metrics::default(),
            config: Mutex::new(None),
            limits: watch::channel(Limits {
                connections: CALLER_CONNECTIONS,
                head: 16 * 1024,
                body: 256 * 1024,
                read_timeout: Duration::from_secs(3),
                idle_timeout: Duration::from_secs(15),
            })
            .0,
            splits: Mutex::default(),
            latencies: Mutex::default(),
            searchers_loaded: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            sharers: Mutex::new(Sharers {
                all: MIN_ASSUMED_HOSTS,
                gatherers: MIN_ASSUMED_HOSTS,
                gatherers_in_zone: MIN_ASSUMED_HOSTS,
                gathers: true,
            }),
            cut_off: AtomicBool::new(false),
            last_other_zone_answer: Mutex::new(None),
            reported_not_ready: Mutex::new(Some(NotReady::Uninformed)),
            in_progress: AtomicUsize::new(0),
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Configuration>> {
        lock(&self.config).clone()
    }

    /// Adopts a configuration unless it is older than the one in force. Returns whether it did.
    pub fn adopt_config(&self, config: Configuration) -> bool {
        let mut current = lock(&self.config);
        if current.as_ref().is_some_and(|known| known.version >= config.version) {
            return false;
        }
        self.limits.send_modify(|limits| {
            limits.head = config.limits.head_bytes;
            limits.body = config.limits.body_bytes;
            limits.idle_timeout = config.limits.idle_timeout + config.limits.head_timeout;
        });
        *current = Some(Arc::new(config));
        true
    }

    /// Returns why the host takes no new callers, or `None` if it does.
    pub fn not_ready(&self) -> Option<NotReady> {
        let config = self.config();
        let condition = HostCondition {
            initialized: config.is_some() && self.searchers_loaded.load(Ordering::Relaxed),
            stopping: self.is_stopping(),
            cut_off: self.is_cut_off(),
            covers_floor: config.is_none_or(|config| self.covers_floor(&config)),
        };
        condition.not_ready()
    }

    /// Returns whether the own zone is cut off from the others.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.load(Ordering::Relaxed)
    }

    /// Shares out connections and budgets anew.
    pub fn update_sharers(&self, now: Instant) {
        *lock(&self.sharers) = self.peers.sharers(now);
    }

    /// Returns what this host has of a processor.
    pub fn capacity(&self) -> Capacity {
        capacity(&self.settings)
    }

    /// Looks at the other hosts again. Returns whether it changed that the zone is cut off.
    pub fn update_cut_off(&self, now: Instant) -> bool {
        let host = self.peers.other_zones_heard_at(now);
        let searcher = *lock(&self.last_other_zone_answer);
        let heard = host.map(|host| searcher.map_or(host, |searcher| host.max(searcher)));
        let cut_off = is_cut_off(heard, now);
        self.cut_off.swap(cut_off, Ordering::Relaxed) != cut_off
    }

    /// Notes that a searcher ended while it ran a request. Returns whether that is news.
    pub fn record_crash(&self, crash: Crash, now: Instant) -> bool {
        let event = Event::new("searcher_crashed")
            .with("searcher", &crash.searcher)
            .with("fingerprint", format!("{:016x}", crash.fingerprint));
        let new = lock(&self.quarantine).note(crash, now);
        if new {
            event.warn();
        }
        new
    }

    /// Notes an answer of a searcher in another zone.
    pub fn record_other_zone_answer(&self, now: Instant) {
        *lock(&self.last_other_zone_answer) = Some(now);
    }

    /// Returns how many of the shards have a searcher in the own zone.
    pub fn count_own_zone_shards(&self, gather: &Gather) -> usize {
        let own = |id: &&ServiceId| self.fleet.service(id).has_local_searcher();
        gather.shards.iter().filter(own).count()
    }

    fn covers_floor(&self, config: &Configuration) -> bool {
        config.routes().all(|route| match &route.target {
            Target::Gather(gather) => self.count_own_zone_shards(gather) >= gather.min_parts(),
            Target::Service(_) | Target::Weighted(_) => true,
        })
    }

    /// Notes what the balancer is reported_not_ready.
    pub fn record_readiness(&self, not_ready: Option<NotReady>) {
        let before = std::mem::replace(&mut *lock(&self.reported_not_ready), not_ready);
        if before != not_ready {
            let why = not_ready.map_or("none".to_owned(), |why| format!("{why:?}"));
            Event::new("readiness").with("ready", not_ready.is_none()).with("why_not", why).info();
        }
    }

    /// Returns whether callers shall open their next connection anew, perhaps to another host.
    pub fn closes_connections(&self) -> bool {
        lock(&self.reported_not_ready).is_some_and(|why| why != NotReady::Uninformed)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the hosts that share connections and budgets.
    pub fn sharers(&self) -> Sharers {
        *lock(&self.sharers)
    }

    /// Returns the version of the configuration in force, 0 without one.
    pub fn config_version(&self) -> ConfigVersion {
        lock(&self.config).as_ref().map_or(0, |config| config.version)
    }

    /// Returns what this host knows of the store, if it knows anything.
    pub fn knowledge(&self) -> Option<StoreView> {
        let known = lock(&self.known_searchers).clone()?;
        Some(StoreView {
            config: self.config().map(|config| (*config).clone()),
            searchers: known.searchers,
            revision: known.revision,
            age: now().saturating_duration_since(known.as_of),
        })
    }

    /// Returns the service for the next request of a route with weighted services.
    pub fn split(&self, route: &Route, parts: &[WeightedService]) -> Option<ServiceId> {
        lock(&self.splits).entry(route.name.clone()).or_default().next(parts)
    }

    /// Notes the latency of a route at some searcher.
    pub fn note_latency(&self, route: &RouteName, latency: Duration) {
        let mut latencies = lock(&self.latencies);
        if latencies.len() >= MAX_ROUTES && !latencies.contains_key(route) {
            latencies.clear();
        }
        latencies
            .entry(route.clone())
            .and_modify(|estimate| estimate.record(latency))
            .or_insert_with(|| LatencyEstimate::new(latency));
    }

    /// Returns the latency of a route over all searchers.
    pub fn latency(&self, route: &Route) -> LatencyEstimate {
        let known = lock(&self.latencies).get(&route.name).copied();
        known.unwrap_or_else(|| LatencyEstimate::new(route.target_latency / FIRST_ESTIMATE))
    }
}
