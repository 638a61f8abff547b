//! One slot of a searcher: a connection that carries one attempt at a time.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_searcher::RanReply;

use crate::network::SearcherConn;
use crate::network::SearcherConnector;
use crate::owner::job::AttemptResult;
use crate::owner::job::Job;
use crate::owner::job::ResultSender;
use crate::owner::queue::SearcherQueue;

/// How long a cancelled attempt may take to end before its connection is given up.
const CANCEL_GRACE: Duration = Duration::from_millis(50);

/// How long the late reply of a non-idempotent attempt is awaited after its deadline.
pub const LATE_REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// How often an unsent attempt is tried again on a new connection.
const MAX_SENDS: u32 = 2;

/// Runs the jobs of a queue one after the other until the queue is closed.
pub async fn run_slot<L: SearcherConnector>(queue: Arc<SearcherQueue>, link: Arc<L>) {
    let mut conn: Option<L::Conn> = None;
    while let Some(job) = queue.next().await {
        let started = now();
        let result = run_job(&queue, &*link, &mut conn, job).await;
        queue.note_end(result.then(|| now().saturating_duration_since(started)));
    }
}

/// Runs one job. Returns whether it ran to its result.
async fn run_job<L: SearcherConnector>(
    queue: &SearcherQueue,
    link: &L,
    conn: &mut Option<L::Conn>,
    job: Job,
) -> bool {
    let Job { mut req, deadline, mut tx, .. } = job;
    for _ in 0..MAX_SENDS {
        if conn.as_ref().is_none_or(|conn| !conn.is_open()) {
            *conn = connect(queue, link, &mut tx).await;
        }
        let present = now();
        let Some(open) = conn.as_mut() else {
            return finish(tx, Err(AttemptFailure::not_run(FailureReason::ConnectFailed)));
        };
        if present >= deadline || tx.is_closed() {
            return finish(tx, Err(AttemptFailure::not_run(FailureReason::Expired)));
        }
        req.time_left = deadline - present;
        let sent = exchange(queue, open, &req, deadline, &mut tx).await;
        if sent.spoils_connection() {
            *conn = None;
        }
        match sent {
            Sent::Replied(Err(failure)) if is_unsent(&failure) => {}
            Sent::Replied(Ok(reply)) => {
                if reply.draining {
                    queue.set_draining(true);
                }
                return finish(tx, Ok(reply.result));
            }
            Sent::Replied(Err(failure)) => {
                if failure.reason == FailureReason::Draining {
                    queue.set_draining(true);
                }
                return finish(tx, Err(failure));
            }
            Sent::TimedOut => {
                return finish(tx, Err(AttemptFailure::may_have_run(FailureReason::TimedOut)));
            }
            Sent::Abandoned { .. } => return false,
        }
    }
    queue.note_down(now());
    finish(tx, Err(AttemptFailure::not_run(FailureReason::ConnectFailed)))
}

async fn connect<L: SearcherConnector>(
    queue: &SearcherQueue,
    link: &L,
    tx: &mut ResultSender,
) -> Option<L::Conn> {
    let connecting = link.connect(queue.spec.address);
    tokio::pin!(connecting);
    let connected = tokio::select! {
        biased;
        connected = &mut connecting => connected,
        () = tx.closed() => return None,
    };
    if connected.is_err() {
        queue.note_down(now());
    }
    connected.ok()
}

/// What became of an attempt that was given to a connection.
enum Sent {
    Replied(Result<RanReply, AttemptFailure>),
    TimedOut,
    Abandoned { ended: bool },
}

impl Sent {
    /// Returns whether a reply may still come, so that the connection must not be used again.
    fn spoils_connection(&self) -> bool {
        match self {
            Self::Replied(Ok(_)) => false,
            Self::Replied(Err(failure)) => failure.verdict == Verdict::MayHaveRun,
            Self::TimedOut => true,
            Self::Abandoned { ended } => !ended,
        }
    }
}

async fn exchange<C: SearcherConn>(
    queue: &SearcherQueue,
    conn: &mut C,
    req: &AttemptRequest,
    deadline: Instant,
    tx: &mut ResultSender,
) -> Sent {
    let idempotent = req.operation.is_idempotent();
    let limit = if idempotent { deadline } else { deadline + LATE_REPLY_TIMEOUT };
    let sending = conn.send(req);
    tokio::pin!(sending);
    tokio::select! {
        biased;
        result = &mut sending => return Sent::Replied(result),
        () = tx.closed(), if idempotent => {}
        () = sleep_until(limit) => {
            cancel(queue, req);
            return Sent::TimedOut;
        }
    }
    cancel(queue, req);
    let ended = tokio::time::timeout(CANCEL_GRACE, &mut sending).await;
    Sent::Abandoned { ended: ended.is_ok() }
}

fn cancel(queue: &SearcherQueue, req: &AttemptRequest) {
    // The control connection may have stopped with the queue; the searcher has the deadline.
    let _ = queue.cancels.send(req.attempt);
}

fn is_unsent(failure: &AttemptFailure) -> bool {
    failure.verdict == Verdict::NotRun && failure.reason == FailureReason::ConnectFailed
}

fn finish(tx: ResultSender, result: AttemptResult) -> bool {
    let ran = result.is_ok();
    // The receiver may be gone, which is no loss.
    let _ = tx.send(result);
    ran
}
