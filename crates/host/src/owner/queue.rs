//! The shared state of one searcher's queue.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::admission::AdmissionController;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::catalogue::SearcherSpec;
use galenaloft_policy::ids::AttemptId;
use galenaloft_policy::ids::Rank;
use galenaloft_policy::queue::Popped;
use galenaloft_policy::queue::RankQueue;
use galenaloft_runtime::sync::lock;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::owner::job::Job;

/// Most attempts that wait for one searcher.
const CAPACITY: usize = 1_024;

/// How long a searcher that refused a connection is left alone.
const DOWN_PAUSE: Duration = Duration::from_millis(200);

/// How long a searcher that was asked is taken not to be leaving. Work sent later could reach a
/// searcher that has said so meanwhile.
const HEALTH_VALID: Duration = Duration::from_millis(2_500);

/// Weight of the newest run in the moving average of the service time.
const SERVICE_WEIGHT: f64 = 0.1;

/// Longest service time that is assumed, so that a searcher once slow is tried again.
const MAX_SERVICE_GUESS: Duration = Duration::from_millis(60);

/// What the last health check of the searcher said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// It was not asked yet.
    Unknown,
    /// It answered at this time.
    Answered(Instant),
    /// It did not answer.
    Silent,
}

#[derive(Debug)]
struct State {
    waiting: RankQueue<Job>,
    admission: AdmissionController,
    running: u32,
    health: Health,
    draining: bool,
    closed: bool,
    down_until: Option<Instant>,
    service: Duration,
    used: Instant,
}

/// The queue of one searcher, shared by its slots, its control connection and the registry.
#[derive(Debug)]
pub struct SearcherQueue {
    /// The searcher.
    pub spec: SearcherSpec,
    /// Attempts to cancel at the searcher.
    pub cancels: mpsc::UnboundedSender<AttemptId>,
    state: Mutex<State>,
    changed: Notify,
}

impl SearcherQueue {
    /// Creates an empty queue.
    pub fn new(
        spec: SearcherSpec,
        floors: &BTreeMap<Rank, f64>,
        cancels: mpsc::UnboundedSender<AttemptId>,
        now: Instant,
    ) -> Self {
        let mut waiting = RankQueue::new(CAPACITY);
        for (rank, floor) in floors {
            waiting.set_floor(*rank, *floor);
        }
        let state = State {
            waiting,
            admission: AdmissionController::default(),
            running: 0,
            health: Health::Unknown,
            draining: false,
            closed: false,
            down_until: None,
            service: Duration::ZERO,
            used: now,
        };
        Self { spec, cancels, state: Mutex::new(state), changed: Notify::new() }
    }

    /// Adds a job, or ends it at once when it cannot be taken.
    pub fn push(&self, job: Job, now: Instant) {
        let mut state = self.lock();
        state.used = now;
        if state.draining || state.closed {
            drop(state);
            return job.refuse(FailureReason::Draining);
        }
        let (rank, deadline) = (job.req.rank, job.deadline);
        let taken = state.admission.accepts(rank, job.req.draw, now);
        if job.req.operation.is_idempotent() && !taken {
            drop(state);
            return job.refuse(FailureReason::Shed);
        }
        let displaced = match state.waiting.push(job, rank, deadline) {
            Ok(displaced) => displaced,
            Err(job) => Some(job),
        };
        drop(state);
        self.changed.notify_one();
        if let Some(job) = displaced {
            job.refuse(FailureReason::QueueFull);
        }
    }

    /// Waits for the next job that is still wanted; `None` once the queue is closed.
    pub async fn next(&self) -> Option<Job> {
        loop {
            let changed = self.changed.notified();
            let now = galenaloft_runtime::clock::now();
            match self.pop(now) {
                Next::Run(job) => return Some(job),
                Next::Closed => return None,
                Next::Empty => changed.await,
            }
        }
    }

    /// Notes the end of a run and its service time, if it ran.
    pub fn note_end(&self, service: Option<Duration>) {
        let mut state = self.lock();
        state.running -= 1;
        if let Some(service) = service {
            let average = state.service.as_secs_f64();
            let average = average + SERVICE_WEIGHT * (service.as_secs_f64() - average);
            state.service = Duration::from_secs_f64(average).min(MAX_SERVICE_GUESS);
        }
    }

    /// Notes that the searcher refused a connection.
    pub fn note_down(&self, now: Instant) {
        self.lock().down_until = Some(now + DOWN_PAUSE);
    }

    /// Notes the answer to a health check, `None` if there was none. Returns whether the searcher
    /// has changed between staying and leaving.
    pub fn note_health(&self, draining: Option<bool>, now: Instant) -> bool {
        self.lock().health = match draining {
            Some(_) => Health::Answered(now),
            None => Health::Silent,
        };
        self.changed.notify_waiters();
        draining.is_some_and(|draining| self.set_draining(draining))
    }

    /// Sets whether the searcher is leaving; what waits is then ended as not run.
    pub fn set_draining(&self, draining: bool) -> bool {
        let mut state = self.lock();
        let changed = state.draining != draining;
        state.draining = draining;
        let jobs = if draining { state.waiting.remove_where(|_| true) } else { Vec::new() };
        drop(state);
        jobs.into_iter().for_each(|job| job.refuse(FailureReason::Draining));
        changed
    }

    /// Sets the floors of the ranks.
    pub fn set_floors(&self, floors: &BTreeMap<Rank, f64>) {
        let mut state = self.lock();
        for (rank, floor) in floors {
            state.waiting.set_floor(*rank, *floor);
        }
    }

    /// Closes the queue if nobody used it since `since`. Returns whether it is closed.
    pub fn close_if_idle(&self, since: Instant) -> bool {
        let mut state = self.lock();
        let idle = state.used < since && state.running == 0 && state.waiting.is_empty();
        state.closed |= idle;
        let closed = state.closed;
        drop(state);
        if closed {
            self.changed.notify_waiters();
        }
        closed
    }

    /// Ends everything that waits as not run and closes the queue.
    pub fn close(&self) {
        let mut state = self.lock();
        state.closed = true;
        let jobs = state.waiting.remove_where(|_| true);
        drop(state);
        self.changed.notify_waiters();
        jobs.into_iter().for_each(|job| job.refuse(FailureReason::Draining));
    }

    /// Returns the admitted share of a rank, from 0.0 to 1.0.
    pub fn admitted(&self, rank: Rank, now: Instant) -> f64 {
        self.lock().admission.share(rank, now)
    }

    /// Returns waiting and running attempts, and whether the searcher is leaving.
    pub fn load(&self) -> (usize, u32, bool) {
        let state = self.lock();
        (state.waiting.len(), state.running, state.draining)
    }

    fn pop(&self, now: Instant) -> Next {
        let mut refused = Vec::new();
        let next = self.pop_wanted(now, &mut refused);
        for (job, reason) in refused {
            job.refuse(reason);
        }
        next
    }

    fn pop_wanted(&self, now: Instant, refused: &mut Vec<(Job, FailureReason)>) -> Next {
        let mut state = self.lock();
        if state.closed {
            return Next::Closed;
        }
        let known = match state.health {
            Health::Unknown => return Next::Empty,
            Health::Answered(at) => now.saturating_duration_since(at) <= HEALTH_VALID,
            Health::Silent => false,
        };
        let down = !known || state.down_until.is_some_and(|until| now < until);
        let service = state.service;
        loop {
            match state.waiting.pop(now, service) {
                None => return Next::Empty,
                Some(Popped::Expired(job)) => {
                    state.note_wait(&job, now);
                    refused.push((job, FailureReason::Expired));
                }
                Some(Popped::Ready(job)) if job.tx.is_closed() => {}
                Some(Popped::Ready(job)) if down => {
                    refused.push((job, FailureReason::ConnectFailed));
                }
                Some(Popped::Ready(job)) => {
                    state.note_wait(&job, now);
                    state.running += 1;
                    if !state.waiting.is_empty() {
                        self.changed.notify_one();
                    }
                    return Next::Run(job);
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn note_wait(&mut self, job: &Job, now: Instant) {
        let wait = now.saturating_duration_since(job.arrived);
        let in_all = job.deadline.saturating_duration_since(job.arrived);
        self.admission.record_wait(job.req.rank, wait, in_all, now);
    }
}

enum Next {
    Run(Job),
    Empty,
    Closed,
}
