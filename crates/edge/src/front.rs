//! The callers' side.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_adapter::caller::Answer;
use galenaloft_adapter::caller::CallerRequest;
use galenaloft_http::Reply;
use galenaloft_policy::route::Target;
use galenaloft_telemetry::log::Event;
use hyper::Request;

use crate::clock::now;
use crate::host::Host;
use crate::query;
use crate::query::Plan;

/// When a caller may come back to a host that knows no configuration yet.
const NOT_INFORMED: Duration = Duration::from_millis(500);

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
        Err(why) => return Answer::Improper(why).encode(host.turns_away()),
    };
    let Some(config) = host.config() else {
        return Answer::Refused(NOT_INFORMED).encode(host.turns_away());
    };
    let Some(route) = config.route(&call.host, call.path()).cloned() else {
        Event::new("no_route").with("host", &call.host).with("path", call.path()).info();
        return Answer::NoRoute.encode(host.turns_away());
    };
    let plan = Arc::new(Plan::new(call, route, config, arrived));
    let answer = match &plan.route.target {
        Target::Gather(gather) => query::gather(&host, &plan, gather).await,
        Target::Service(service) => query::single(&host, &plan, service).await,
        Target::Weighted(parts) => match host.split(&plan.route, parts) {
            Some(service) => query::single(&host, &plan, &service).await,
            None => Answer::Refused(NOT_INFORMED),
        },
    };
    log_failure(&plan, &answer);
    answer.encode(host.turns_away())
}

/// Logs each answer that is not a full success.
fn log_failure(plan: &Plan, answer: &Answer) {
    let event = match answer {
        Answer::Relayed(reply) if reply.status.is_success() => return,
        Answer::Gathered { missing: 0, .. } => return,
        Answer::Gathered { missing, .. } => Event::new("incomplete").with("missing", missing),
        Answer::Lost(why) => Event::new("failed").with("why", why),
        Answer::Refused(after) => Event::new("refused").with("back_ms", after.as_millis()),
        _ => Event::new("failed"),
    };
    event
        .with("request", &plan.call.id)
        .with("route", &plan.route.name)
        .with("status", answer.status().as_u16())
        .with("ms", now().saturating_duration_since(plan.arrived).as_millis())
        .info();
}
