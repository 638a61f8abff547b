//! The queue of one searcher.

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

/// Greatest number of attempts that wait for one searcher.
const MAX_WAITING_JOBS: usize = 1_024;

/// How long jobs are refused after a connection to the searcher failed.
const CONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// How long the reply to a health check counts. Later, jobs are refused until the next successful
/// check, because the searcher may have started to drain in the meantime.
const HEALTH_VALIDITY: Duration = Duration::from_millis(2_500);

/// Weight of the newest sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Upper limit of the estimated service time, so that a searcher that was slow once still gets jobs
/// and its estimate can recover.
const MAX_SERVICE_TIME_ESTIMATE: Duration = Duration::from_millis(60);

/// Result of the last health check of the searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// No check has ended yet.
    Unknown,
    /// The searcher replied to a check that was sent at this time.
    Answered(Instant),
    /// The searcher did not reply.
    Unreachable,
}

#[derive(Debug)]
struct State {
    waiting: RankQueue<Job>,
    admission: AdmissionController,
    running: u32,
    health: Health,
    /// When the searcher last said that it is draining; `None` while it accepts new work.
    draining_since: Option<Instant>,
    closed: bool,
    backoff_until: Option<Instant>,
    service_time: Duration,
    last_used: Instant,
}

/// The queue of one searcher, shared by its slots, its control connection and the registry.
#[derive(Debug)]
pub struct SearcherQueue {
    /// The searcher, as described by the layout.
    pub spec: SearcherSpec,
    /// Takes the attempts to cancel at the searcher.
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
        let mut waiting = RankQueue::new(MAX_WAITING_JOBS);
        for (rank, floor) in floors {
            waiting.set_floor(*rank, *floor);
        }
        let state = State {
            waiting,
            admission: AdmissionController::default(),
            running: 0,
            health: Health::Unknown,
            draining_since: None,
            closed: false,
            backoff_until: None,
            service_time: Duration::ZERO,
            last_used: now,
        };
        Self { spec, cancels, state: Mutex::new(state), changed: Notify::new() }
    }

    /// Adds a job. Refuses it if the searcher is draining, the queue is closed or admission control
    /// sheds it; non-idempotent jobs are never shed. If the queue is full, the job or one that it
    /// displaces is refused.
    pub fn push(&self, job: Job, now: Instant) {
        let mut state = self.lock();
        state.last_used = now;
        if state.draining_since.is_some() || state.closed {
            drop(state);
            return job.refuse(FailureReason::Draining);
        }
        let (rank, deadline) = (job.req.rank, job.deadline);
        let admitted = state.admission.accepts(rank, job.req.draw, now);
        if job.req.operation.is_idempotent() && !admitted {
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

    /// Waits for the next job to run. Returns `None` once the queue is closed.
    pub async fn next(&self) -> Option<Job> {
        loop {
            let changed = self.changed.notified();
            let now = galenaloft_runtime::clock::now();
            match self.pop(now) {
                NextJob::Run(job) => return Some(job),
                NextJob::Closed => return None,
                NextJob::Empty => changed.await,
            }
        }
    }

    /// Records the end of a job that was returned by [`Self::next`], with its service time if it ran to
    /// its result.
    pub fn record_end(&self, service_time: Option<Duration>) {
        let mut state = self.lock();
        state.running -= 1;
        if let Some(service_time) = service_time {
            let average = state.service_time.as_secs_f64();
            let average = average + SERVICE_TIME_WEIGHT * (service_time.as_secs_f64() - average);
            state.service_time = Duration::from_secs_f64(average).min(MAX_SERVICE_TIME_ESTIMATE);
        }
    }

    /// Records that a connection to the searcher failed.
    pub fn record_connect_failure(&self, now: Instant) {
        self.lock().backoff_until = Some(now + CONNECT_BACKOFF);
    }

    /// Records the result of a health check that was sent at `asked_at`: whether the searcher is
    /// draining, or `None` if it did not reply. Returns whether that has changed.
    pub fn record_health(&self, draining: Option<bool>, asked_at: Instant) -> bool {
        self.lock().health = match draining {
            Some(_) => Health::Answered(asked_at),
            None => Health::Unreachable,
        };
        self.changed.notify_waiters();
        match draining {
            Some(true) => self.record_draining(asked_at),
            Some(false) => self.record_accepting(asked_at),
            None => false,
        }
    }

    /// Records that the searcher said at `at` that it is draining, and ends all waiting jobs as not
    /// run. Returns whether that is new.
    pub fn record_draining(&self, at: Instant) -> bool {
        let mut state = self.lock();
        let is_new = state.draining_since.is_none();
        state.draining_since = state.draining_since.max(Some(at));
        let jobs = state.waiting.remove_where(|_| true);
        drop(state);
        jobs.into_iter().for_each(|job| job.refuse(FailureReason::Draining));
        is_new
    }

    /// Records that the searcher answered a health check, sent at `asked_at`, as one that accepts new
    /// work. It has been started again if it said earlier that it is draining. Returns whether that
    /// is new.
    fn record_accepting(&self, asked_at: Instant) -> bool {
        let mut state = self.lock();
        let restarted = state.draining_since.is_some_and(|since| since < asked_at);
        if restarted {
            state.draining_since = None;
        }
        restarted
    }

    /// Sets the floors of the ranks.
    pub fn set_floors(&self, floors: &BTreeMap<Rank, f64>) {
        let mut state = self.lock();
        for (rank, floor) in floors {
            state.waiting.set_floor(*rank, *floor);
        }
    }

    /// Closes the queue if no job was added since `since` and none is waiting or running. Returns
    /// whether the queue is closed.
    pub fn close_if_idle(&self, since: Instant) -> bool {
        let mut state = self.lock();
        let idle = state.last_used < since && state.running == 0 && state.waiting.is_empty();
        state.closed |= idle;
        let closed = state.closed;
        drop(state);
        if closed {
            self.changed.notify_waiters();
        }
        closed
    }

    /// Closes the queue and ends all waiting jobs as not run. Running jobs go on.
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

    /// Returns the numbers of waiting and running attempts, and whether the searcher is draining.
    pub fn load(&self) -> (usize, u32, bool) {
        let state = self.lock();
        (state.waiting.len(), state.running, state.draining_since.is_some())
    }

    /// Takes the next job to run, and refuses the jobs that it skips.
    fn pop(&self, now: Instant) -> NextJob {
        let mut refused = Vec::new();
        let next = self.pop_next(now, &mut refused);
        for (job, reason) in refused {
            job.refuse(reason);
        }
        next
    }

    /// Takes the next job to run. Jobs that have expired or that the searcher cannot take now go to
    /// `refused`, to be ended without the lock; jobs that are no longer waited for are dropped.
    fn pop_next(&self, now: Instant, refused: &mut Vec<(Job, FailureReason)>) -> NextJob {
        let mut state = self.lock();
        if state.closed {
            return NextJob::Closed;
        }
        let reachable = match state.health {
            Health::Unknown => return NextJob::Empty,
            Health::Answered(at) => now.saturating_duration_since(at) <= HEALTH_VALIDITY,
            Health::Unreachable => false,
        };
        let unavailable = !reachable || state.backoff_until.is_some_and(|until| now < until);
        let service_time = state.service_time;
        loop {
            match state.waiting.pop(now, service_time) {
                None => return NextJob::Empty,
                Some(Popped::Expired(job)) => {
                    state.record_wait(&job, now);
                    refused.push((job, FailureReason::Expired));
                }
                Some(Popped::Ready(job)) if job.tx.is_closed() => {}
                Some(Popped::Ready(job)) if unavailable => {
                    refused.push((job, FailureReason::ConnectFailed));
                }
                Some(Popped::Ready(job)) => {
                    state.record_wait(&job, now);
                    state.running += 1;
                    if !state.waiting.is_empty() {
                        self.changed.notify_one();
                    }
                    return NextJob::Run(job);
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    /// Records how long a job waited, and the total time that it had, for admission control.
    fn record_wait(&mut self, job: &Job, now: Instant) {
        let wait = now.saturating_duration_since(job.arrived);
        let total = job.deadline.saturating_duration_since(job.arrived);
        self.admission.record_wait(job.req.rank, wait, total, now);
    }
}

/// Result of taking a job from the queue.
enum NextJob {
    Run(Job),
    Empty,
    Closed,
}

#[cfg(test)]
mod tests;
