//! State of one searcher.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::catalogue::Document;
use crate::catalogue::ShardKey;
use crate::searcher::Fault;

/// How often each submission ran, over all searchers.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<BTreeMap<String, u32>>,
}

impl RunLog {
    /// Notes a run. Returns its number, counted from 1.
    pub fn note(&self, submission: &str) -> u32 {
        let mut runs = locked(&self.runs);
        let count = runs.entry(submission.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// Returns the submissions that ran, and those that ran more than once.
    pub fn summary(&self) -> (usize, Vec<String>) {
        let runs = locked(&self.runs);
        let twice = runs.iter().filter(|(_, count)| **count > 1).map(|(key, _)| key.clone());
        (runs.len(), twice.collect())
    }

    /// Returns how often one submission ran.
    pub fn count(&self, submission: &str) -> u32 {
        locked(&self.runs).get(submission).copied().unwrap_or(0)
    }
}

/// State of one searcher, shared by its connections.
#[derive(Debug)]
pub struct SearcherState {
    /// Name of the searcher.
    pub id: String,
    /// Mean time to serve one request.
    pub service: Duration,
    /// Time that a new connection costs.
    pub connect_cost: Duration,
    /// Connections that it accepts.
    pub connections: usize,
    /// Free slots.
    pub slots: Semaphore,
    /// Wakes attempts that were cancelled.
    pub cancelled: Notify,
    /// Requests received.
    pub received: AtomicU64,
    /// Requests that had to wait for a slot: the tier overcommitted it.
    pub overcommitted: AtomicU64,
    /// Runs of submissions.
    pub log: Arc<RunLog>,
    held: Mutex<BTreeMap<ShardKey, Arc<Vec<Document>>>>,
    fault: Mutex<Fault>,
    cancels: Mutex<BTreeSet<u64>>,
}

impl SearcherState {
    /// Creates a searcher without faults.
    pub fn new(
        id: String,
        scene: &crate::options::CollectionScene,
        held: BTreeMap<ShardKey, Arc<Vec<Document>>>,
        log: Arc<RunLog>,
    ) -> Self {
        Self {
            id,
            service: scene.service,
            connect_cost: scene.connect_cost,
            connections: scene.connections as usize,
            slots: Semaphore::new(scene.slots as usize),
            cancelled: Notify::new(),
            received: AtomicU64::new(0),
            overcommitted: AtomicU64::new(0),
            log,
            held: Mutex::new(held),
            fault: Mutex::new(Fault::None),
            cancels: Mutex::new(BTreeSet::new()),
        }
    }

    /// Returns the present fault.
    pub fn fault(&self) -> Fault {
        *locked(&self.fault)
    }

    /// Switches the fault.
    pub fn set_fault(&self, fault: Fault) {
        *locked(&self.fault) = fault;
    }

    /// Replaces what the searcher holds.
    pub fn hold(&self, held: BTreeMap<ShardKey, Arc<Vec<Document>>>) {
        *locked(&self.held) = held;
    }

    /// Returns the documents of a shard.
    pub fn shard(&self, key: &ShardKey) -> Option<Arc<Vec<Document>>> {
        locked(&self.held).get(key).cloned()
    }

    /// Returns the snapshots of a collection that the searcher holds.
    pub fn snapshots(&self, collection: &str) -> Vec<u32> {
        let held = locked(&self.held);
        let snapshots = held.keys().filter(|(name, _, _)| name == collection).map(|key| key.1);
        let distinct: BTreeSet<u32> = snapshots.collect();
        distinct.into_iter().collect()
    }

    /// Cancels an attempt.
    pub fn cancel(&self, attempt: u64) {
        locked(&self.cancels).insert(attempt);
        self.cancelled.notify_waiters();
    }

    /// Returns whether an attempt was cancelled, and forgets it.
    pub fn take_cancel(&self, attempt: u64) -> bool {
        locked(&self.cancels).remove(&attempt)
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
