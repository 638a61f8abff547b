use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use super::*;
use crate::ids::Capacity;
use crate::ids::HostId;

const MS: Duration = Duration::from_millis(1);

quickcheck! {
    fn the_largest_records_of_all_parts_are_returned_in_descending_order(
        parts: Vec<Vec<u8>>,
        limit: u8
    ) -> bool {
        let limit = usize::from(limit % 60);
        let mut top = TopRecords::new(limit);
        let mut all: Vec<[u8; 16]> = Vec::new();
        for part in &parts {
            top.add(part);
            all.extend(part.chunks_exact(16).map(|record| <[u8; 16]>::try_from(record).unwrap()));
        }
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.truncate(limit);
        top.finish() == all.concat()
    }
}

#[test]
fn equal_records_are_all_kept() {
    let mut top = TopRecords::new(3);
    top.add(&[7; 32]);
    top.add(&[7; 20]);
    assert_eq!(top.finish(), vec![7; 48]);
}

#[test]
fn an_answer_that_meets_its_floor_is_sent_just_before_the_objective() {
    let arrived = Instant::now();
    let deadline = arrived + 1_000 * MS;
    let policy = WaitPolicy::new(arrived, 80 * MS, 10 * MS, deadline);
    assert_eq!(policy.decide(19, 18, arrived + 20 * MS), WaitDecision::Until(arrived + 70 * MS));
    assert_eq!(policy.decide(19, 18, arrived + 71 * MS), WaitDecision::Answer);
}

#[test]
fn an_answer_below_its_floor_waits_for_it_and_then_at_most_until_twice_the_objective() {
    let arrived = Instant::now();
    let deadline = arrived + 1_000 * MS;
    let policy = WaitPolicy::new(arrived, 80 * MS, 10 * MS, deadline);
    assert_eq!(policy.decide(10, 18, arrived + 71 * MS), WaitDecision::Until(deadline));
    assert_eq!(policy.decide(18, 18, arrived + 120 * MS), WaitDecision::Until(arrived + 160 * MS));
    assert_eq!(policy.decide(18, 18, arrived + 160 * MS), WaitDecision::Answer);
    assert_eq!(policy.decide(17, 18, deadline), WaitDecision::GiveUp);
    assert_eq!(policy.decide(18, 18, deadline), WaitDecision::Answer);
}

#[test]
fn all_shards_are_asked_while_all_are_fast_enough() {
    let expected = [Some(0.01); 4];
    assert_eq!(select_shards(&expected, &[0.9; 4], 3, 60 * MS), [true; 4]);
}

#[test]
fn an_overloaded_shard_is_left_out_by_queries_that_meet_their_floor_without_it() {
    let expected = [Some(0.01), Some(0.01), Some(0.3), Some(0.2), None];
    let asked = select_shards(&expected, &[0.9; 5], 2, 60 * MS);
    assert_eq!(asked, [true, true, false, false, false]);
    let asked = select_shards(&expected, &[0.9; 5], 3, 60 * MS);
    assert_eq!(asked, [true, true, false, true, false]);
    let explored = select_shards(&expected, &[0.9, 0.9, 0.1, 0.9, 0.1], 2, 60 * MS);
    assert_eq!(explored, [true, true, true, false, false]);
}

#[test]
fn queries_that_need_some_of_several_slow_shards_spread_over_them() {
    // Five of 20 shards are overloaded and each query needs three of them. Evenly spread, each slow
    // shard receives three fifths of the queries.
    let mut expected = [Some(0.01); 20];
    expected[..5].fill(Some(0.3));
    let mut counts = [0_u32; 20];
    let mut state = 1_u64;
    for _ in 0..1_000 {
        let mut draws = [0.0; 20];
        for draw in &mut draws {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            *draw = (state >> 33) as f64 / f64::from(1_u32 << 31);
        }
        let asked = select_shards(&expected, &draws, 18, 60 * MS);
        assert!(asked.iter().filter(|asked| **asked).count() >= 18);
        asked.iter().zip(&mut counts).for_each(|(asked, count)| *count += u32::from(*asked));
    }
    assert!(counts[..5].iter().all(|count| (500..=700).contains(count)), "{counts:?}");
}

/// Returns the hosts of one zone of a large deployment: two with half a core and 24 with about an
/// eighth of a core.
fn zone() -> Vec<(HostId, Capacity)> {
    let capacity = |i: u32| if i % 13 == 5 { 500 } else { 120 };
    (0..26).map(|i| (format!("h{i:02}").into(), capacity(i))).collect()
}

#[test]
fn a_host_that_knows_only_the_aggregators_of_a_zone_selects_the_same_ones() {
    for capacity in [60, 120, 250, 500, 2_000] {
        let hosts = zone().into_iter().map(|(host, own)| (host, own.max(capacity)));
        let aggregators = select_aggregators(hosts.clone().collect());
        let known = hosts.filter(|(host, _)| aggregators.contains(host)).collect();
        assert_eq!(select_aggregators(known), aggregators);
    }
}

#[test]
fn the_hosts_with_the_highest_capacity_become_aggregators() {
    let aggregators = select_aggregators(zone());
    assert_eq!(
        aggregators.iter().map(|host| &**host).collect::<Vec<_>>(),
        ["h05", "h18", "h00", "h01"]
    );
    let equal_hosts = zone().into_iter().map(|(host, _)| (host, 120)).collect();
    assert_eq!(select_aggregators(equal_hosts).len(), 9);
    assert_eq!(select_aggregators(zone().into_iter().take(2).collect()).len(), 2);
}

#[test]
fn a_small_host_delegates_a_wide_query_to_the_large_aggregators_or_else_spreads_it() {
    assert_eq!(distribute_shards(90, 120, false, &[500, 120, 500, 120]), [45, 0, 45, 0]);
    assert_eq!(distribute_shards(90, 500, true, &[500, 120, 120]).iter().sum::<usize>(), 55);
    let shares = distribute_shards(90, 120, false, &[120; 7]);
    assert_eq!(shares.iter().sum::<usize>(), 90);
    assert!(shares.iter().filter(|share| **share > 0).count() >= 4, "{shares:?}");
    assert_eq!(distribute_shards(90, 120, false, &[]), [0; 0]);
    assert_eq!(distribute_shards(2, 120, false, &[500, 500]), [2, 0]);
}

quickcheck! {
    fn no_shard_is_distributed_twice(
        shards: u8,
        own: u16,
        is_aggregator: bool,
        others: Vec<u16>
    ) -> bool {
        let others: Vec<Capacity> = others.into_iter().map(Capacity::from).collect();
        let shards = usize::from(shards);
        let shares = distribute_shards(shards, u32::from(own) + 1, is_aggregator, &others);
        let distributed: usize = shares.iter().sum();
        let any_usable = others.iter().any(|capacity| *capacity > 0);
        distributed <= shards && (is_aggregator || !any_usable || distributed == shards)
    }
}

#[test]
fn a_query_is_refused_until_enough_shards_take_requests_again() {
    let now = Instant::now();
    let closed = |ms: u32| ShardAccess::ClosedUntil(now + ms * MS);
    let shards = [closed(30), ShardAccess::Open, closed(10), closed(20), ShardAccess::Open];
    assert_eq!(refuse_until(shards, 2), None);
    assert_eq!(refuse_until(shards, 3), Some(now + 10 * MS));
    assert_eq!(refuse_until(shards, 5), Some(now + 30 * MS));
    assert_eq!(refuse_until([], 0), None);
}
