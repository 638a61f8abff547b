//! One attempt: one request to one searcher.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use galenaloft_adapter::searcher;
use galenaloft_adapter::searcher::Refusal;
use galenaloft_adapter::searcher::SearcherAnswer;
use galenaloft_adapter::searcher::SearcherReply;
use galenaloft_policy::admission::by_cost::PartOutcome;
use galenaloft_policy::route::Target;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::time::timeout;

use crate::host::Host;
use crate::query::RoutedRequest;
use crate::query::admission;
use crate::query::crash_check;
use crate::searchers::Lease;

/// Multiple of a route's median latency after which a searcher counts as unresponsive. Slow but
/// working searchers take up to 12 times the usual latency.
const RESPONSE_TIMEOUT_FACTOR: u32 = 15;

/// Shortest time after which a searcher counts as unresponsive. Pauses of a working searcher last
/// about 100 ms.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an attempt whose answer is no longer needed may keep running. If it ends in time, its
/// connection can be reused.
const UNNEEDED_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub reason: &'static str,
}

/// Result of one attempt.
pub type AttemptResult = Result<SearcherAnswer, AttemptFailure>;

/// A running attempt. Dropping it closes its connection, which cancels it at the searcher.
pub type Attempt = Pin<Box<dyn Future<Output = AttemptResult> + Send>>;

/// Returns an attempt that sends the request on a connection that was leased for it. The attempt
/// runs when it is polled.
pub fn start(host: &Arc<Host>, request: &Arc<RoutedRequest>, lease: Lease) -> Attempt {
    Box::pin(run(host.clone(), request.clone(), lease))
}

/// Returns the response timeout, or `None` for routes to a service: their requests are meant for
/// one searcher only, and wait for it until the deadline.
fn response_timeout(host: &Host, request: &RoutedRequest) -> Option<Duration> {
    let Target::Gather(_) = request.route.target else {
        return None;
    };
    let median = host.latency_estimate(&request.route).median();
    let limit = Duration::from_secs_f64(median) * RESPONSE_TIMEOUT_FACTOR;
    Some(limit.max(MIN_RESPONSE_TIMEOUT))
}

/// Keeps running attempts whose answers are no longer needed for a short time, in the background.
pub fn finish_in_background<F: Future<Output = ()> + Send + 'static>(attempts: F) {
    tokio::spawn(async move {
        // On timeout the attempts are dropped, which cancels them; nothing else is to be done.
        let _ = timeout(UNNEEDED_ATTEMPT_TIMEOUT, attempts).await;
    });
}

fn failure(verdict: Verdict, reason: &'static str) -> AttemptResult {
    Err(AttemptFailure { verdict, reason })
}

/// Runs an attempt, and logs its failure.
async fn run(host: Arc<Host>, request: Arc<RoutedRequest>, lease: Lease) -> AttemptResult {
    let searcher = lease.searcher.clone();
    let result = exchange(host, &request, lease).await;
    if let Err(AttemptFailure { verdict, reason }) = &result {
        Event::new("attempt_failed")
            .with("request", &request.inbound.id)
            .with("service", &searcher.entry.service)
            .with("searcher", &searcher.entry.id)
            .with("verdict", format!("{verdict:?}"))
            .with("why", reason)
            .info();
    }
    result
}

/// Sends the request, reads the reply and updates the searcher's health accordingly.
async fn exchange(
    host: Arc<Host>,
    request: &Arc<RoutedRequest>,
    mut lease: Lease,
) -> AttemptResult {
    let searcher = lease.searcher.clone();
    if lease.connect().await.is_err() {
        if searcher.is_evacuated() {
            return failure(Verdict::NotRun, "zone_evacuated");
        }
        lock(&searcher.health).record_unreachable(now());
        return failure(Verdict::NotRun, "connect_failed");
    }
    let sent_at = now();
    let time_left = request.deadline.saturating_duration_since(sent_at);
    if time_left.is_zero() {
        return failure(Verdict::NotRun, "expired");
    }
    let req = searcher::request(&request.inbound, &searcher.entry.id, time_left);
    let reply_timeout =
        response_timeout(&host, request).map_or(time_left, |limit| limit.min(time_left));
    let reply = match timeout(reply_timeout, lease.exchange(req)).await {
        Ok(Ok(reply)) => reply,
        Err(_) => {
            lock(&searcher.health).record_unreachable(now());
            return failure(Verdict::MayHaveRun, "silent");
        }
        Ok(Err(e)) => {
            let failed_at = now();
            if !e.may_be_received() {
                return failure(Verdict::NotRun, "not_sent");
            }
            lock(&searcher.health).record_failure(failed_at);
            crash_check::spawn(&host, request, &searcher);
            return failure(Verdict::MayHaveRun, "connection_lost");
        }
    };
    let received_at = now();
    if !searcher.local {
        host.record_other_zone_answer(received_at);
    }
    host.record_notice(&searcher, &reply, received_at);
    let idle_timeout = searcher::idle_timeout(reply.headers());
    match searcher::read_reply(reply, &request.inbound.id) {
        SearcherReply::Ran(answer) => {
            let latency = received_at.saturating_duration_since(lease.started_at);
            if answer.status.is_success() {
                lock(&searcher.health).record_answer(&request.route.name, latency, received_at);
                host.record_latency(&request.route.name, latency);
            } else if answer.status.is_server_error() {
                lock(&searcher.health).record_failure(received_at);
            }
            lease.return_connection(idle_timeout);
            Ok(answer)
        }
        SearcherReply::NotRun(Refusal::Busy) => {
            let mut health = lock(&searcher.health);
            health.record_busy(received_at);
            // Queries that can no longer reach their floor cancel their other parts, so that an
            // overloaded searcher has many cancelled requests and few answers.
            if host.admission.is_some() {
                health.record_responding();
            }
            drop(health);
            let (service, started_at) = (&searcher.entry.service, lease.started_at);
            let outcome = PartOutcome::Rejected;
            admission::record_outcome(&host, request, service, outcome, started_at, received_at);
            lease.return_connection(idle_timeout);
            failure(Verdict::NotRun, "searcher_busy")
        }
        SearcherReply::NotRun(Refusal::OtherSearcher) => {
            // Another searcher listens on this address now, so no further requests are sent to it.
            searcher.drain();
            failure(Verdict::NotRun, "other_searcher")
        }
        SearcherReply::Unusable(reason) => {
            lock(&searcher.health).record_failure(received_at);
            failure(Verdict::MayHaveRun, reason)
        }
    }
}
