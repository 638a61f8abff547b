//! The callers' side.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_adapter::caller::Answer;
use galenaloft_adapter::caller::CallerRequest;
use galenaloft_http::Reply;
use galenaloft_policy::quarantine::Danger;
use galenaloft_policy::quarantine::fingerprint;
use galenaloft_policy::route::Target;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use hyper::Request;

use crate::host::Host;
use crate::query;
use crate::query::Plan;

/// When a caller may come back to a host that knows no configuration yet.
const NOT_INFORMED: Duration = Duration::from_millis(500);

/// When a caller may come back with a request that crashes searchers.
const QUARANTINE: Duration = Duration::from_secs(600);

/// Counts a request while it is in progress.
struct InProgress<'a>(&'a Host);

impl<'a> InProgress<'a> {
    fn begin(host: &'a Host) -> Self {
        host.in_progress.fetch_add(1, Ordering::Relaxed);
        Self(host)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers one request of a caller.
pub async fn answer(host: Arc<Host>, req: Request<Bytes>) -> Reply {
    let _in_progress = InProgress::begin(&host);
    let arrived = now();
    let call = match CallerRequest::decode(req) {
        Ok(call) => call,
        Err(why) => return Answer::Improper(why).encode(host.closes_connections()),
    };
    let Some(config) = host.config() else {
        return Answer::Refused(NOT_INFORMED).encode(host.closes_connections());
    };
    let Some(route) = config.route(&call.host, call.path()).cloned() else {
        Event::new("no_route").with("host", &call.host).with("path", call.path()).info();
        return Answer::NoRoute.encode(host.closes_connections());
    };
    let mut plan = Plan::new(call, route, config, arrived);
    match danger(&host, &plan) {
        Danger::None => {}
        Danger::Suspected => plan.suspected = true,
        Danger::Quarantined => {
            Event::new("quarantined").with("request", &plan.call.id).warn();
            return Answer::Refused(QUARANTINE).encode(host.closes_connections());
        }
    }
    let plan = Arc::new(plan);
    let answer = match &plan.route.target {
        Target::Gather(gather) => query::gather(&host, &plan, gather).await,
        Target::Service(service) => query::single(&host, &plan, service).await,
        Target::Weighted(parts) => match host.split(&plan.route, parts) {
            Some(service) => query::single(&host, &plan, &service).await,
            None => Answer::Refused(NOT_INFORMED),
        },
    };
    note(&host, &plan, &answer);
    answer.encode(host.closes_connections())
}

/// Returns how a request is treated by what is known of crashes.
fn danger(host: &Host, plan: &Plan) -> Danger {
    let quarantine = lock(&host.quarantine);
    if quarantine.is_empty() {
        return Danger::None;
    }
    let call = &plan.call;
    let path = call.uri.to_string();
    let fingerprint = fingerprint(call.method.as_str(), &call.host, &path, &call.body);
    quarantine.danger(fingerprint, plan.arrived)
}

/// Counts an answer, and logs it unless it is a full success.
fn note(host: &Host, plan: &Plan, answer: &Answer) {
    let took = now().saturating_duration_since(plan.arrived);
    let kind = match &plan.route.target {
        Target::Gather(_) => "gather",
        Target::Service(_) | Target::Weighted(_) => "single",
    };
    let (outcome, why) = outcome(answer);
    host.metrics.outcome(kind, outcome, answer.status().as_u16());
    host.metrics.submitted(kind, plan.route.rank, took);
    if outcome == "whole" {
        return;
    }
    Event::new(outcome)
        .with("request", &plan.call.id)
        .with("route", &plan.route.name)
        .with("config", plan.config.version)
        .with("status", answer.status().as_u16())
        .with("why", why)
        .with("ms", took.as_millis())
        .with("late", took > plan.route.target_latency)
        .with("cut_off", host.is_cut_off())
        .info();
}

/// Names what became of a request, and why.
fn outcome(answer: &Answer) -> (&'static str, String) {
    match answer {
        Answer::Relayed(reply) if reply.status.is_success() => ("whole", String::new()),
        Answer::Gathered { missing: 0, .. } => ("whole", String::new()),
        Answer::Gathered { missing, .. } => ("incomplete", format!("{missing} shards missing")),
        Answer::Relayed(_) => ("failed", "the searcher failed".to_owned()),
        Answer::Refused(after) => ("refused", format!("come back after {} ms", after.as_millis())),
        Answer::NoRoute => ("no_route", String::new()),
        Answer::Improper(why) => ("improper", why.clone()),
        Answer::Lost(why) => ("failed", (*why).to_owned()),
        Answer::TimedOut => ("failed", "its time is up".to_owned()),
    }
}
