//! Which shards a query asks while some of them cannot answer in time.

use std::time::Duration;

/// Part of the time to the objective that a shard's expected latency may take up.
const USABLE_PART: f64 = 0.8;

/// Share of the queries that ask a shard although it is too slow and could be left out, so that its
/// recovery is noticed.
const EXPLORED: f64 = 0.2;

/// How far apart the draws of two shards of like speed may lie. Queries that need some of several
/// slow shards spread over them.
const SPREAD: f64 = 1.0;

/// Decides which shards are asked.
///
/// A shard whose searchers are overloaded answers nobody in time while every query asks it. A query
/// that its floor allows to go without the shard leaves it out, which frees the shard for queries
/// that cannot. `expected` has the latency of each shard's best searcher in seconds, or `None` if no
/// searcher can be asked; `draws` has a random number from 0.0 to 1.0 for each shard.
pub fn select_shards(
    expected: &[Option<f64>],
    draws: &[f64],
    min_parts: usize,
    time: Duration,
) -> Vec<bool> {
    let usable = time.as_secs_f64() * USABLE_PART;
    let in_time = |latency: &Option<f64>| latency.is_some_and(|latency| latency <= usable);
    let mut asked: Vec<bool> = expected.iter().map(in_time).collect();
    let sure = asked.iter().filter(|asked| **asked).count();
    let mut slow: Vec<(f64, usize)> = expected
        .iter()
        .enumerate()
        .filter(|(index, _)| !asked[*index])
        .filter_map(|(index, latency)| {
            Some((latency.as_ref()? * (1.0 + SPREAD * draws[index]), index))
        })
        .collect();
    slow.sort_by(|a, b| a.0.total_cmp(&b.0));
    let needed = min_parts.saturating_sub(sure);
    for (place, (_, index)) in slow.into_iter().enumerate() {
        asked[index] = place < needed || draws[index] < EXPLORED;
    }
    asked
}
