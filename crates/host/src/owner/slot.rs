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

/// How long the reply to a cancelled attempt is awaited before its connection is closed.
const CANCEL_GRACE: Duration = Duration::from_millis(50);

/// How long the late reply of a non-idempotent attempt is awaited after its deadline.
pub const LATE_REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Greatest number of times that an attempt is sent. It is sent again only if it did not leave this
/// host because its connection failed.
const MAX_SEND_TRIES: u32 = 2;

/// Runs the jobs of a queue one at a time until the queue is closed.
pub async fn run_slot<C: SearcherConnector>(queue: Arc<SearcherQueue>, connector: Arc<C>) {
    let mut conn: Option<C::Conn> = None;
    while let Some(job) = queue.next().await {
        let started = now();
        let result = run_job(&queue, &*connector, &mut conn, job).await;
        queue.record_end(result.then(|| now().saturating_duration_since(started)));
    }
}

/// Runs one job and sends its result to the requester. Returns whether the job ran and returned a
/// shard result.
async fn run_job<C: SearcherConnector>(
    queue: &SearcherQueue,
    connector: &C,
    conn: &mut Option<C::Conn>,
    job: Job,
) -> bool {
    let Job { mut req, deadline, mut tx, .. } = job;
    for _ in 0..MAX_SEND_TRIES {
        if conn.as_ref().is_none_or(|conn| !conn.is_open()) {
            *conn = connect(queue, connector, &mut tx).await;
        }
        let present = now();
        let Some(open) = conn.as_mut() else {
            return finish(tx, Err(AttemptFailure::not_run(FailureReason::ConnectFailed)));
        };
        if present >= deadline || tx.is_closed() {
            return finish(tx, Err(AttemptFailure::not_run(FailureReason::Expired)));
        }
        req.time_left = deadline - present;
        let outcome = send_attempt(queue, open, &req, deadline, &mut tx).await;
        if outcome.prevents_reuse() {
            *conn = None;
        }
        match outcome {
            SendOutcome::Replied(Err(failure)) if is_unsent(&failure) => {}
            SendOutcome::Replied(Ok(reply)) => {
                if reply.draining {
                    queue.record_draining(now());
                }
                return finish(tx, Ok(reply.result));
            }
            SendOutcome::Replied(Err(failure)) => {
                if failure.reason == FailureReason::Draining {
                    queue.record_draining(now());
                }
                return finish(tx, Err(failure));
            }
            SendOutcome::TimedOut => {
                return finish(tx, Err(AttemptFailure::may_have_run(FailureReason::TimedOut)));
            }
            SendOutcome::Cancelled { .. } => return false,
        }
    }
    queue.record_connect_failure(now());
    finish(tx, Err(AttemptFailure::not_run(FailureReason::ConnectFailed)))
}

/// Connects to the searcher. Returns `None` if that fails or the requester no longer waits.
async fn connect<C: SearcherConnector>(
    queue: &SearcherQueue,
    connector: &C,
    tx: &mut ResultSender,
) -> Option<C::Conn> {
    let connecting = connector.connect(queue.spec.address);
    tokio::pin!(connecting);
    let connected = tokio::select! {
        biased;
        connected = &mut connecting => connected,
        () = tx.closed() => return None,
    };
    if connected.is_err() {
        queue.record_connect_failure(now());
    }
    connected.ok()
}

/// How an attempt on a connection ended.
enum SendOutcome {
    Replied(Result<RanReply, AttemptFailure>),
    TimedOut,
    Cancelled { ended: bool },
}

impl SendOutcome {
    /// Returns whether a reply may still arrive, in which case the connection must not be reused.
    fn prevents_reuse(&self) -> bool {
        match self {
            Self::Replied(Ok(_)) => false,
            Self::Replied(Err(failure)) => failure.verdict == Verdict::MayHaveRun,
            Self::TimedOut => true,
            Self::Cancelled { ended } => !ended,
        }
    }
}

/// Sends an attempt and waits for its reply. An idempotent attempt is cancelled at its deadline or
/// once the requester no longer waits; any other one is awaited for [`LATE_REPLY_TIMEOUT`] longer.
async fn send_attempt<S: SearcherConn>(
    queue: &SearcherQueue,
    conn: &mut S,
    req: &AttemptRequest,
    deadline: Instant,
    tx: &mut ResultSender,
) -> SendOutcome {
    let idempotent = req.operation.is_idempotent();
    let limit = if idempotent { deadline } else { deadline + LATE_REPLY_TIMEOUT };
    let reply = conn.send(req);
    tokio::pin!(reply);
    tokio::select! {
        biased;
        result = &mut reply => return SendOutcome::Replied(result),
        () = tx.closed(), if idempotent => {}
        () = sleep_until(limit) => {
            cancel(queue, req);
            return SendOutcome::TimedOut;
        }
    }
    cancel(queue, req);
    let ended = tokio::time::timeout(CANCEL_GRACE, &mut reply).await;
    SendOutcome::Cancelled { ended: ended.is_ok() }
}

/// Asks the searcher to cancel an attempt, over the control connection.
fn cancel(queue: &SearcherQueue, req: &AttemptRequest) {
    // This fails if the control connection has stopped with its queue. The searcher then ends the
    // attempt at its deadline, which it knows.
    let _ = queue.cancels.send(req.attempt);
}

/// Returns whether the attempt was not sent because its connection failed.
fn is_unsent(failure: &AttemptFailure) -> bool {
    failure.verdict == Verdict::NotRun && failure.reason == FailureReason::ConnectFailed
}

/// Sends the result to the requester. Returns whether it is a shard result.
fn finish(tx: ResultSender, result: AttemptResult) -> bool {
    let ran = result.is_ok();
    // Sending fails if the requester no longer waits, and then nobody needs the result.
    let _ = tx.send(result);
    ran
}
