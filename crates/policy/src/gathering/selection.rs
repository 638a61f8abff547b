//! Selection of the shards that a query asks while some of them are too slow.

use std::time::Duration;

/// Largest share of the time until the objective that the expected latency of a shard may take for
/// the shard to count as fast enough.
const MAX_SHARE_OF_TIME: f64 = 0.8;

/// Share of the queries that ask a slow shard which they could leave out, so that its recovery is
/// noticed.
const EXPLORATION_SHARE: f64 = 0.2;

/// Largest random increase of a slow shard's expected latency, relative to that latency, when slow
/// shards are ordered. It spreads queries that need some of several similarly slow shards over
/// them.
const RANDOM_SPREAD: f64 = 1.0;

/// Decides which shards a query asks.
///
/// A shard whose searchers are overloaded answers no query in time as long as every query asks it.
/// A query that can meet its floor without the shard leaves it out, so that the shard has capacity
/// for queries that need it.
///
/// `expected` contains the expected latency of the best searcher of each shard, in seconds, or
/// `None` if no searcher of the shard can be asked. `draws` contains a random number from 0.0 to
/// 1.0 for each shard. `min_parts` is the floor and `time` the time left until the objective.
pub fn select_shards(
    expected: &[Option<f64>],
    draws: &[f64],
    min_parts: usize,
    time: Duration,
) -> Vec<bool> {
    let max_latency = time.as_secs_f64() * MAX_SHARE_OF_TIME;
    let is_fast = |latency: &Option<f64>| latency.is_some_and(|latency| latency <= max_latency);
    let mut asked: Vec<bool> = expected.iter().map(is_fast).collect();
    let fast_count = asked.iter().filter(|asked| **asked).count();
    let mut slow: Vec<(f64, usize)> = expected
        .iter()
        .enumerate()
        .filter(|(index, _)| !asked[*index])
        .filter_map(|(index, latency)| {
            Some((latency.as_ref()? * (1.0 + RANDOM_SPREAD * draws[index]), index))
        })
        .collect();
    slow.sort_by(|a, b| a.0.total_cmp(&b.0));
    let needed_slow = min_parts.saturating_sub(fast_count);
    for (position, (_, index)) in slow.into_iter().enumerate() {
        asked[index] = position < needed_slow || draws[index] < EXPLORATION_SHARE;
    }
    asked
}
