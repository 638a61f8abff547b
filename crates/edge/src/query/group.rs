//! Groups of shards whose searchers are in another availability zone, asked through a host there.
//!
//! One merged answer crosses between the zones instead of one part a shard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_adapter::caller::CallerRequest;
use galenaloft_policy::gathering::MIN_GROUP_SHARDS;
use galenaloft_policy::gathering::WaitPolicy;
use galenaloft_policy::gathering::answer_processing_time;
use galenaloft_policy::gathering::distribute_shards;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::route::Gather;
use galenaloft_policy::route::Route;
use galenaloft_policy::route::Target;
use galenaloft_runtime::clock::now;

use crate::host::Host;
use crate::peers::GroupQuery;
use crate::peers::GroupReply;
use crate::peers::GroupShard;
use crate::peers::Relay;
use crate::query::RoutedRequest;
use crate::query::gather::Gathering;

/// Time that a peer's answer needs: 3 ms between zones both ways, and to be read on a small host.
const WAY_BACK: Duration = Duration::from_micros(4_500);

/// Part of the time to the objective after which a peer that has not answered is passed over.
const PATIENCE_PART: f64 = 0.45;

/// A peer whose last answer is no older than this is alive.
const RECENTLY: Duration = Duration::from_secs(2);

/// Shards that are asked through one peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The peer.
    pub relay: Relay,
    /// Index of each shard in the query.
    pub shards: Vec<usize>,
}

/// Groups the shards that are not asked directly: those without a sound searcher in the own zone,
/// and in a large fleet those that other hosts of the zone gather.
pub fn group_shards(
    host: &Host,
    request: &RoutedRequest,
    gather: &Gather,
    now: Instant,
) -> Vec<Group> {
    let mut groups = match host.is_cut_off() {
        true => Vec::new(),
        false => other_zones(host, request, gather, now),
    };
    let share = gather.shards.first().map(|shard| request.connection_share(shard, host.sharers()));
    if share.is_some_and(|share| share.uses_aggregators()) {
        let taken: Vec<usize> = groups.iter().flat_map(|group| &group.shards).copied().collect();
        groups.extend(own_zone(host, request, gather, &taken, now));
    }
    groups
}

/// Shares the shards of the own zone out among the hosts that gather there.
fn own_zone(
    host: &Host,
    request: &RoutedRequest,
    gather: &Gather,
    taken: &[usize],
    now: Instant,
) -> Vec<Group> {
    let rest = (0..gather.shards.len()).filter(|index| !taken.contains(index));
    let mut rest = rest.collect::<Vec<usize>>().into_iter();
    let gatherers = host.peers.aggregators_of(&host.settings.zone);
    let capacities = host.relays.usable_capacities(&gatherers, &request.route, now);
    let gathers = host.sharers().is_aggregator;
    let shares = distribute_shards(rest.len(), host.capacity(), gathers, &capacities);
    let mut groups = Vec::new();
    for (gatherer, share) in gatherers.into_iter().zip(shares) {
        let shards: Vec<usize> = rest.by_ref().take(share).collect();
        if !shards.is_empty() {
            groups.push(Group { relay: gatherer.into(), shards });
        }
    }
    groups
}

/// Groups the shards that have no sound searcher in the own zone by a zone that has.
fn other_zones(host: &Host, request: &RoutedRequest, gather: &Gather, now: Instant) -> Vec<Group> {
    let mut remote: BTreeMap<usize, Vec<ZoneId>> = BTreeMap::new();
    for (index, shard) in gather.shards.iter().enumerate() {
        let zones = host.fleet.service(shard).healthy_zones();
        if !zones.contains(&host.settings.zone) {
            remote.insert(index, zones);
        }
    }
    let mut groups = Vec::new();
    while remote.len() >= MIN_GROUP_SHARDS {
        let mut counts: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        for zone in remote.values().flatten() {
            *counts.entry(zone).or_default() += 1;
        }
        let most = counts.values().copied().max().unwrap_or_default();
        if most < MIN_GROUP_SHARDS {
            break;
        }
        let best = counts.iter().filter(|(_, count)| **count == most);
        let zones: Vec<ZoneId> = best.map(|(zone, _)| (*zone).clone()).collect();
        let prior = host.latency_estimate(&request.route).median();
        let there = zones.iter().flat_map(|zone| host.peers.aggregators_of(zone));
        let there = there.map(|gatherer| (gatherer.host, gatherer.address));
        let Some(relay) = host.relays.choose(there, &request.route, prior, now) else {
            break;
        };
        let Some(zone) = host.peers.zone_of(relay.name()) else {
            break;
        };
        let there =
            |(index, zones): (&usize, &Vec<ZoneId>)| zones.contains(&zone).then_some(*index);
        let shards: Vec<usize> = remote.iter().filter_map(there).collect();
        shards.iter().for_each(|index| drop(remote.remove(index)));
        groups.push(Group { relay, shards });
    }
    groups
}

impl Group {
    /// Returns when the peer is overdue.
    pub fn overdue_at(&self, host: &Host, objective: Instant, now: Instant) -> Instant {
        // A peer that answers others waits for its own slow searchers: asking them twice is no help.
        if host.relays.answered_since(&self.relay, now.checked_sub(RECENTLY)) {
            return objective;
        }
        now + objective.saturating_duration_since(now).mul_f64(PATIENCE_PART)
    }

    /// Builds the query for the peer.
    pub fn query(
        &self,
        request: &RoutedRequest,
        gather: &Gather,
        allowed: &[Vec<SearcherId>],
        min_parts: usize,
        objective: Instant,
        now: Instant,
    ) -> GroupQuery {
        let call = &request.inbound;
        let header = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
            (name.as_str().to_owned(), value.as_bytes().to_vec())
        };
        let shard = |index: usize| GroupShard {
            service: gather.shards[index].clone(),
            allowed: allowed[index].clone(),
        };
        GroupQuery {
            request_id: call.id.clone(),
            method: call.method.as_str().to_owned(),
            path: call.uri.to_string(),
            headers: call.headers.iter().map(header).collect(),
            body: call.body.to_vec(),
            route: request.route.name.clone(),
            rank: request.route.rank,
            max_attempts: request.route.max_attempts,
            target_latency: request.route.target_latency,
            shards: self.shards.iter().map(|index| shard(*index)).collect(),
            min_parts,
            top_records: gather.top_records,
            answer_within: answer_within(objective.saturating_duration_since(now)),
            time_left: request.deadline.saturating_duration_since(now),
        }
    }
}

/// Returns how much of the time to the objective a peer has for its part.
fn answer_within(time: Duration) -> Duration {
    time.saturating_sub(WAY_BACK).max(time / 2)
}

/// Answers a query of a peer on the shards that it names.
pub async fn answer_group(host: &Arc<Host>, query: GroupQuery) -> Option<GroupReply> {
    let arrived = now();
    let call = CallerRequest::from_parts(
        query.request_id,
        &query.method,
        &query.path,
        &query.headers,
        query.body,
    )?;
    let (shards, allowed) = query.shards.into_iter().map(|s| (s.service, s.allowed)).unzip();
    let gather = Gather { shards, top_records: query.top_records, min_coverage: 0.0 };
    let route = Route {
        name: query.route,
        host: call.host.clone(),
        prefix: String::new(),
        idempotent: true,
        timeout: query.time_left,
        target_latency: query.target_latency,
        rank: query.rank,
        max_attempts: query.max_attempts,
        target: Target::Gather(gather.clone()),
    };
    let request = Arc::new(RoutedRequest::new(call, Arc::new(route), host.config()?, arrived));
    let writing = answer_processing_time(host.capacity(), gather.shards.len(), 0);
    let patience = WaitPolicy::new(arrived, query.answer_within, writing, request.deadline);
    let mut gathering = Gathering::new(host, &request, &gather, allowed);
    gathering.ask_directly(query.min_parts, patience.objective());
    // What is there in time is of use to the peer, which has other shards besides. With less than
    // half of them its floor is out of reach, and the rest is worth the wait.
    gathering.collect(&patience, gather.shards.len().div_ceil(2)).await;
    (gathering.parts() > 0).then(|| gathering.finish_group())
}
