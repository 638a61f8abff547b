//! The HTTP interface for callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_adapter::caller::Answer;
use galenaloft_adapter::caller::CallerRequest;
use galenaloft_http::Reply;
use galenaloft_policy::quarantine::QuarantineStatus;
use galenaloft_policy::quarantine::SUSPICION_TTL;
use galenaloft_policy::route::Target;
use galenaloft_runtime::clock::now;
use galenaloft_telemetry::log::Event;
use hyper::Request;

use crate::host::Host;
use crate::query;
use crate::query::RoutedRequest;

/// Time after which a caller may retry while the host has no configuration, or the route has no
/// service with a positive weight.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Counts a request as in progress until dropped.
struct InProgressGuard<'a>(&'a Host);

impl<'a> InProgressGuard<'a> {
    fn new(host: &'a Host) -> Self {
        host.in_progress.fetch_add(1, Ordering::Relaxed);
        Self(host)
    }
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers one request from a caller.
pub async fn answer(host: Arc<Host>, req: Request<Bytes>) -> Reply {
    let _in_progress = InProgressGuard::new(&host);
    let arrived_at = now();
    let inbound = match CallerRequest::decode(req) {
        Ok(inbound) => inbound,
        Err(reason) => return Answer::Improper(reason).encode(host.closes_connections()),
    };
    let Some(config) = host.config() else {
        return Answer::Refused(UNAVAILABLE_RETRY_DELAY).encode(host.closes_connections());
    };
    let Some(route) = config.route(&inbound.host, inbound.path()).cloned() else {
        Event::new("no_route").with("host", &inbound.host).with("path", inbound.path()).info();
        return Answer::NoRoute.encode(host.closes_connections());
    };
    let mut request = RoutedRequest::new(inbound, route, config, arrived_at);
    match request.quarantine_status(&host, arrived_at) {
        QuarantineStatus::Clear => {}
        QuarantineStatus::Suspected => request.crash_suspect = true,
        QuarantineStatus::Quarantined => {
            Event::new("quarantined").with("request", &request.inbound.id).warn();
            return Answer::Refused(SUSPICION_TTL).encode(host.closes_connections());
        }
    }
    if let (Some(_), Target::Gather(gather)) = (&host.admission, &request.route.target) {
        request.index = query::index_name(gather);
    }
    let request = Arc::new(request);
    let answer = match &request.route.target {
        Target::Gather(gather) => query::scatter_gather(&host, &request, gather).await,
        Target::Service(service) => query::query_service(&host, &request, service).await,
        Target::Weighted(services) => match host.next_weighted_service(&request.route, services) {
            Some(service) => query::query_service(&host, &request, &service).await,
            None => Answer::Refused(UNAVAILABLE_RETRY_DELAY),
        },
    };
    record_answer(&host, &request, &answer);
    answer.encode(host.closes_connections())
}

/// Counts the answer to a routed request in the metrics, and logs it unless it is complete and
/// successful. Requests that are answered before they reach a target are not counted.
fn record_answer(host: &Host, request: &RoutedRequest, answer: &Answer) {
    let elapsed = now().saturating_duration_since(request.arrived_at);
    let kind = match &request.route.target {
        Target::Gather(_) => "gather",
        Target::Service(_) | Target::Weighted(_) => "single",
    };
    let (outcome, reason) = classify(answer);
    host.metrics.outcome(kind, outcome, answer.status().as_u16());
    host.metrics.submitted(kind, request.route.rank, elapsed);
    if outcome == "whole" {
        return;
    }
    Event::new(outcome)
        .with("request", &request.inbound.id)
        .with("route", &request.route.name)
        .with("config", request.config.version)
        .with("status", answer.status().as_u16())
        .with("why", reason)
        .with("ms", elapsed.as_millis())
        .with("late", elapsed > request.route.target_latency)
        .with("cut_off", host.is_cut_off())
        .info();
}

/// Returns the outcome of a request as it is counted and logged, and the reason for it.
fn classify(answer: &Answer) -> (&'static str, String) {
    match answer {
        Answer::Relayed(reply) if reply.status.is_success() => ("whole", String::new()),
        Answer::Gathered { missing: 0, .. } => ("whole", String::new()),
        Answer::Gathered { missing, .. } => ("incomplete", format!("{missing} shards missing")),
        Answer::Relayed(_) => ("failed", "the searcher returned a non-success status".to_owned()),
        Answer::Refused(retry_after) => {
            ("refused", format!("retry after {} ms", retry_after.as_millis()))
        }
        Answer::NoRoute => ("no_route", String::new()),
        Answer::Improper(reason) => ("improper", reason.clone()),
        Answer::Lost(reason) => ("failed", (*reason).to_owned()),
        Answer::TimedOut => ("failed", "deadline exceeded".to_owned()),
    }
}
