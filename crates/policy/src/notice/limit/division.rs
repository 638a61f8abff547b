//! Division of a searcher's limit among the hosts that send it requests.

use std::collections::BTreeMap;

use crate::ids::HostId;
use crate::ids::RequestRate;
use crate::ids::SearcherId;
use crate::ids::ZoneId;
use crate::routing::rank_hosts;

/// Hosts whose demand is below this share of the average are the last to get a part if there are fewer
/// parts than hosts.
const LOW_DEMAND_SHARE: f64 = 0.5;

/// How finely a limit is divided, and what its parts may save up.
#[derive(Debug)]
struct DivisionRule {
    /// Time for which a host may save up its part while it sends nothing, in seconds.
    saving_time: f64,
    /// Number of parts for each request a second. Each host may send one request ahead of its rate, so
    /// that a small limit has to be divided among a few hosts.
    parts_per_rate: f64,
    /// Number of parts into which any limit may be divided.
    min_parts: usize,
}

/// Rule for limits that searchers state, which hold in windows of 4 s.
const STATED: DivisionRule = DivisionRule { saving_time: 0.7, parts_per_rate: 1.0, min_parts: 2 };

/// Rule for searchers that warm up, whose limit holds in each second: in any second hosts may send what
/// they saved up and what accrues, together at most 1.5 times the limit and 5.
const WARMUP: DivisionRule = DivisionRule { saving_time: 0.2, parts_per_rate: 0.4, min_parts: 3 };

/// What one host may send of a searcher's limit.
#[derive(Debug, Default, Clone, Copy)]
pub struct LimitPart {
    /// Requests a second.
    pub rate: RequestRate,
    /// Most requests that may be sent at once.
    pub burst: f64,
}

/// Hosts that divide the limits of searchers, as seen from one host.
#[derive(Debug)]
pub struct LimitSharers {
    /// This host.
    pub own: HostId,
    /// Zone of this host.
    pub own_zone: ZoneId,
    /// Hosts that report their demand to this one, and this host.
    pub hosts: Vec<HostId>,
    /// Other zones, which report the sum of their hosts' demand. None if every host reports to every
    /// other one.
    pub other_zones: Vec<ZoneId>,
}

/// Demand of each host or zone that has reported it lately.
pub type Demands = BTreeMap<HostId, RequestRate>;

/// Returns this host's part of the limit that a searcher has stated.
pub fn divide_limit(
    limit: RequestRate,
    searcher: &SearcherId,
    sharers: &LimitSharers,
    hosts: &Demands,
    zones: &Demands,
) -> LimitPart {
    STATED.divide(limit, searcher, sharers, hosts, zones)
}

/// Returns this host's part of what a searcher takes while it warms up.
pub fn divide_warmup_limit(
    limit: RequestRate,
    searcher: &SearcherId,
    sharers: &LimitSharers,
    hosts: &Demands,
    zones: &Demands,
) -> LimitPart {
    WARMUP.divide(limit, searcher, sharers, hosts, zones)
}

impl DivisionRule {
    /// Returns this host's part of the limit of a searcher.
    ///
    /// If zones report sums, the limit is first divided among the zones. Sharers that have reported
    /// nothing lately keep an equal part each. The rest is divided among the others in proportion to their
    /// demand or, if it is larger than that, so that each gets what it demands and an equal part of what is
    /// left.
    fn divide(
        &self,
        limit: RequestRate,
        searcher: &SearcherId,
        sharers: &LimitSharers,
        hosts: &Demands,
        zones: &Demands,
    ) -> LimitPart {
        let mut zone_limit = Some(limit);
        let mut min_hosts = self.min_parts;
        if !sharers.other_zones.is_empty() {
            let known = sharers.hosts.iter().filter_map(|host| hosts.get(host));
            let mut zones: Demands = zones.clone();
            zones.insert(sharers.own_zone.clone(), known.sum());
            let all = sharers.other_zones.iter().chain([&sharers.own_zone]);
            zone_limit =
                self.part_of(&sharers.own_zone, limit, self.min_parts, searcher, all, &zones);
            // The zones are parts already.
            min_hosts = 1;
        }
        let host_rate = |zone_limit| {
            self.part_of(&sharers.own, zone_limit, min_hosts, searcher, &sharers.hosts, hosts)
        };
        match zone_limit.and_then(host_rate) {
            Some(rate) => LimitPart { rate, burst: (rate * self.saving_time).max(1.0) },
            None => LimitPart::default(),
        }
    }

    /// Returns the part of `own` in a limit, or `None` if there are fewer parts than sharers and it gets
    /// none.
    fn part_of<'a>(
        &self,
        own: &HostId,
        limit: RequestRate,
        min_parts: usize,
        searcher: &SearcherId,
        sharers: impl IntoIterator<Item = &'a HostId>,
        demands: &Demands,
    ) -> Option<RequestRate> {
        let mut sharers: Vec<&HostId> = sharers.into_iter().collect();
        let parts = min_parts.saturating_add((limit * self.parts_per_rate) as usize);
        if parts < sharers.len() {
            let known = sharers.iter().filter_map(|sharer| demands.get(*sharer));
            let average = known.clone().sum::<f64>() / known.count().max(1) as f64;
            let has_low_demand = |sharer: &HostId| {
                demands.get(sharer).is_some_and(|d| *d < average * LOW_DEMAND_SHARE)
            };
            sharers = rank_hosts(searcher, sharers);
            sharers.sort_by_key(|sharer| has_low_demand(sharer));
            sharers.truncate(parts);
        }
        if !sharers.contains(&own) {
            return None;
        }
        let equal_part = limit / sharers.len() as f64;
        let known: Vec<RequestRate> =
            sharers.iter().filter_map(|sharer| demands.get(*sharer).copied()).collect();
        let (available, total) = (equal_part * known.len() as f64, known.iter().sum::<f64>());
        Some(match demands.get(own) {
            None => equal_part,
            Some(demand) if total < available => demand + (available - total) / known.len() as f64,
            Some(demand) if total > 0.0 => available * demand / total,
            Some(_) => 0.0,
        })
    }
}
