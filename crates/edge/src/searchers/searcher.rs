//! One searcher and the connections to it.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_http::Connection;
use galenaloft_policy::directory::SearcherEntry;
use galenaloft_policy::directory::SearcherState;
use galenaloft_policy::route::Route;
use galenaloft_policy::routing::ReplicaView;
use galenaloft_policy::routing::SearcherHealth;
use galenaloft_runtime::sync::lock;

/// A connection is not used in the last part of the idle time that its searcher grants it.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// An open connection that carries no request.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    /// When the searcher may close it.
    closes: Option<Instant>,
}

/// Connections to one searcher.
#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Idle>,
    /// Connections that are open or being opened, idle ones included.
    open: usize,
}

/// One run of one searcher.
#[derive(Debug)]
pub struct Searcher {
    /// What it says of itself.
    pub entry: SearcherEntry,
    /// Whether it is in the host's own availability zone.
    pub local: bool,
    draining: AtomicBool,
    /// What was observed of it.
    pub health: Mutex<SearcherHealth>,
    /// Whether a health request is under way.
    pub probe_running: AtomicBool,
    pool: Mutex<Pool>,
}

impl Searcher {
    /// Creates a searcher of which nothing is known.
    pub fn new(entry: SearcherEntry, local: bool) -> Self {
        let draining = AtomicBool::new(entry.state == SearcherState::Draining);
        Self {
            entry,
            local,
            draining,
            health: Mutex::default(),
            probe_running: AtomicBool::new(false),
            pool: Mutex::default(),
        }
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.entry.address
    }

    /// Returns whether it takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether requests may be sent to it.
    pub fn is_usable(&self) -> bool {
        !self.is_draining() && !lock(&self.health).is_unreachable()
    }

    /// Returns whether it failed and has not answered since.
    pub fn is_suspect(&self) -> bool {
        lock(&self.health).is_suspect()
    }

    /// Notes that it is leaving; nothing takes that back.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the expected cost of one more attempt.
    pub fn cost(&self, route: &Route, prior: f64, now: Instant) -> f64 {
        lock(&self.health).cost(&self.view(route, prior), now)
    }

    /// Returns the expected latency of one more attempt, in seconds.
    pub fn expected_latency(&self, route: &Route, prior: f64, now: Instant) -> f64 {
        lock(&self.health).expected(&self.view(route, prior), now)
    }

    fn view<'a>(&self, route: &'a Route, prior: f64) -> ReplicaView<'a> {
        ReplicaView {
            route: &route.name,
            prior,
            objective: route.target_latency,
            local: self.local,
            slots: self.entry.slots,
        }
    }

    /// Returns whether a connection is idle or may be opened.
    pub fn has_free_connection(&self, limit: usize) -> bool {
        let pool = lock(&self.pool);
        !pool.idle.is_empty() || pool.open < limit
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> usize {
        lock(&self.pool).open
    }

    /// Takes an idle connection, or reserves the right to open one. `None` if neither is there.
    pub(super) fn checkout(&self, limit: usize, now: Instant) -> Option<Option<Connection>> {
        let mut pool = lock(&self.pool);
        while let Some(idle) = pool.idle.pop() {
            if idle.connection.is_open() && idle.closes.is_none_or(|at| now < at) {
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

    /// Keeps a connection that can carry another request.
    pub(super) fn check_in(&self, connection: Connection, timeout: Option<Duration>, now: Instant) {
        let closes = timeout.map(|timeout| now + timeout.saturating_sub(IDLE_MARGIN));
        lock(&self.pool).idle.push(Idle { connection, closes });
    }

    /// Gives back the place of a connection that is closed.
    pub(super) fn release_place(&self) {
        let mut pool = lock(&self.pool);
        pool.open = pool.open.saturating_sub(1);
    }

    /// Closes every connection that carries no request.
    pub fn close_idle(&self) {
        let mut pool = lock(&self.pool);
        let closed = std::mem::take(&mut pool.idle).len();
        pool.open = pool.open.saturating_sub(closed);
    }

    /// Closes idle connections that the searcher closed or is about to close.
    pub fn close_expired(&self, now: Instant) {
        let mut pool = lock(&self.pool);
        let before = pool.idle.len();
        pool.idle.retain(|idle| idle.connection.is_open() && idle.closes.is_none_or(|at| now < at));
        let closed = before - pool.idle.len();
        pool.open = pool.open.saturating_sub(closed);
    }
}
