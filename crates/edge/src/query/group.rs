//! Groups of shards that are queried through an aggregator, which merges their parts.
//!
//! For shards whose searchers are in another availability zone, only one merged reply crosses the
//! zone boundary instead of one part for each shard.
//!
//! In a large fleet, the aggregators of a zone also query its searchers on behalf of the other
//! hosts of the zone, since the searchers accept too few connections for every host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_adapter::caller::CallerRequest;
use galenaloft_policy::gathering::MIN_GROUP_SHARDS;
use galenaloft_policy::gathering::WaitPolicy;
use galenaloft_policy::gathering::answer_processing_time;
use galenaloft_policy::gathering::distribute_shards;
use galenaloft_policy::gathering::expected_group_time;
use galenaloft_policy::gathering::is_too_wide;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::quarantine::QuarantineStatus;
use galenaloft_policy::route::Gather;
use galenaloft_policy::route::Route;
use galenaloft_policy::route::Target;
use galenaloft_runtime::clock::now;

use crate::host::Host;
use crate::peers::Aggregator;
use crate::peers::GroupQuery;
use crate::peers::GroupReply;
use crate::peers::GroupResult;
use crate::peers::GroupShard;
use crate::query::RoutedRequest;
use crate::query::admission;
use crate::query::gather::ScatterGather;

/// Time reserved for an aggregator's reply: 3 ms for the round trip between zones and 1.5 ms to
/// decode it on a host with little processor capacity.
const AGGREGATOR_REPLY_TIME: Duration = Duration::from_micros(4_500);

/// Fraction of the time until the objective after which the shards of an aggregator that has not
/// answered are queried directly.
const AGGREGATOR_TIMEOUT_FRACTION: f64 = 0.45;

/// Multiple of the time in which an aggregator is expected to answer after which it is overdue.
const LATE_FACTOR: u32 = 2;

/// Maximum age of an aggregator's last answer for the aggregator to count as responsive.
const RESPONSIVE_WINDOW: Duration = Duration::from_secs(2);

/// Shards that are queried through one aggregator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardGroup {
    /// Host that queries the shards and merges their parts.
    pub aggregator: Aggregator,
    /// Index of each shard in the whole query.
    pub shards: Vec<usize>,
}

/// Groups the shards that are not queried directly: those without a healthy searcher in this host's
/// zone, and others that are left to the aggregators of this zone, in a large fleet or if the query
/// is too wide for this host.
pub fn group_shards(
    host: &Host,
    request: &RoutedRequest,
    gather: &Gather,
    now: Instant,
) -> Vec<ShardGroup> {
    let mut groups = match host.is_cut_off() {
        true => Vec::new(),
        false => other_zone_groups(host, request, gather, now),
    };
    let mut ungrouped = direct_shards(gather, &groups);
    if host.fleet.has_evacuated_zones() {
        // The aggregators of this zone have no searcher for the others either.
        ungrouped
            .retain(|index| host.fleet.service(&gather.shards[*index]).has_permitted_searcher());
    }
    let share =
        gather.shards.first().map(|shard| request.connection_share(shard, host.sharing_hosts()));
    let time_left =
        (request.arrived_at + request.route.target_latency).saturating_duration_since(now);
    if share.is_some_and(|share| share.uses_aggregators())
        || is_too_wide(ungrouped.len(), host.capacity(), time_left)
    {
        groups.extend(own_zone_groups(host, request, ungrouped, now));
    }
    groups
}

/// Returns the indexes of the shards that are in none of the groups, which are queried directly.
pub fn direct_shards(gather: &Gather, groups: &[ShardGroup]) -> Vec<usize> {
    let mut is_grouped = vec![false; gather.shards.len()];
    for index in groups.iter().flat_map(|group| &group.shards) {
        is_grouped[*index] = true;
    }
    (0..gather.shards.len()).filter(|index| !is_grouped[*index]).collect()
}

/// Distributes the shards in `ungrouped` among the aggregators of this host's zone. Shards in none of
/// the returned groups are queried directly.
fn own_zone_groups(
    host: &Host,
    request: &RoutedRequest,
    ungrouped: Vec<usize>,
    now: Instant,
) -> Vec<ShardGroup> {
    let mut ungrouped = ungrouped.into_iter();
    let aggregators = host.peers.aggregators_of(&host.settings.zone);
    let capacities = host.relays.usable_capacities(&aggregators, &request.route, now);
    let is_aggregator = host.sharing_hosts().is_aggregator;
    let counts = distribute_shards(ungrouped.len(), host.capacity(), is_aggregator, &capacities);
    let mut groups = Vec::new();
    for (aggregator, count) in aggregators.into_iter().zip(counts) {
        let shards: Vec<usize> = ungrouped.by_ref().take(count).collect();
        if !shards.is_empty() {
            groups.push(ShardGroup { aggregator, shards });
        }
    }
    groups
}

/// Distributes the shards that have no healthy searcher in this host's zone among the aggregators of
/// the zones that have one for most of them.
/// Groups of less than [`MIN_GROUP_SHARDS`] shards are not formed.
fn other_zone_groups(
    host: &Host,
    request: &RoutedRequest,
    gather: &Gather,
    now: Instant,
) -> Vec<ShardGroup> {
    let mut remote_shards: BTreeMap<usize, Vec<ZoneId>> = BTreeMap::new();
    for (index, shard) in gather.shards.iter().enumerate() {
        let zones = host.fleet.service(shard).healthy_zones();
        if !zones.contains(&host.settings.zone) {
            remote_shards.insert(index, zones);
        }
    }
    let mut groups = Vec::new();
    while remote_shards.len() >= MIN_GROUP_SHARDS {
        let mut counts: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        for zone in remote_shards.values().flatten() {
            *counts.entry(zone).or_default() += 1;
        }
        let max_count = counts.values().copied().max().unwrap_or_default();
        if max_count < MIN_GROUP_SHARDS {
            break;
        }
        let best_zones = counts.iter().filter(|(_, count)| **count == max_count);
        let aggregators: Vec<(ZoneId, Aggregator)> = best_zones
            .flat_map(|(zone, _)| {
                let in_zone = host.peers.aggregators_of(zone).into_iter();
                in_zone.map(|aggregator| ((*zone).clone(), aggregator))
            })
            .collect();
        let added = distribute_among(host, request, &mut remote_shards, aggregators, now);
        if added.is_empty() {
            break;
        }
        groups.extend(added);
    }
    groups
}

/// Takes shards out of `remote_shards`, each with the zones of its healthy searchers, and groups
/// them by some of the aggregators so that the last part arrives as early as possible.
fn distribute_among(
    host: &Host,
    request: &RoutedRequest,
    remote_shards: &mut BTreeMap<usize, Vec<ZoneId>>,
    aggregators: Vec<(ZoneId, Aggregator)>,
    now: Instant,
) -> Vec<ShardGroup> {
    let hosts: Vec<Aggregator> = aggregators.iter().map(|(_, host)| host.clone()).collect();
    let capacities = host.relays.usable_capacities(&hosts, &request.route, now);
    if capacities.iter().all(|capacity| *capacity == 0) {
        return Vec::new();
    }
    let in_any = |zones: &&Vec<ZoneId>| aggregators.iter().any(|(zone, _)| zones.contains(zone));
    let count = remote_shards.values().filter(in_any).count();
    let counts = distribute_shards(count, host.capacity(), false, &capacities);
    let mut groups = Vec::new();
    for ((zone, aggregator), count) in aggregators.into_iter().zip(counts) {
        let in_zone = remote_shards.iter().filter(|(_, zones)| zones.contains(&zone));
        let shards: Vec<usize> = in_zone.map(|(index, _)| *index).take(count).collect();
        if !shards.is_empty() {
            remote_shards.retain(|index, _| !shards.contains(index));
            groups.push(ShardGroup { aggregator, shards });
        }
    }
    groups
}

impl ShardGroup {
    /// Returns when the aggregator is overdue, so that its shards are queried directly.
    pub fn overdue_at(
        &self,
        host: &Host,
        route: &Route,
        objective: Instant,
        now: Instant,
    ) -> Instant {
        // An aggregator that answered recently is working. If it is late, its searchers are slow,
        // and querying them a second time would not help.
        if host.relays.answered_since(&self.aggregator, now.checked_sub(RESPONSIVE_WINDOW)) {
            return objective;
        }
        let fraction =
            objective.saturating_duration_since(now).mul_f64(AGGREGATOR_TIMEOUT_FRACTION);
        let searcher_latency = host.latency_estimate(route).overdue_after();
        let capacity = self.aggregator.capacity;
        let expected = expected_group_time(self.shards.len(), capacity, searcher_latency);
        let late = expected * LATE_FACTOR + AGGREGATOR_REPLY_TIME;
        (now + fraction.max(late)).min(objective)
    }

    /// Builds the query to the aggregator. `allowed` has the searchers that may be tried for each
    /// shard of the whole query.
    pub fn query(
        &self,
        request: &RoutedRequest,
        gather: &Gather,
        allowed: &[Vec<SearcherId>],
        min_parts: usize,
        objective: Instant,
        now: Instant,
    ) -> GroupQuery {
        let inbound = &request.inbound;
        let header = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
            (name.as_str().to_owned(), value.as_bytes().to_vec())
        };
        let shard = |index: usize| GroupShard {
            service: gather.shards[index].clone(),
            allowed: allowed[index].clone(),
        };
        GroupQuery {
            request_id: inbound.id.clone(),
            host: inbound.host.clone(),
            method: inbound.method.as_str().to_owned(),
            path: inbound.uri.to_string(),
            headers: inbound.headers.iter().map(header).collect(),
            body: inbound.body.to_vec(),
            route: request.route.name.clone(),
            rank: request.route.rank,
            max_attempts: request.route.max_attempts,
            target_latency: request.route.target_latency,
            shards: self.shards.iter().map(|index| shard(*index)).collect(),
            min_parts,
            top_records: gather.top_records,
            answer_within: answer_within(objective.saturating_duration_since(now)),
            time_left: request.deadline.saturating_duration_since(now),
            admission: None,
        }
    }
}

/// Returns how long an aggregator may wait for its shards if `time_left` is left until the
/// objective: all but the time that its reply needs, and at least half.
fn answer_within(time_left: Duration) -> Duration {
    time_left.saturating_sub(AGGREGATOR_REPLY_TIME).max(time_left / 2)
}

/// Answers, as an aggregator, another host's query over a group of shards. Returns `None` if the
/// request cannot be decoded or this host has no configuration.
pub async fn answer_group(host: &Arc<Host>, query: GroupQuery) -> Option<GroupReply> {
    let arrived_at = now();
    let inbound = CallerRequest::from_parts(
        query.request_id,
        query.host,
        &query.method,
        &query.path,
        &query.headers,
        query.body,
    )?;
    let (shards, allowed) = query.shards.into_iter().map(|s| (s.service, s.allowed)).unzip();
    // The requesting host checks the coverage floor; here `min_parts` and the wait policy take its
    // place.
    let gather = Gather { shards, top_records: query.top_records, min_coverage: 0.0 };
    let route = Route {
        name: query.route,
        host: inbound.host.clone(),
        prefix: String::new(),
        idempotent: true,
        timeout: query.time_left,
        target_latency: query.target_latency,
        rank: query.rank,
        max_attempts: query.max_attempts,
        target: Target::Gather(gather.clone()),
    };
    let mut request = RoutedRequest::new(inbound, Arc::new(route), host.config()?, arrived_at);
    request.crash_suspect = request.quarantine_status(host, arrived_at) != QuarantineStatus::Clear;
    request.index = query.admission.as_ref().map(|admission| admission.searchers.clone());
    if let Some(group) = &query.admission
        && !admission::accepts_group(host, &request, group, gather.shards.len(), arrived_at)
    {
        let shares = admission::report(host, request.index.as_ref(), arrived_at);
        return Some(GroupReply { result: GroupResult::NotAdmitted, shares });
    }
    let overhead = answer_processing_time(host.capacity(), gather.shards.len(), 0);
    let wait_policy = WaitPolicy::new(arrived_at, query.answer_within, overhead, request.deadline);
    request.objective = wait_policy.objective();
    let request = Arc::new(request);
    request.record_demand(host, &gather.shards, arrived_at);
    let mut scatter_gather = ScatterGather::new(host, &request, &gather, allowed, None);
    scatter_gather.query_directly(query.min_parts, wait_policy.objective());
    // The requesting host can use any parts that arrive in time, since it also queries other
    // shards. With less than half of this group it is assumed to miss its coverage floor, so
    // waiting for more is worthwhile.
    let half = gather.shards.len().div_ceil(2);
    // While capacity is insufficient, missing shards are not asked again, so that parts below the
    // floor are of no use.
    let searchers = request.index.as_ref();
    let floor = match searchers.is_some_and(|index| admission::is_limited(host, index, arrived_at))
    {
        true => half.max(query.min_parts),
        false => half,
    };
    scatter_gather.collect(&wait_policy, floor).await;
    let shares = admission::report(host, request.index.as_ref(), now());
    Some(GroupReply { result: GroupResult::Merged(scatter_gather.finish_group()), shares })
}
