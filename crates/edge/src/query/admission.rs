//! Admission of requests by their cost, while searchers cannot serve all of them.
//!
//! Nothing here has an effect unless the settings enable it.

use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::admission::Draw;
use galenaloft_policy::admission::by_cost::HostAdmission;
use galenaloft_policy::admission::by_cost::Lane;
use galenaloft_policy::admission::by_cost::PartOutcome;
use galenaloft_policy::admission::by_cost::RouteShares;
use galenaloft_policy::admission::by_cost::Work;
use galenaloft_policy::admission::by_cost::retry_after;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::route::Gather;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;

use crate::host::Host;
use crate::peers::Aggregator;
use crate::peers::GroupAdmission;
use crate::query::RoutedRequest;
use crate::query::group::ShardGroup;

/// Decision on a request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// It is sent, with this statement to aggregators; `None` if all requests are admitted.
    Admitted(Option<GroupAdmission>),
    /// It is refused; the caller may return after this time.
    Refused(Duration),
}

/// Returns the name of an index: the least of its shards.
pub fn index_name(gather: &Gather) -> Option<ServiceId> {
    gather.shards.iter().min().cloned()
}

/// Decides, as the coordinator, on a query over many shards, by the least share among this host, if
/// it queries some shards itself, and the aggregators that it would ask.
pub fn admit_query(
    host: &Host,
    request: &RoutedRequest,
    groups: &[ShardGroup],
    direct_shards: usize,
    now: Instant,
) -> Decision {
    let (Some(admission), Some(searchers)) = (&host.admission, &request.index) else {
        return Decision::Admitted(None);
    };
    let mut admission = lock(admission);
    let route = &request.route;
    let work = work(request, direct_shards, now);
    let controller = admission.controller(searchers, now);
    let lane = controller.lane(&work);
    let mut share = 1.0_f64;
    if direct_shards > 0 {
        controller.record_offered(&work, lane, 1.0, now);
        share = controller.share(&route.name, lane, now);
    }
    for group in groups {
        let peer = &group.aggregator.host;
        share = share.min(admission.reported_share(peer, searchers, &route.name, lane, now));
    }
    if !draw(request).is_below(share) {
        drop(admission);
        return Decision::Refused(refuse(host, request, share));
    }
    if direct_shards > 0 {
        admission.controller(searchers, now).record_admitted(&route.name, direct_shards);
    }
    Decision::Admitted(Some(GroupAdmission { searchers: searchers.clone(), lane, share }))
}

/// Decides on a request to one service.
pub fn admit_single(
    host: &Host,
    request: &RoutedRequest,
    service: &ServiceId,
    now: Instant,
) -> Decision {
    let Some(admission) = &host.admission else {
        return Decision::Admitted(None);
    };
    let mut admission = lock(admission);
    let controller = admission.controller(service, now);
    let work = work(request, 1, now);
    let lane = controller.lane(&work);
    controller.record_offered(&work, lane, 1.0, now);
    let share = controller.share(&request.route.name, lane, now);
    if draw(request).is_below(share) {
        controller.record_admitted(&request.route.name, 1);
        return Decision::Admitted(None);
    }
    drop(admission);
    Decision::Refused(refuse(host, request, share))
}

/// Returns, as an aggregator, whether a query over a group of shards is run.
pub fn accepts_group(
    host: &Host,
    request: &RoutedRequest,
    group: &GroupAdmission,
    shards: usize,
    now: Instant,
) -> bool {
    let Some(admission) = &host.admission else {
        return true;
    };
    let mut admission = lock(admission);
    let controller = admission.controller(&group.searchers, now);
    let work = work(request, shards, now);
    let lane = match group.lane {
        Lane::Timely => controller.lane(&work),
        Lane::Late => Lane::Late,
    };
    controller.record_offered(&work, lane, group.share, now);
    let accepted = controller.tolerates(&request.route.name, lane, draw(request), now);
    if accepted {
        controller.record_admitted(&request.route.name, shards);
    }
    accepted
}

/// Returns the shares of the routes that use the searchers of a request.
pub fn report(host: &Host, searchers: Option<&ServiceId>, now: Instant) -> Vec<RouteShares> {
    match (&host.admission, searchers) {
        (Some(admission), Some(searchers)) => {
            lock(admission).controller(searchers, now).report(now)
        }
        _ => Vec::new(),
    }
}

/// Takes over the shares that an aggregator reported.
pub fn record_report(
    host: &Host,
    request: &RoutedRequest,
    aggregator: &Aggregator,
    shares: Vec<RouteShares>,
    now: Instant,
) {
    if let (Some(admission), Some(searchers)) = (&host.admission, &request.index) {
        lock(admission).record_report(&aggregator.host, searchers, shares, now);
    }
}

/// Returns the time after which the caller of a query may return that aggregators did not admit.
pub fn retry_after_group(
    host: &Host,
    request: &RoutedRequest,
    aggregators: &[Aggregator],
    now: Instant,
) -> Option<Duration> {
    let (admission, searchers) = (host.admission.as_ref()?, request.index.as_ref()?);
    let admission = lock(admission);
    let share = |aggregator: &Aggregator| {
        let route = &request.route.name;
        admission.reported_share(&aggregator.host, searchers, route, Lane::Timely, now)
    };
    let least = aggregators.iter().map(share).min_by(f64::total_cmp)?;
    drop(admission);
    Some(refuse(host, request, least))
}

/// Returns the time after which a caller may return whose request no searcher has run, or `None` if
/// nothing is refused by cost.
pub fn retry_delay(
    host: &Host,
    request: &RoutedRequest,
    searchers: &ServiceId,
    now: Instant,
) -> Option<Duration> {
    let route = &request.route.name;
    let share = with(host, |admission| {
        admission.controller(searchers, now).share(route, Lane::Timely, now)
    })?;
    (share < 1.0).then(|| retry_after(draw(request), share))
}

/// Records the outcome of a part that started at `started_at`.
pub fn record_outcome(
    host: &Host,
    request: &RoutedRequest,
    service: &ServiceId,
    outcome: PartOutcome,
    started_at: Instant,
    now: Instant,
) {
    with(host, |admission| {
        let controller = admission.controller(searchers_of(request, service), now);
        controller.record_outcome(&request.route.name, outcome, started_at, now);
    });
}

/// Returns whether a hedge may be sent.
pub fn allows_hedges(
    host: &Host,
    request: &RoutedRequest,
    service: &ServiceId,
    now: Instant,
) -> bool {
    !is_limited(host, searchers_of(request, service), now)
}

/// Returns whether some of the work for a group of searchers is refused.
pub fn is_limited(host: &Host, searchers: &ServiceId, now: Instant) -> bool {
    with(host, |admission| admission.controller(searchers, now).is_limited(now)).unwrap_or(false)
}

/// Returns whether a part that failed may be tried again.
pub fn allows_retries(
    host: &Host,
    request: &RoutedRequest,
    service: &ServiceId,
    now: Instant,
) -> bool {
    let (searchers, route) = (searchers_of(request, service), &request.route.name);
    with(host, |admission| admission.controller(searchers, now).allows_retries(route, now))
        .unwrap_or(true)
}

/// Returns the group of searchers that a part for `service` goes to: the index of its query, or else the
/// service.
fn searchers_of<'a>(request: &'a RoutedRequest, service: &'a ServiceId) -> &'a ServiceId {
    request.index.as_ref().unwrap_or(service)
}

fn with<T>(host: &Host, f: impl FnOnce(&mut HostAdmission) -> T) -> Option<T> {
    host.admission.as_ref().map(|admission| f(&mut lock(admission)))
}

fn draw(request: &RoutedRequest) -> Draw {
    Draw::from_request_id(&request.inbound.id)
}

fn work(request: &RoutedRequest, parts: usize, now: Instant) -> Work<'_> {
    Work {
        route: &request.route.name,
        rank: request.route.rank,
        objective: request.route.target_latency,
        parts,
        time_left: request.deadline.saturating_duration_since(now),
    }
}

/// Logs and counts a refusal. Returns the time after which the caller may return.
fn refuse(host: &Host, request: &RoutedRequest, share: f64) -> Duration {
    let after = retry_after(draw(request), share);
    Event::new("refused_by_admission")
        .with("request", &request.inbound.id)
        .with("route", &request.route.name)
        .with("rank", request.route.rank)
        .with("share", format!("{share:.3}"))
        .with("retry_after_ms", after.as_millis())
        .info();
    host.metrics.refused("admission", request.route.rank);
    after
}
