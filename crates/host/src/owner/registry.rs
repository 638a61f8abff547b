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

/// How long a queue without work keeps its connections.
const IDLE: Duration = Duration::from_secs(60);

/// Load of one searcher's queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueLoad {
    /// The searcher.
    pub searcher: SearcherId,
    /// Attempts that wait.
    pub waiting: usize,
    /// Attempts that run.
    pub running: u32,
    /// Attempts that may run at the same time.
    pub slots: u32,
    /// Whether the searcher is leaving.
    pub draining: bool,
}

#[derive(Debug)]
struct Entry {
    queue: Arc<SearcherQueue>,
    /// Stops the control connection when dropped or set.
    stop: watch::Sender<bool>,
}

/// Schedules the slots of searchers. A queue is made when its searcher is first asked for, so a
/// dispute about ownership doubles the load for a moment and loses nothing.
#[derive(Debug)]
pub struct Owner<L> {
    link: Arc<L>,
    queues: Mutex<BTreeMap<SearcherId, Entry>>,
    floors: Mutex<BTreeMap<Rank, f64>>,
}

impl<L: SearcherConnector> Owner<L> {
    /// Creates an owner without queues.
    pub fn new(link: L) -> Self {
        Self {
            link: Arc::new(link),
            queues: Mutex::new(BTreeMap::new()),
            floors: Mutex::new(BTreeMap::new()),
        }
    }

    /// Runs an attempt on a searcher. Dropping the future withdraws an idempotent attempt.
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
        let lost = || Err(AttemptFailure::may_have_run(FailureReason::ConnectionLost));
        let result = rx.await.unwrap_or_else(|_| lost());
        let admitted = queue.admitted(rank, clock::now());
        AttemptReply { result, admitted }
    }

    /// Sets the floors of the ranks in every queue, present and future.
    pub fn set_floors(&self, floors: BTreeMap<Rank, f64>) {
        for entry in lock(&self.queues).values() {
            entry.queue.set_floors(&floors);
        }
        *lock(&self.floors) = floors;
    }

    /// Closes the queues that nobody uses any more.
    pub fn close_idle(&self, now: Instant) {
        let Some(since) = now.checked_sub(IDLE) else {
            return;
        };
        lock(&self.queues).retain(|_, entry| !entry.queue.close_if_idle(since));
    }

    /// Closes every queue.
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

    fn start(&self, spec: &SearcherSpec, now: Instant) -> Entry {
        let (cancels, cancels_rx) = mpsc::unbounded_channel();
        let floors = lock(&self.floors).clone();
        let queue = Arc::new(SearcherQueue::new(spec.clone(), &floors, cancels, now));
        let (stop, stop_rx) = watch::channel(false);
        for _ in 0..spec.slots {
            tokio::spawn(run_slot(queue.clone(), self.link.clone()));
        }
        tokio::spawn(run_control(queue.clone(), self.link.clone(), cancels_rx, stop_rx));
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
