//! The memory budget that the listeners of a process share, and the state of their connections.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::memory::Activity;
use galenaloft_policy::memory::BudgetLimits;
use galenaloft_policy::memory::ConnectionId;
use galenaloft_policy::memory::Eviction;
use galenaloft_policy::memory::MemoryBudget;
use galenaloft_policy::memory::Verdict;
use galenaloft_policy::memory::caller_connections;
use galenaloft_policy::memory::longest_waiting;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use galenaloft_telemetry::metrics::Metrics;
use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::segments::SegmentPool;

/// Bytes of a head that the usual read buffer of a connection holds.
const USUAL_HEAD: usize = 8 * 1024;

/// Receive and send buffer of a caller's socket in the kernel, in bytes. The kernel doubles it. At a
/// round trip of 1 ms it lets a caller send 64 MB a second.
const SOCKET_BUFFER: usize = 32 * 1024;

/// How long a connection without any request yet stays open after a planned stop began, so that a
/// client that has just connected gets its first request answered.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// How long an idle connection stays open after a planned stop began. A request that was sent
/// before that is read and answered.
const NEXT_REQUEST_WAIT: Duration = Duration::from_millis(100);

/// A memory budget for callers, shared by the listeners of a process.
#[derive(Debug, Clone)]
pub struct Budget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    next_id: AtomicU64,
    /// Size of the kernel's buffers of a caller's socket; `None` leaves them to the kernel.
    socket_buffer: Option<usize>,
    metrics: Option<Metrics>,
    segments: SegmentPool,
    /// Origin of the times that connections store as a number.
    epoch: Instant,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    connections: BTreeMap<ConnectionId, Arc<Connection>>,
}

impl Budget {
    /// Creates a budget for a machine with so many MB of memory, or for `default_mb` if they are not
    /// stated. The kernel's buffers of callers' sockets are bounded if they are stated.
    pub fn for_machine(memory_mb: Option<u32>, default_mb: u32, metrics: &Metrics) -> Self {
        let memory = memory_mb.unwrap_or(default_mb) as usize * 1024 * 1024;
        let limits = BudgetLimits::from_memory(memory);
        let socket_buffer = memory_mb.map(|_| SOCKET_BUFFER);
        let budget = Self::new(limits, socket_buffer, Some(metrics.clone()));
        let shared = Arc::downgrade(&budget.0);
        metrics.observe_caller_bytes(move || {
            shared.upgrade().map_or(0, |shared| lock(&shared.state).budget.held() as u64)
        });
        budget
    }

    /// Creates a budget that nothing reaches.
    pub fn unlimited() -> Self {
        Self::new(BudgetLimits::unlimited(), None, None)
    }

    fn new(limits: BudgetLimits, socket_buffer: Option<usize>, metrics: Option<Metrics>) -> Self {
        let state = State { budget: MemoryBudget::new(limits), connections: BTreeMap::new() };
        Self(Arc::new(Shared {
            state: Mutex::new(state),
            next_id: AtomicU64::new(1),
            socket_buffer,
            metrics,
            segments: SegmentPool::new(limits.total),
            epoch: Instant::now(),
        }))
    }

    /// Returns the size of the kernel's buffers of a caller's socket, if it is bounded.
    pub(crate) fn socket_buffer(&self) -> Option<usize> {
        self.0.socket_buffer
    }

    /// Returns the memory for large bodies.
    pub(crate) fn segments(&self) -> SegmentPool {
        self.0.segments.clone()
    }

    /// Adds a connection, or returns `None` if there is no memory for it.
    pub(crate) fn connect(&self) -> Option<Arc<Connection>> {
        let id = self.0.next_id.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let mut state = lock(&self.0.state);
        let Verdict::Granted(evictions) = state.budget.connect(id, now) else {
            drop(state);
            self.record_closed("no_memory");
            return None;
        };
        let connection = Arc::new(Connection::new(self.clone(), id));
        state.connections.insert(id, connection.clone());
        self.carry_out(&state, &evictions);
        Some(connection)
    }

    /// Closes the connection that has waited longest for its next request. Returns whether there is
    /// one that has waited for some time.
    pub(crate) fn close_longest_waiting(&self) -> bool {
        let now = self.elapsed_ms();
        let state = lock(&self.0.state);
        let waiting = state.connections.values().filter(|connection| connection.is_waiting());
        let waiting = waiting.map(|connection| {
            let last_read = connection.last_read_ms.load(Ordering::Relaxed);
            (connection.id, Duration::from_millis(now.saturating_sub(last_read)))
        });
        let Some(connection) = longest_waiting(waiting).and_then(|id| state.connections.get(&id))
        else {
            return false;
        };
        connection.is_closing.store(true, Ordering::Relaxed);
        connection.close.notify_one();
        self.record_closed("longest_waiting");
        true
    }

    /// Counts and logs a connection that the server closes.
    pub(crate) fn record_closed(&self, reason: &'static str) {
        Event::new("caller_connection_closed").with("why", reason).warn();
        if let Some(metrics) = &self.0.metrics {
            metrics.connection_closed(reason);
        }
    }

    /// Counts and logs a body that the server refuses.
    pub(crate) fn record_refused(&self, reason: &'static str) {
        Event::new("body_refused").with("why", reason).warn();
        if let Some(metrics) = &self.0.metrics {
            metrics.body_refused(reason);
        }
    }

    /// Tells the evicted connections.
    fn carry_out(&self, state: &State, evictions: &[Eviction]) {
        for eviction in evictions {
            let Some(connection) = state.connections.get(&eviction.id) else {
                continue;
            };
            match eviction.activity {
                Activity::Body => connection.refuse_body.notify_one(),
                Activity::Head => {
                    connection.close.notify_one();
                    self.record_closed("head_stalled");
                }
                Activity::Response => {
                    connection.close.notify_one();
                    self.record_closed("response_unread");
                }
            }
        }
    }

    fn elapsed_ms(&self) -> u64 {
        self.0.epoch.elapsed().as_millis() as u64
    }

    fn release_in_progress(&self, bytes: usize, held_for: Duration) {
        lock(&self.0.state).budget.release_in_progress(bytes, held_for);
    }
}

/// Returns how many connections callers may have, given the descriptors of the process. `descriptors`
/// replaces the limit that the system sets.
pub fn max_caller_connections(descriptors: Option<u32>) -> usize {
    let limit = match descriptors {
        Some(descriptors) => u64::from(descriptors),
        None => getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft),
    };
    caller_connections(usize::try_from(limit).unwrap_or(usize::MAX))
}

/// State of one caller's connection. Its bytes are released when its task ends.
#[derive(Debug)]
pub(crate) struct Connection {
    budget: Budget,
    id: ConnectionId,
    started: AtomicU64,
    ended: AtomicU64,
    /// Signalled when a request was read.
    request_read: Notify,
    /// Signalled when the connection has to be closed.
    pub(crate) close: Notify,
    /// Signalled when the body that is being read has to be refused.
    pub(crate) refuse_body: Notify,
    /// When bytes were last read, in ms since the origin of the budget's times.
    last_read_ms: AtomicU64,
    /// Bytes read of the current head.
    head_bytes: AtomicUsize,
    /// Bytes reserved for the current head beyond the usual read buffer.
    head_reserved: AtomicUsize,
    /// Size of the response that is being written.
    response_bytes: AtomicUsize,
    /// Whether it was chosen to make room for a new connection.
    is_closing: AtomicBool,
}

impl Connection {
    fn new(budget: Budget, id: ConnectionId) -> Self {
        let last_read_ms = budget.elapsed_ms().into();
        Self {
            budget,
            id,
            started: AtomicU64::new(0),
            ended: AtomicU64::new(0),
            request_read: Notify::new(),
            close: Notify::new(),
            refuse_body: Notify::new(),
            last_read_ms,
            head_bytes: AtomicUsize::new(0),
            head_reserved: AtomicUsize::new(0),
            response_bytes: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
        }
    }

    /// Returns the budget of the process.
    pub(crate) fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Removes the connection from its budget.
    pub(crate) fn disconnect(&self) {
        let mut state = lock(&self.budget.0.state);
        state.budget.disconnect(self.id);
        state.connections.remove(&self.id);
    }

    /// Counts a request that was read, and returns their number.
    pub(crate) fn record_started(&self) -> u64 {
        self.request_read.notify_one();
        self.head_bytes.store(0, Ordering::Relaxed);
        if self.head_reserved.load(Ordering::Relaxed) > 0 {
            lock(&self.budget.0.state).budget.finish_head(self.id);
        }
        self.started.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Counts a request whose response, of so many bytes, is about to be written.
    pub(crate) fn record_ended(&self, response_bytes: usize) {
        self.response_bytes.store(response_bytes, Ordering::Relaxed);
        if self.head_reserved.swap(0, Ordering::Relaxed) > 0 {
            lock(&self.budget.0.state).budget.end_head(self.id);
        }
        self.ended.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether no request is in progress and the connection is not about to be closed.
    fn is_waiting(&self) -> bool {
        !self.is_request_in_progress() && !self.is_closing.load(Ordering::Relaxed)
    }

    /// Returns whether a request was read and has no response yet.
    pub(crate) fn is_request_in_progress(&self) -> bool {
        self.started.load(Ordering::Relaxed) > self.ended.load(Ordering::Relaxed)
    }

    /// Records bytes that were read from the caller. Fails when they belong to a head for which there
    /// is no memory.
    pub(crate) fn record_read(&self, bytes: usize) -> io::Result<()> {
        self.last_read_ms.store(self.budget.elapsed_ms(), Ordering::Relaxed);
        if self.is_request_in_progress() {
            return Ok(());
        }
        let head = self.head_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if head <= USUAL_HEAD {
            return Ok(());
        }
        // The read buffer grows by doubling, and is copied into the next one.
        let reserved = head.next_power_of_two() * 2;
        let now = Instant::now();
        let mut state = lock(&self.budget.0.state);
        match state.budget.grow_head(self.id, reserved, now) {
            Verdict::Granted(evictions) => {
                self.head_reserved.store(reserved, Ordering::Relaxed);
                self.budget.carry_out(&state, &evictions);
                Ok(())
            }
            Verdict::Refused(_) => {
                drop(state);
                self.budget.record_closed("no_memory");
                Err(io::ErrorKind::OutOfMemory.into())
            }
        }
    }

    /// Returns whether a body of the declared length may begin to arrive, or when it probably may.
    pub(crate) fn admits_body(&self, declared: usize) -> Result<(), Duration> {
        lock(&self.budget.0.state).budget.admits_body(self.id, declared, Instant::now())
    }

    /// Reserves bytes for the body that is being read, of which `received` have arrived.
    pub(crate) fn grow_body(
        &self,
        bytes: usize,
        received: usize,
        now: Instant,
    ) -> Result<(), Duration> {
        let mut state = lock(&self.budget.0.state);
        match state.budget.grow_body(self.id, bytes, received, now) {
            Verdict::Granted(evictions) => {
                self.budget.carry_out(&state, &evictions);
                Ok(())
            }
            Verdict::Refused(retry_after) => Err(retry_after),
        }
    }

    /// Records that so many bytes of the body have arrived.
    pub(crate) fn record_progress(&self, received: usize, now: Instant) {
        lock(&self.budget.0.state).budget.record_progress(self.id, received, now);
    }

    /// Records that the body arrived whole. Returns `None` if the connection was evicted before.
    pub(crate) fn finish_body(&self, bytes: usize) -> Option<InProgress> {
        let finished = lock(&self.budget.0.state).budget.finish_body(self.id, bytes);
        finished.then(|| InProgress { budget: self.budget.clone(), bytes, since: Instant::now() })
    }

    /// Releases the bytes of the body.
    pub(crate) fn end_body(&self) {
        lock(&self.budget.0.state).budget.end_body(self.id);
    }

    /// Records that the caller does not read its response.
    pub(crate) fn stall_response(&self) {
        let bytes = self.response_bytes.load(Ordering::Relaxed);
        let mut state = lock(&self.budget.0.state);
        let evictions = state.budget.stall_response(self.id, bytes, Instant::now());
        self.budget.carry_out(&state, &evictions);
    }

    /// Records that the caller has read a part of its response, of which `written` bytes went out.
    pub(crate) fn record_response_progress(&self, written: usize) {
        self.record_progress(written, Instant::now());
    }

    /// Records that the response went out whole.
    pub(crate) fn end_response(&self) {
        lock(&self.budget.0.state).budget.end_response(self.id);
    }

    /// Returns at once while a request is in progress; otherwise waits for the next one, for as
    /// long as one may be under way.
    pub(crate) async fn wait_for_next(&self) {
        let started = self.started.load(Ordering::Relaxed);
        if self.is_request_in_progress() {
            return;
        }
        let limit = if started == 0 { FIRST_REQUEST_WAIT } else { NEXT_REQUEST_WAIT };
        let next_read = async {
            while self.started.load(Ordering::Relaxed) == started {
                self.request_read.notified().await;
            }
        };
        // Without a further request the connection is idle, and is closed.
        let _ = timeout(limit, next_read).await;
    }
}

/// The bytes of a body whose request is in progress, reserved until dropped.
#[derive(Debug)]
pub(crate) struct InProgress {
    budget: Budget,
    bytes: usize,
    since: Instant,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.budget.release_in_progress(self.bytes, self.since.elapsed());
    }
}
