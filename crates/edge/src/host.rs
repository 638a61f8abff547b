//! The state that the tasks of one edge host share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use galenaloft_adapter::searcher;
use galenaloft_config::edge::EdgeAdmission;
use galenaloft_config::edge::EdgeSettings;
use galenaloft_http::Limits;
use galenaloft_http::max_caller_connections;
use galenaloft_policy::admission::by_cost::HostAdmission;
use galenaloft_policy::directory::Change;
use galenaloft_policy::directory::RevisionedChange;
use galenaloft_policy::evacuation::Evacuations;
use galenaloft_policy::ids::Capacity;
use galenaloft_policy::ids::ConfigVersion;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::ids::RouteName;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::quarantine::Crash;
use galenaloft_policy::quarantine::Quarantine;
use galenaloft_policy::readiness::HostCondition;
use galenaloft_policy::readiness::NotReady;
use galenaloft_policy::readiness::is_cut_off;
use galenaloft_policy::route::Configuration;
use galenaloft_policy::route::Gather;
use galenaloft_policy::route::Route;
use galenaloft_policy::route::Target;
use galenaloft_policy::route::WeightedRoundRobin;
use galenaloft_policy::route::WeightedService;
use galenaloft_policy::routing::LatencyEstimate;
use galenaloft_policy::routing::SharingHosts;
use galenaloft_policy::store_position::StorePosition;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use galenaloft_telemetry::metrics::Metrics;
use hyper::Response;
use tokio::sync::watch;

use crate::peers::MIN_ASSUMED_HOSTS;
use crate::peers::Peers;
use crate::peers::Relays;
use crate::peers::Report;
use crate::peers::StoreView;
use crate::peers::capacity;
use crate::searchers::Fleet;
use crate::searchers::Searcher;

/// Maximum number of open connections from callers, if the process may have that many descriptors.
/// The platform grants a process a few thousand file descriptors.
const MAX_CALLER_CONNECTIONS: usize = 2_000;

/// Divisor of a route's target latency that gives the expected searcher latency before the first
/// sample.
const INITIAL_LATENCY_DIVISOR: u32 = 6;

/// Maximum number of routes with a latency estimate. A further route clears the map, which bounds
/// its memory.
const MAX_LATENCY_ESTIMATES: usize = 64;

/// Age up to which what is known of the store counts as current: a little more than the time between
/// two reads of it.
const MAX_STORE_AGE: Duration = Duration::from_secs(2);

/// The searchers that the store listed at one point in time.
#[derive(Debug, Clone)]
pub struct KnownSearchers {
    /// Searchers, each with the store position of its entry.
    pub searchers: Vec<RevisionedChange>,
    /// Position of the store up to which changes are included.
    pub position: StorePosition,
    /// Time at which the list was last known to be up to date.
    pub as_of: Instant,
}

/// Shared state of one edge host.
#[derive(Debug)]
pub struct Host {
    /// Settings of the process.
    pub settings: EdgeSettings,
    /// Searchers of every service.
    pub fleet: Fleet,
    /// Membership and gossip with the other edge hosts.
    pub peers: Peers,
    /// RPC connections to the other edge hosts, and what was observed of them.
    pub relays: Relays,
    /// Searchers that the store listed, sent to other hosts on request. `None` until a list is
    /// received.
    pub known_searchers: Mutex<Option<KnownSearchers>>,
    /// Requests during which searchers crashed.
    pub quarantine: Mutex<Quarantine>,
    /// Evacuated zones; none while the setting is off.
    pub(crate) evacuations: Mutex<Evacuations>,
    /// Admission of requests while capacity is insufficient; `None` if all are admitted.
    pub admission: Option<Mutex<HostAdmission>>,
    /// Counters and latency histograms.
    pub metrics: Metrics,
    /// Current configuration; `None` until one is read.
    config: Mutex<Option<Arc<Configuration>>>,
    /// Limits on callers' connections and requests, taken from the configuration.
    pub limits: watch::Sender<Limits>,
    /// Round-robin state of each route with weighted services.
    round_robins: Mutex<BTreeMap<RouteName, WeightedRoundRobin>>,
    /// Searcher latency of each route, over all searchers.
    latency_estimates: Mutex<BTreeMap<RouteName, LatencyEstimate>>,
    /// Whether a list of searchers was received, from the store or from another host.
    pub searchers_loaded: AtomicBool,
    /// Whether a graceful shutdown has begun.
    pub stopping: AtomicBool,
    /// Counts of the hosts that share connections and budgets.
    sharing_hosts: Mutex<SharingHosts>,
    /// Whether this host's zone is cut off from all other zones.
    cut_off: AtomicBool,
    /// Time at which a searcher in another zone last answered.
    last_other_zone_answer: Mutex<Option<Instant>>,
    /// Reason why the host was not ready when the load balancer last checked, or `None` if it was
    /// ready.
    reported_not_ready: Mutex<Option<NotReady>>,
    /// Number of callers' requests that are not answered yet.
    pub in_progress: AtomicUsize,
}

impl Host {
    /// Creates the state of a host that has no configuration and knows no searchers or peers.
    pub fn new(settings: EdgeSettings, incarnation: u64) -> Self {
        let metrics = Metrics::default();
        if settings.evacuation {
            metrics.evacuated_zones(0);
        }
        let max_connections = max_caller_connections(settings.descriptors);
        Self {
            peers: Peers::new(&settings, incarnation),
            relays: Relays::default(),
            known_searchers: Mutex::default(),
            fleet: Fleet::new(settings.zone.clone()),
            admission: match settings.admission {
                EdgeAdmission::All => None,
                EdgeAdmission::ByCost => Some(Mutex::default()),
            },
            settings,
            quarantine: Mutex::default(),
            evacuations: Mutex::default(),
            metrics,
            config: Mutex::new(None),
            // Sizes are in bytes. A configuration replaces `head`, `body` and `idle_timeout`.
            limits: watch::channel(Limits {
                connections: MAX_CALLER_CONNECTIONS.min(max_connections),
                head: 16 * 1024,
                body: 256 * 1024,
                read_timeout: Duration::from_secs(3),
                idle_timeout: Duration::from_secs(15),
            })
            .0,
            round_robins: Mutex::default(),
            latency_estimates: Mutex::default(),
            searchers_loaded: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            sharing_hosts: Mutex::new(SharingHosts {
                all: MIN_ASSUMED_HOSTS,
                aggregators: MIN_ASSUMED_HOSTS,
                aggregators_in_zone: MIN_ASSUMED_HOSTS,
                is_aggregator: true,
            }),
            cut_off: AtomicBool::new(false),
            last_other_zone_answer: Mutex::new(None),
            reported_not_ready: Mutex::new(Some(NotReady::Uninformed)),
            in_progress: AtomicUsize::new(0),
        }
    }

    /// Returns the current configuration, or `None` if none was read yet.
    pub fn config(&self) -> Option<Arc<Configuration>> {
        lock(&self.config).clone()
    }

    /// Replaces the current configuration if `config` has a newer version. Returns whether it did.
    pub fn adopt_config(&self, config: Configuration) -> bool {
        let mut current = lock(&self.config);
        if current.as_ref().is_some_and(|existing| existing.version >= config.version) {
            return false;
        }
        self.limits.send_modify(|limits| {
            limits.head = config.limits.head_bytes;
            limits.body = config.limits.body_bytes;
            // The HTTP server's idle timeout ends when the next request head has arrived, so it
            // includes the time for that head.
            limits.idle_timeout = config.limits.idle_timeout + config.limits.head_timeout;
        });
        self.fleet.set_warmup_rates(&config.services, now());
        *current = Some(Arc::new(config));
        true
    }

    /// Returns why the host should take no new callers, or `None` if it is ready for them.
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

    /// Returns whether this host's zone is cut off from all other zones, as of the last
    /// [`update_cut_off`](Self::update_cut_off).
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.load(Ordering::Relaxed)
    }

    /// Recounts the hosts that share connections and budgets.
    pub fn update_sharing_hosts(&self, now: Instant) {
        *lock(&self.sharing_hosts) = self.peers.sharing_hosts(now);
    }

    /// Returns the processor capacity of this host.
    pub fn capacity(&self) -> Capacity {
        capacity(&self.settings)
    }

    /// Recomputes whether this host's zone is cut off, based on the last message from a host or
    /// searcher of another zone. It is not cut off if no host of another zone was heard of lately.
    /// Returns whether the result changed.
    pub fn update_cut_off(&self, now: Instant) -> bool {
        let host_heard = self.peers.other_zones_heard_at(now);
        let searcher_heard = *lock(&self.last_other_zone_answer);
        let last_heard =
            host_heard.map(|host| searcher_heard.map_or(host, |searcher| host.max(searcher)));
        let cut_off = is_cut_off(last_heard, now);
        self.cut_off.swap(cut_off, Ordering::Relaxed) != cut_off
    }

    /// Records that a searcher crashed while it ran a request, and logs the crash if it is new.
    /// `reporter` is the host that saw it, or `None` for this one. Returns whether it is new.
    pub fn record_crash(&self, crash: &Crash, reporter: Option<&HostId>, now: Instant) -> bool {
        let event = Event::new("searcher_crashed")
            .with("searcher", &crash.searcher)
            .with("fingerprint", format!("{:016x}", crash.fingerprint))
            .with("reporter", reporter.unwrap_or(&self.settings.host));
        let is_new = lock(&self.quarantine).record_crash(crash, now);
        if is_new {
            event.warn();
        }
        is_new
    }

    /// Records that a searcher in another zone answered, which shows that this zone is not cut off.
    pub fn record_other_zone_answer(&self, now: Instant) {
        *lock(&self.last_other_zone_answer) = Some(now);
    }

    /// Returns how many of the shards have a usable searcher in this host's zone.
    pub fn count_own_zone_shards(&self, gather: &Gather) -> usize {
        let in_own_zone = |id: &&ServiceId| self.fleet.service(id).has_local_searcher();
        gather.shards.iter().filter(in_own_zone).count()
    }

    /// Returns whether the searchers of this host's zone alone meet the coverage floor of every
    /// route over many shards.
    fn covers_floor(&self, config: &Configuration) -> bool {
        config.routes().all(|route| match &route.target {
            Target::Gather(gather) => self.count_own_zone_shards(gather) >= gather.min_parts(),
            Target::Service(_) | Target::Weighted(_) => true,
        })
    }

    /// Records the readiness reported to the load balancer, and logs it if it changed.
    pub fn record_readiness(&self, not_ready: Option<NotReady>) {
        let previous = std::mem::replace(&mut *lock(&self.reported_not_ready), not_ready);
        if previous != not_ready {
            let why = not_ready.map_or("none".to_owned(), |why| format!("{why:?}"));
            Event::new("readiness").with("ready", not_ready.is_none()).with("why_not", why).info();
        }
    }

    /// Returns whether answers ask callers to close their connection, so that the load balancer
    /// sends their next one to a ready host. A host that only lacks its configuration or list of
    /// searchers keeps its connections.
    pub fn closes_connections(&self) -> bool {
        lock(&self.reported_not_ready).is_some_and(|why| why != NotReady::Uninformed)
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the counts of the hosts that share connections and budgets.
    pub fn sharing_hosts(&self) -> SharingHosts {
        *lock(&self.sharing_hosts)
    }

    /// Returns the version of the current configuration, or 0 without one.
    pub fn config_version(&self) -> ConfigVersion {
        lock(&self.config).as_ref().map_or(0, |config| config.version)
    }

    /// Takes over what a searcher states about itself in a reply.
    pub fn record_notice(&self, searcher: &Arc<Searcher>, reply: &Response<Bytes>, now: Instant) {
        let (notice, mut invalid) = searcher::notice(reply);
        if self.fleet.bounds_warmup(&searcher.entry.service) {
            match searcher::warmup_left(reply) {
                Ok(Some(left)) => self.fleet.record_warmup(searcher, left, now),
                Ok(None) => {}
                Err(header) => invalid.push(header),
            }
        }
        for header in invalid {
            let value = reply.headers().get(&header);
            Event::new("searcher_notice_invalid")
                .with("searcher", &searcher.entry.id)
                .with("header", &header)
                .with("value", format!("{value:?}"))
                .warn();
            self.metrics.invalid_notice();
        }
        // Otherwise the other hosts learn it from the store, where it is about to be too.
        if self.fleet.record_notice(searcher, &notice, now) && !self.knows_current_store(now) {
            self.peers.publish(Report::Leaving(searcher.entry.run()));
        }
    }

    /// Sets the gauges of the admitted shares.
    pub fn record_admitted_shares(&self) {
        let Some(admission) = &self.admission else {
            return;
        };
        let shares = lock(admission).shares(now());
        for (searchers, rank, route, share) in shares {
            self.metrics.admitted_share(&searchers, &route, rank, share);
        }
    }

    /// Sets the gauges of the requests that may crash searchers.
    pub fn record_suspected_requests(&self) {
        let (suspected, quarantined) = lock(&self.quarantine).counts(now());
        self.metrics.suspected_requests(suspected, quarantined);
    }

    /// Returns whether changes of the store are read, by this host or by others that pass them on.
    fn knows_current_store(&self, now: Instant) -> bool {
        let known = lock(&self.known_searchers);
        known
            .as_ref()
            .is_some_and(|known| now.saturating_duration_since(known.as_of) <= MAX_STORE_AGE)
    }

    /// Returns the configuration and the list of searchers that this host has, or `None` if it has
    /// no list of searchers yet.
    pub fn store_view(&self) -> Option<StoreView> {
        let known = lock(&self.known_searchers).clone()?;
        let runs = known.searchers.iter().filter_map(|searcher| match &searcher.change {
            Change::Written(entry) => Some(entry.run()),
            Change::Removed(_) => None,
        });
        Some(StoreView {
            leaving: runs.filter(|run| self.fleet.is_leaving(run)).collect(),
            config: self.config().map(|config| (*config).clone()),
            searchers: known.searchers,
            evacuations: self.evacuations(),
            position: known.position,
            age: now().saturating_duration_since(known.as_of),
        })
    }

    /// Returns the service for the next request of a route with weighted services, or `None` if no
    /// service has a positive weight.
    pub fn next_weighted_service(
        &self,
        route: &Route,
        services: &[WeightedService],
    ) -> Option<ServiceId> {
        lock(&self.round_robins).entry(route.name.clone()).or_default().next(services)
    }

    /// Adds a searcher's latency to the estimate of a route.
    pub fn record_latency(&self, route: &RouteName, latency: Duration) {
        let mut latency_estimates = lock(&self.latency_estimates);
        if latency_estimates.len() >= MAX_LATENCY_ESTIMATES
            && !latency_estimates.contains_key(route)
        {
            latency_estimates.clear();
        }
        latency_estimates
            .entry(route.clone())
            .and_modify(|estimate| estimate.record(latency))
            .or_insert_with(|| LatencyEstimate::new(latency));
    }

    /// Returns the latency estimate of a route over all searchers.
    pub fn latency_estimate(&self, route: &Route) -> LatencyEstimate {
        let estimate = lock(&self.latency_estimates).get(&route.name).copied();
        estimate
            .unwrap_or_else(|| LatencyEstimate::new(route.target_latency / INITIAL_LATENCY_DIVISOR))
    }
}
