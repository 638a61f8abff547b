//! Which hosts of an availability zone gather the parts of a query, and how many each.
//!
//! A wide query takes a small host's processor tens of milliseconds. In a large fleet the searchers
//! also accept too few connections for every host. A few hosts of each zone, the most capable ones
//! first, therefore hold the connections and gather for all others of their zone.

use std::time::Duration;

use crate::ids::Capacity;
use crate::ids::HostId;
use crate::membership::FULL_CORE_CAPACITY;

/// Part of a zone's capacity that its gatherers have together at least.
const POOL_PART: f64 = 0.25;

/// Fewest gatherers of a zone: two may fail and the rest still share a query.
const MIN_POOL: usize = 4;

/// Fewest shards that are worth a call to another host.
pub const MIN_GROUP_SHARDS: usize = 3;

/// Processor time to ask another host and to read its reply.
const GROUP_COST: Duration = Duration::from_micros(250);

/// Processor time to ask one searcher and to read its part.
const PART_COST: Duration = Duration::from_micros(80);

/// Processor time to write an answer.
const ANSWER_COST: Duration = Duration::from_micros(500);

/// Processor time to merge one part that a searcher sent.
const MERGE_PART_COST: Duration = Duration::from_micros(25);

/// Processor time to merge the reply of one host.
const MERGE_GROUP_COST: Duration = Duration::from_micros(150);

/// Returns the gatherers among the hosts of one zone, the most capable first. All hosts of the zone
/// that know the same members choose the same ones.
pub fn select_aggregators(mut hosts: Vec<(HostId, Capacity)>) -> Vec<HostId> {
    hosts.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    let all: u64 = hosts.iter().map(|(_, capacity)| u64::from(*capacity)).sum();
    let wanted = all as f64 * POOL_PART;
    let mut taken = 0.0;
    let mut pool = Vec::new();
    for (host, capacity) in hosts {
        if pool.len() >= MIN_POOL && taken >= wanted {
            break;
        }
        taken += f64::from(capacity);
        pool.push(host);
    }
    pool
}

/// Shares `shards` out among the host itself and others so that the last part is in soonest.
///
/// `own` is the host's capacity, `gathers` whether it may ask searchers, `others` the capacity of
/// each other gatherer. Returns how many shards each of the others takes; the rest is the host's.
pub fn distribute_shards(
    shards: usize,
    own: Capacity,
    gathers: bool,
    others: &[Capacity],
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..others.len()).filter(|i| others[*i] > 0).collect();
    order.sort_by_key(|i| std::cmp::Reverse(others[*i]));
    let own_part = if gathers || order.is_empty() { own } else { 0 };
    let time = |count: usize| {
        let helpers: u64 = order[..count].iter().map(|i| u64::from(others[*i])).sum();
        let capacity = helpers + u64::from(own_part);
        let calls = on_capacity(GROUP_COST, own) * count as u32;
        calls + on_capacity(PART_COST * shards as u32, capacity.max(1) as Capacity)
    };
    let fewest = usize::from(own_part == 0);
    let count = (fewest..=order.len()).min_by_key(|count| time(*count)).unwrap_or_default();
    let chosen = &order[..count];
    let helpers: u64 = chosen.iter().map(|i| u64::from(others[*i])).sum();
    let all = helpers + u64::from(own_part);
    let mut shares = vec![0; others.len()];
    let mut left = shards;
    for i in chosen {
        let share = (shards as u64 * u64::from(others[*i])).div_ceil(all.max(1)) as usize;
        let share = share.min(left);
        if share >= MIN_GROUP_SHARDS.min(shards) {
            shares[*i] = share;
            left -= share;
        }
    }
    if let Some(first) = chosen.first().filter(|_| own_part == 0) {
        shares[*first] += left;
    }
    shares
}

/// Returns the time that a host needs to merge and write an answer.
pub fn answer_processing_time(own: Capacity, direct: usize, groups: usize) -> Duration {
    let parts = MERGE_PART_COST * direct as u32 + MERGE_GROUP_COST * groups as u32;
    on_capacity(ANSWER_COST + parts, own)
}

fn on_capacity(cost: Duration, capacity: Capacity) -> Duration {
    cost.mul_f64(f64::from(FULL_CORE_CAPACITY) / f64::from(capacity.max(1)))
}
