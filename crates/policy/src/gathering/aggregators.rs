//! Selection of the aggregators of an availability zone and distribution of a query's shards over
//! them.
//!
//! A wide query takes tens of milliseconds of processor time on a small host. In a large fleet the
//! searchers also accept too few connections for every host to have one. Therefore a few hosts of
//! each zone, those with the highest capacity, hold the connections and query searchers for all
//! other hosts of their zone.

use std::time::Duration;

use crate::ids::Capacity;
use crate::ids::HostId;
use crate::membership::FULL_CORE_CAPACITY;

/// Least capacity that the aggregators of a zone have together, if the zone has that much. A sum,
/// and not a share of the zone, so that a host of another zone that knows only the aggregators
/// selects the same ones.
const MIN_CAPACITY: u64 = FULL_CORE_CAPACITY as u64;

/// Fewest aggregators of a zone, so that after two failures a query is still shared between two.
const MIN_AGGREGATORS: usize = 4;

/// Fewest shards for which a call to another host is worthwhile.
pub const MIN_GROUP_SHARDS: usize = 3;

/// A host queries all shards of a query itself only if that takes at most the time until the
/// objective divided by this.
const MAX_BUSY_DIVISOR: u32 = 4;

/// Processor time for sending a query to another host and reading its reply, on a full core.
const GROUP_QUERY_COST: Duration = Duration::from_micros(250);

/// Processor time for sending a query to one searcher and reading its part, on a full core.
const PART_QUERY_COST: Duration = Duration::from_micros(80);

/// Processor time for writing an answer, on a full core.
const ANSWER_COST: Duration = Duration::from_micros(500);

/// Processor time for merging one part received from a searcher, on a full core.
const MERGE_PART_COST: Duration = Duration::from_micros(25);

/// Processor time for merging the reply of one host, on a full core.
const MERGE_GROUP_COST: Duration = Duration::from_micros(150);

/// Returns the aggregators among the hosts of one zone, in descending order of capacity. The result
/// depends only on the set of hosts, so that hosts with the same member table select the same ones.
pub fn select_aggregators(mut hosts: Vec<(HostId, Capacity)>) -> Vec<HostId> {
    hosts.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    let mut selected_capacity = 0;
    let mut aggregators = Vec::new();
    for (host, capacity) in hosts {
        if aggregators.len() >= MIN_AGGREGATORS && selected_capacity >= MIN_CAPACITY {
            break;
        }
        selected_capacity += u64::from(capacity);
        aggregators.push(host);
    }
    aggregators
}

/// Distributes `shards` shards among the host itself and the other aggregators of its zone so that
/// the last part arrives as early as possible.
///
/// `own` is the host's capacity and `is_aggregator` says whether it queries searchers itself.
/// `aggregators` contains the capacity of each other aggregator, 0 for one that cannot be used.
/// Returns the number of shards for each of them; the host itself queries the remaining shards. A
/// host that is no aggregator queries searchers itself only if no aggregator can be used.
pub fn distribute_shards(
    shards: usize,
    own: Capacity,
    is_aggregator: bool,
    aggregators: &[Capacity],
) -> Vec<usize> {
    let mut by_capacity: Vec<usize> =
        (0..aggregators.len()).filter(|i| aggregators[*i] > 0).collect();
    by_capacity.sort_by_key(|i| std::cmp::Reverse(aggregators[*i]));
    let own_capacity = if is_aggregator || by_capacity.is_empty() { own } else { 0 };
    let expected_time = |count: usize| {
        let others: u64 = by_capacity[..count].iter().map(|i| u64::from(aggregators[*i])).sum();
        let capacity = others + u64::from(own_capacity);
        let calls = scale_to_capacity(GROUP_QUERY_COST, own) * count as u32;
        calls + scale_to_capacity(PART_QUERY_COST * shards as u32, capacity.max(1) as Capacity)
    };
    let min_count = usize::from(own_capacity == 0);
    let count = (min_count..=by_capacity.len())
        .min_by_key(|count| expected_time(*count))
        .unwrap_or_default();
    let chosen = &by_capacity[..count];
    let others: u64 = chosen.iter().map(|i| u64::from(aggregators[*i])).sum();
    let total = others + u64::from(own_capacity);
    let mut counts = vec![0; aggregators.len()];
    let mut remaining = shards;
    for i in chosen {
        let share = (shards as u64 * u64::from(aggregators[*i])).div_ceil(total.max(1)) as usize;
        let share = share.min(remaining);
        if share >= MIN_GROUP_SHARDS.min(shards) {
            counts[*i] = share;
            remaining -= share;
        }
    }
    if let Some(largest) = chosen.first().filter(|_| own_capacity == 0) {
        counts[*largest] += remaining;
    }
    counts
}

/// Returns the time in which an aggregator is expected to answer a group of shards whose searchers
/// take `searcher_latency`.
pub fn expected_group_time(
    shards: usize,
    capacity: Capacity,
    searcher_latency: Duration,
) -> Duration {
    let cost = GROUP_QUERY_COST + PART_QUERY_COST * shards as u32;
    scale_to_capacity(cost, capacity) + searcher_latency
}

/// Returns whether a host queries the shards of a wide query together with other hosts although the
/// searchers accept enough connections: if it alone would be busy for a large part of `time_left`,
/// the time until the objective.
pub fn is_too_wide(shards: usize, own: Capacity, time_left: Duration) -> bool {
    scale_to_capacity(PART_QUERY_COST * shards as u32, own) > time_left / MAX_BUSY_DIVISOR
}

/// Returns the time that a host of capacity `own` needs to merge and write an answer from `parts`
/// parts that searchers sent to it directly and the replies of `groups` other hosts.
pub fn answer_processing_time(own: Capacity, parts: usize, groups: usize) -> Duration {
    let merging = MERGE_PART_COST * parts as u32 + MERGE_GROUP_COST * groups as u32;
    scale_to_capacity(ANSWER_COST + merging, own)
}

/// Converts processor time on a full core to the time that a host of this capacity needs.
fn scale_to_capacity(cost: Duration, capacity: Capacity) -> Duration {
    cost.mul_f64(f64::from(FULL_CORE_CAPACITY) / f64::from(capacity.max(1)))
}
