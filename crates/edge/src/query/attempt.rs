//! One attempt: one request to one searcher.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use galenaloft_adapter::searcher;
use galenaloft_adapter::searcher::Refusal;
use galenaloft_adapter::searcher::SearcherAnswer;
use galenaloft_adapter::searcher::SearcherReply;
use galenaloft_policy::route::Target;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::time::timeout;

use crate::host::Host;
use crate::query::Plan;
use crate::query::suspicion;
use crate::searchers::Lease;

/// A searcher that takes so many times the usual latency of a route has stopped answering; slow ones
/// take up to twelve times as long.
const SILENCE_FACTOR: u32 = 15;

/// Least silence after which a searcher is given up: pauses last some 100 ms.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// How long an attempt whose answer is no longer needed may go on, so that its connection is kept.
const LEFTOVER_TIME: Duration = Duration::from_millis(150);

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub why: &'static str,
}

/// A searcher's answer, or why there is none.
pub type Outcome = Result<SearcherAnswer, AttemptFailure>;

/// A running attempt. Dropping it closes its connection, which cancels it at the searcher.
pub type Attempt = Pin<Box<dyn Future<Output = Outcome> + Send>>;

/// Begins an attempt on a connection that was leased for it.
pub fn begin(host: &Arc<Host>, plan: &Arc<Plan>, lease: Lease) -> Attempt {
    Box::pin(run(host.clone(), plan.clone(), lease))
}

/// Returns after how long a searcher that keeps silent is given up, or `None` for requests that
/// only one searcher may have: those wait for as long as their caller does.
fn silence(host: &Host, plan: &Plan) -> Option<Duration> {
    let Target::Gather(_) = plan.route.target else {
        return None;
    };
    let expected = host.latency(&plan.route).median();
    let slow = Duration::from_secs_f64(expected) * SILENCE_FACTOR;
    Some(slow.max(MIN_SILENCE))
}

/// Lets attempts go on for a while whose answers are no longer needed.
pub fn let_finish<F: Future<Output = ()> + Send + 'static>(rest: F) {
    tokio::spawn(async move {
        // What does not end in time is cancelled, which is all there is to do about it.
        let _ = timeout(LEFTOVER_TIME, rest).await;
    });
}

fn failed(verdict: Verdict, why: &'static str) -> Outcome {
    Err(AttemptFailure { verdict, why })
}

async fn run(host: Arc<Host>, plan: Arc<Plan>, lease: Lease) -> Outcome {
    let searcher = lease.searcher.clone();
    let outcome = exchange(host, &plan, lease).await;
    if let Err(AttemptFailure { verdict, why }) = &outcome {
        Event::new("attempt_failed")
            .with("request", &plan.call.id)
            .with("service", &searcher.entry.service)
            .with("searcher", &searcher.entry.id)
            .with("verdict", format!("{verdict:?}"))
            .with("why", why)
            .info();
    }
    outcome
}

async fn exchange(host: Arc<Host>, plan: &Arc<Plan>, mut lease: Lease) -> Outcome {
    let searcher = lease.searcher.clone();
    if lease.connect().await.is_err() {
        lock(&searcher.health).note_unreachable(now());
        return failed(Verdict::NotRun, "connect_failed");
    }
    let sent = now();
    let left = plan.deadline.saturating_duration_since(sent);
    if left.is_zero() {
        return failed(Verdict::NotRun, "expired");
    }
    let req = searcher::request(&plan.call, &searcher.entry.id, left);
    let patience = silence(&host, plan).map_or(left, |silence| silence.min(left));
    let reply = match timeout(patience, lease.exchange(req)).await {
        Ok(Ok(reply)) => reply,
        Err(_) => {
            lock(&searcher.health).note_unreachable(now());
            return failed(Verdict::MayHaveRun, "silent");
        }
        Ok(Err(e)) => {
            let present = now();
            if !e.may_be_received() {
                return failed(Verdict::NotRun, "not_sent");
            }
            lock(&searcher.health).note_failure(present);
            suspicion::check(&host, plan, &searcher);
            return failed(Verdict::MayHaveRun, "connection_lost");
        }
    };
    let present = now();
    if !searcher.local {
        host.record_other_zone_answer(present);
    }
    let idle_timeout = searcher::idle_timeout(reply.headers());
    match searcher::read_reply(reply, &plan.call.id) {
        SearcherReply::Ran(answer) => {
            let latency = present.saturating_duration_since(lease.started_at);
            if answer.status.is_success() {
                lock(&searcher.health).note_answer(&plan.route.name, latency, present);
                host.note_latency(&plan.route.name, latency);
            } else if answer.status.is_server_error() {
                lock(&searcher.health).note_failure(present);
            }
            lease.return_connection(idle_timeout);
            Ok(answer)
        }
        SearcherReply::NotRun(Refusal::Busy) => {
            lock(&searcher.health).note_full(present);
            lease.return_connection(idle_timeout);
            failed(Verdict::NotRun, "searcher_busy")
        }
        SearcherReply::NotRun(Refusal::OtherSearcher) => {
            searcher.drain();
            failed(Verdict::NotRun, "other_searcher")
        }
        SearcherReply::Unusable(why) => {
            lock(&searcher.health).note_failure(present);
            failed(Verdict::MayHaveRun, why)
        }
    }
}
