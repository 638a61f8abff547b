//! One searcher and the pool of connections to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_http::Connection;
use galenaloft_policy::directory::SearcherEntry;
use galenaloft_policy::directory::SearcherState;
use galenaloft_policy::notice::Gate;
use galenaloft_policy::route::Route;
use galenaloft_policy::routing::ExpectedQueue;
use galenaloft_policy::routing::ReplicaView;
use galenaloft_policy::routing::SearcherHealth;
use galenaloft_runtime::sync::lock;

/// How long before the searcher's idle timeout a connection is no longer used, so that no request
/// is sent while the searcher closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);

/// An open connection that carries no request.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// When it is no longer used, since the searcher is about to close it; `None` if that is
    /// unknown.
    expires_at: Option<Instant>,
}

/// Connections to one searcher.
#[derive(Debug, Default)]
struct Pool {
    idle: Vec<IdleConnection>,
    /// Number of connections that are open or being opened, idle ones included.
    open: usize,
}

/// A probe of a searcher, which runs until this is dropped.
#[derive(Debug)]
pub(crate) struct RunningProbe(Arc<Searcher>);

impl Drop for RunningProbe {
    fn drop(&mut self) {
        self.0.probe_running.store(false, Ordering::Relaxed);
    }
}

/// One run of a searcher process, as this host sees it.
#[derive(Debug)]
pub struct Searcher {
    /// Its entry in the store.
    pub entry: SearcherEntry,
    /// Whether it is in the availability zone of this host.
    pub local: bool,
    draining: AtomicBool,
    /// Whether its zone is evacuated; shared by all searchers of the zone.
    evacuated: Arc<AtomicBool>,
    /// Health as observed by this host.
    pub health: Mutex<SearcherHealth>,
    /// What it states about the requests that it takes from this host.
    pub gate: Mutex<Gate>,
    /// Time to warm up in the newest entry that was listed.
    pub(super) listed_warmup: Mutex<Duration>,
    /// Whether a probe is running.
    probe_running: AtomicBool,
    pool: Mutex<Pool>,
}

impl Searcher {
    /// Creates a searcher without observations or connections. `evacuated` states whether its zone is
    /// evacuated.
    pub fn new(entry: SearcherEntry, local: bool, evacuated: Arc<AtomicBool>) -> Self {
        let draining = AtomicBool::new(entry.state == SearcherState::Draining);
        Self {
            entry,
            local,
            draining,
            evacuated,
            health: Mutex::default(),
            gate: Mutex::default(),
            listed_warmup: Mutex::default(),
            probe_running: AtomicBool::new(false),
            pool: Mutex::default(),
        }
    }

    /// Begins a probe, or returns `None` while another one is running.
    pub(crate) fn begin_probe(self: &Arc<Self>) -> Option<RunningProbe> {
        let was_running = self.probe_running.swap(true, Ordering::Relaxed);
        (!was_running).then(|| RunningProbe(self.clone()))
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.entry.address
    }

    /// Returns whether it gets no new requests because it is leaving or has left.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether nothing new may be sent to it because its zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::Relaxed)
    }

    /// Returns whether requests may be sent to it if it can be reached.
    pub fn is_permitted(&self) -> bool {
        !self.is_draining() && !self.is_evacuated()
    }

    /// Returns whether requests may be sent to it.
    pub fn is_usable(&self) -> bool {
        self.is_permitted() && !lock(&self.health).is_unreachable()
    }

    /// Returns when the next request may be sent to it according to its own statements, or `None` if
    /// it may be sent now.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        lock(&self.gate).opens_at(now)
    }

    /// Returns whether it failed and has not answered since.
    pub fn is_suspect(&self) -> bool {
        lock(&self.health).is_suspect()
    }

    /// Stops new requests to it for good, since it is leaving or has left.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the expected cost of one more attempt; lower is better. `prior` is the expected
    /// latency, in seconds, without observations. If the searcher states its load, the cost varies at
    /// random with what is unknown of it.
    pub fn cost(&self, route: &Route, prior: f64, now: Instant) -> f64 {
        lock(&self.health).drawn_cost(&self.replica_view(route, prior), rand::random(), now)
    }

    /// Returns what delays requests at the searcher, or `None` if it has stated no load lately.
    /// `prior` is as for [`Self::cost`].
    pub fn queue(&self, route: &Route, prior: f64, now: Instant) -> Option<ExpectedQueue> {
        lock(&self.health).queue(&self.replica_view(route, prior), now)
    }

    /// Returns the expected latency of one more attempt, in seconds. `prior` is what is expected
    /// without observations.
    pub fn expected_latency(&self, route: &Route, prior: f64, now: Instant) -> f64 {
        lock(&self.health).expected_latency(&self.replica_view(route, prior), now)
    }

    fn replica_view<'a>(&self, route: &'a Route, prior: f64) -> ReplicaView<'a> {
        ReplicaView {
            route: &route.name,
            prior,
            objective: route.target_latency,
            local: self.local,
            slots: self.entry.slots,
        }
    }

    /// Returns whether a connection is idle or another one may be opened under `limit`.
    pub fn has_free_connection(&self, limit: usize) -> bool {
        let pool = lock(&self.pool);
        !pool.idle.is_empty() || pool.open < limit
    }

    /// Returns how many connections are open or being opened.
    pub fn open_connections(&self) -> usize {
        lock(&self.pool).open
    }

    /// Takes an idle connection out of the pool. Returns `Some(None)` if there is none and the caller
    /// has to open the connection that is now reserved for it, and `None` if as many connections as
    /// `limit` are in use.
    pub(super) fn check_out(&self, limit: usize, now: Instant) -> Option<Option<Connection>> {
        let mut pool = lock(&self.pool);
        while let Some(idle) = pool.idle.pop() {
            if idle.connection.is_open() && idle.expires_at.is_none_or(|at| now < at) {
                return Some(Some(idle.connection));
            }
            pool.open -= 1;
        }
        if pool.open >= limit {
            return None;
        }
        pool.open += 1;
        Some(None)
    }

    /// Puts a connection that can carry another request back into the pool. `idle_timeout` is how
    /// long the searcher keeps it open, if known.
    pub(super) fn check_in(
        &self,
        connection: Connection,
        idle_timeout: Option<Duration>,
        now: Instant,
    ) {
        let expires_at =
            idle_timeout.map(|timeout| now + timeout.saturating_sub(IDLE_TIMEOUT_MARGIN));
        lock(&self.pool).idle.push(IdleConnection { connection, expires_at });
    }

    /// Records that a connection was closed, or that a reserved one was never opened.
    pub(super) fn record_closed(&self) {
        let mut pool = lock(&self.pool);
        pool.open = pool.open.saturating_sub(1);
    }

    /// Closes every connection that carries no request.
    pub fn close_idle(&self) {
        let mut pool = lock(&self.pool);
        let closed = std::mem::take(&mut pool.idle).len();
        pool.open = pool.open.saturating_sub(closed);
    }

    /// Removes idle connections that the searcher has closed or is about to close.
    pub fn close_expired(&self, now: Instant) {
        let mut pool = lock(&self.pool);
        let before = pool.idle.len();
        pool.idle
            .retain(|idle| idle.connection.is_open() && idle.expires_at.is_none_or(|at| now < at));
        let closed = before - pool.idle.len();
        pool.open = pool.open.saturating_sub(closed);
    }
}
