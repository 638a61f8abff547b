//! The queues of all searchers that this host schedules.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptReply;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::catalogue::SearcherSpec;
use galenaloft_policy::ids::Rank;
use galenaloft_policy::ids::SearcherId;
use galenaloft_runtime::clock;
use galenaloft_runtime::sync::lock;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::network::SearcherConnector;
use crate::owner::control::run_control;
use crate::owner::job::Job;
use crate::owner::queue::SearcherQueue;
use crate::owner::slot::run_slot;

/// How long a queue without jobs is kept, along with its connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Load of one searcher's queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueLoad {
    /// The searcher.
    pub searcher: SearcherId,
    /// Number of waiting attempts.
    pub waiting: usize,
    /// Number of running attempts.
    pub running: u32,
    /// Greatest number of attempts that run at the same time.
    pub slots: u32,
    /// Whether the searcher is draining.
    pub draining: bool,
}

/// The queue of one searcher, with the means to stop its control connection.
#[derive(Debug)]
struct Entry {
    queue: Arc<SearcherQueue>,
    /// Stops the control connection when set to true or dropped.
    stop: watch::Sender<bool>,
}

/// Schedules the slots of searchers. A queue is created on the first attempt for its searcher, so
/// while two hosts disagree about which of them owns it, both run attempts: the load on the searcher
/// may double for a moment, but no attempt is lost.
#[derive(Debug)]
pub struct Owner<C> {
    connector: Arc<C>,
    queues: Mutex<BTreeMap<SearcherId, Entry>>,
    floors: Mutex<BTreeMap<Rank, f64>>,
}

impl<C: SearcherConnector> Owner<C> {
    /// Creates an owner without queues.
    pub fn new(connector: C) -> Self {
        Self {
            connector: Arc::new(connector),
            queues: Mutex::new(BTreeMap::new()),
            floors: Mutex::new(BTreeMap::new()),
        }
    }

    /// Runs an attempt on a searcher. Dropping the future cancels an idempotent attempt.
    pub async fn execute(
        &self,
        spec: &SearcherSpec,
        req: AttemptRequest,
        now: Instant,
    ) -> AttemptReply {
        let (rank, deadline) = (req.rank, now + req.time_left);
        let (tx, rx) = oneshot::channel();
        let queue = self.queue(spec, now);
        let job = Job { req, arrived: now, deadline, tx };
        queue.push(job, now);
        let connection_lost = || Err(AttemptFailure::may_have_run(FailureReason::ConnectionLost));
        let result = rx.await.unwrap_or_else(|_| connection_lost());
        let admitted = queue.admitted(rank, clock::now());
        AttemptReply { result, admitted }
    }

    /// Sets the floors of the ranks in all existing and future queues.
    pub fn set_floors(&self, floors: BTreeMap<Rank, f64>) {
        for entry in lock(&self.queues).values() {
            entry.queue.set_floors(&floors);
        }
        *lock(&self.floors) = floors;
    }

    /// Closes the queues that have been idle for [`IDLE_TIMEOUT`].
    pub fn close_idle(&self, now: Instant) {
        let Some(since) = now.checked_sub(IDLE_TIMEOUT) else {
            return;
        };
        lock(&self.queues).retain(|_, entry| !entry.queue.close_if_idle(since));
    }

    /// Closes every queue and ends all waiting attempts as not run.
    pub fn close(&self) {
        for entry in std::mem::take(&mut *lock(&self.queues)).into_values() {
            entry.queue.close();
        }
    }

    /// Returns the load of every queue.
    pub fn loads(&self) -> Vec<QueueLoad> {
        let queues = lock(&self.queues);
        queues.iter().map(|(searcher, entry)| load_of(searcher, &entry.queue)).collect()
    }

    /// Returns the queue of a searcher. Creates it if there is none yet, or if the layout now
    /// describes the searcher differently.
    fn queue(&self, spec: &SearcherSpec, now: Instant) -> Arc<SearcherQueue> {
        let mut queues = lock(&self.queues);
        if let Some(entry) = queues.get(&spec.id) {
            if entry.queue.spec == *spec {
                return entry.queue.clone();
            }
            entry.queue.close();
        }
        let entry = self.start(spec, now);
        let queue = entry.queue.clone();
        queues.insert(spec.id.clone(), entry);
        queue
    }

    /// Creates the queue of a searcher and starts its slots and its control connection.
    fn start(&self, spec: &SearcherSpec, now: Instant) -> Entry {
        let (cancels, cancels_rx) = mpsc::unbounded_channel();
        let floors = lock(&self.floors).clone();
        let queue = Arc::new(SearcherQueue::new(spec.clone(), &floors, cancels, now));
        let (stop, stop_rx) = watch::channel(false);
        for _ in 0..spec.slots {
            tokio::spawn(run_slot(queue.clone(), self.connector.clone()));
        }
        tokio::spawn(run_control(queue.clone(), self.connector.clone(), cancels_rx, stop_rx));
        Entry { queue, stop }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

fn load_of(searcher: &SearcherId, queue: &SearcherQueue) -> QueueLoad {
    let (waiting, running, draining) = queue.load();
    QueueLoad { searcher: searcher.clone(), waiting, running, slots: queue.spec.slots, draining }
}
