use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use super::*;
use crate::ids::HostId;
use crate::ids::SearcherId;

fn hosts(count: u8) -> Vec<HostId> {
    (0..count).map(|i| format!("h{i}").into()).collect()
}

quickcheck! {
    fn losing_a_host_moves_only_the_searchers_it_owned(count: u8, lost: u8, searcher: u16) -> bool {
        let hosts = hosts(count % 30 + 2);
        let lost = &hosts[usize::from(lost) % hosts.len()];
        let item = format!("s-{searcher}");
        let ranked = rank_hosts(&item, &hosts);
        let after = owner_of(&item, hosts.iter().filter(|h| *h != lost)).unwrap();
        let expected = if ranked[0] == lost { ranked[1] } else { ranked[0] };
        owner_of(&item, &hosts) == Some(ranked[0]) && after == expected
    }

    fn extra_requests_stay_within_the_limit_in_every_window(
        steps: Vec<(u16, bool)>,
        hosts: u8
    ) -> bool {
        let limit = ExtraRequestLimit { ratio: 0.2, slack: 54.0, window: Duration::from_secs(10) };
        let share = ExtraRequestShare { limit, hosts: usize::from(hosts % 40) + 1 };
        let start = Instant::now();
        let mut budget = ExtraRequestBudget::default();
        let mut first: Vec<Instant> = Vec::new();
        let mut extra: Vec<Instant> = Vec::new();
        let mut now = start;
        for (pause, wants_extra) in steps {
            now += Duration::from_millis(u64::from(pause % 1_500));
            budget.record_first(&share, now);
            first.push(now);
            while wants_extra && budget.try_spend(&share, now) {
                extra.push(now);
            }
        }
        extra.iter().all(|end| {
            let in_window = |at: &&Instant| **at <= *end && *end - **at < limit.window;
            // The counts also cover one step before the window.
            let counted = |at: &&Instant| **at <= *end && *end - **at < limit.window.mul_f64(1.1);
            let slack_share = (limit.slack / share.hosts as f64).max(1.0);
            let earned = limit.ratio * first.iter().filter(counted).count() as f64;
            extra.iter().filter(in_window).count() as f64 <= slack_share + earned
        })
    }

    fn hedges_stay_within_the_budget(attempts: Vec<bool>, percent: u8) -> bool {
        let ratio = f64::from(percent % 20) / 100.0;
        let mut policy = HedgePolicy::new(ratio, Instant::now());
        let mut first = 0.0;
        let mut hedged = 0.0;
        for slow in attempts {
            policy.record_first_attempt();
            first += 1.0;
            if slow && policy.try_spend() {
                hedged += 1.0;
            }
        }
        hedged <= first * ratio + 1e-6
    }
}

#[test]
fn a_failed_or_draining_replica_is_avoided_and_tried_again_later() {
    let now = Instant::now();
    let ids: [SearcherId; 2] = ["s-1".into(), "s-2".into()];
    let replicas = || ids.iter().map(|id| (id, true));
    let mut table = ReplicaTable::default();
    table.record_failed(&ids[0], now);
    assert_eq!(table.choose(replicas(), now), Some(&ids[1]));
    table.record_draining(&ids[1], now);
    assert_eq!(table.choose(replicas(), now), Some(&ids[0]));
    table.record_draining(&ids[0], now);
    assert_eq!(table.choose(replicas(), now), None);
    assert!(table.choose(replicas(), now + Duration::from_secs(31)).is_some());
}

#[test]
fn a_hedge_is_sent_after_the_hedge_quantile() {
    let now = Instant::now();
    let mut policy = HedgePolicy::new(0.05, now);
    assert_eq!(policy.hedge_at(now), None);
    for ms in 1..=100 {
        policy.record_latency(Duration::from_millis(ms), now);
    }
    let wait = policy.hedge_at(now).unwrap() - now;
    assert!(wait > Duration::from_millis(90) && wait < Duration::from_millis(100), "{wait:?}");
}

#[test]
fn a_slow_replica_in_the_own_zone_loses_to_one_in_another_zone_and_is_tried_again_later() {
    let now = Instant::now();
    let ids: [SearcherId; 2] = ["own-zone".into(), "other-zone".into()];
    let replicas = || [(&ids[0], true), (&ids[1], false)];
    let mut table = ReplicaTable::default();
    for _ in 0..20 {
        table.record_sent(&ids[0]);
        table.record_abandoned(&ids[0], Duration::from_millis(10), now);
        table.record_sent(&ids[1]);
        table.record_ran(&ids[1], Duration::from_millis(5), now);
    }
    assert_eq!(table.choose(replicas(), now), Some(&ids[1]));
    let later = now + Duration::from_secs(120);
    assert_eq!(table.choose(replicas(), later), Some(&ids[0]));
}

#[test]
fn only_aggregators_keep_connections_if_there_are_too_few_for_all_hosts() {
    let sharers =
        SharingHosts { all: 8, aggregators: 7, aggregators_in_zone: 3, is_aggregator: false };
    let small_fleet = ConnectionShare::new(26, sharers);
    assert_eq!((small_fleet.limit(true), small_fleet.limit(false)), (3, 3));
    assert!(
        small_fleet.keeps_connections()
            && small_fleet.preconnects(false)
            && !small_fleet.uses_aggregators()
    );
    let sharers =
        SharingHosts { all: 77, aggregators: 12, aggregators_in_zone: 4, is_aggregator: true };
    let large_fleet = ConnectionShare::new(60, sharers);
    assert_eq!((large_fleet.limit(true), large_fleet.limit(false)), (9, 2));
    assert!(
        large_fleet.keeps_connections()
            && large_fleet.preconnects(true)
            && !large_fleet.preconnects(false)
    );
    let total = 4 * large_fleet.limit(true) + 8 * large_fleet.limit(false);
    assert!(total <= 60, "{total}");
    let not_aggregator = ConnectionShare::new(60, SharingHosts { is_aggregator: false, ..sharers });
    assert_eq!((not_aggregator.limit(true), not_aggregator.limit(false)), (1, 1));
    assert!(
        !not_aggregator.keeps_connections()
            && !not_aggregator.preconnects(true)
            && not_aggregator.uses_aggregators()
    );
}

#[test]
fn a_searcher_that_left_an_attempt_unanswered_is_less_preferred_for_a_second() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let route = "sweep".into();
    let view =
        ReplicaView { route: &route, prior: 0.005, objective: ms(80), local: true, slots: 2 };
    let mut stalled = SearcherHealth::default();
    let mut healthy = SearcherHealth::default();
    for health in [&mut stalled, &mut healthy] {
        (0..5).for_each(|_| health.record_answer(&route, ms(5), start));
    }
    stalled.record_sent(start);
    stalled.record_ended(start);
    stalled.record_unanswered(Some(&route), start, start + ms(150));
    let costs_more = |at: Instant| stalled.cost(&view, at) > healthy.cost(&view, at);
    assert!(costs_more(start + ms(200)));
    assert!(!costs_more(start + ms(1_200)));
    stalled.record_answer(&route, ms(5), start + ms(1_250));
    assert!(stalled.cost(&view, start + ms(1_250)) <= healthy.cost(&view, start + ms(1_250)));
}

#[test]
fn the_slack_is_available_again_after_a_window_at_any_load() {
    let limit = ExtraRequestLimit { ratio: 0.2, slack: 54.0, window: Duration::from_secs(10) };
    let share = ExtraRequestShare { limit, hosts: 8 };
    let mut now = Instant::now();
    let mut budget = ExtraRequestBudget::default();
    budget.record_first(&share, now);
    for _ in 0..4 {
        now += Duration::from_secs(12);
        budget.record_first(&share, now);
        let spent = (0..100).filter(|_| budget.try_spend(&share, now)).count();
        assert_eq!(spent, 5);
    }
}

#[test]
fn a_slow_searcher_is_tried_again_after_three_seconds_and_one_fast_answer_restores_it() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let route = "sweep".into();
    let own_zone =
        ReplicaView { route: &route, prior: 0.008, objective: ms(80), local: true, slots: 2 };
    let other_zone = ReplicaView { local: false, ..own_zone };
    let mut slow = SearcherHealth::default();
    let mut other = SearcherHealth::default();
    (0..5).for_each(|_| slow.record_answer(&route, ms(100), start));
    other.record_answer(&route, ms(8), start);
    let is_preferred =
        |slow: &SearcherHealth, at| slow.cost(&own_zone, at) < other.cost(&other_zone, at);
    assert!(!is_preferred(&slow, start + ms(2_000)));
    let trial = start + ms(3_100);
    assert!(is_preferred(&slow, trial));
    slow.record_answer(&route, ms(9), trial);
    assert!(is_preferred(&slow, trial + ms(100)));
    let mut still_slow = SearcherHealth::default();
    still_slow.record_answer(&route, ms(100), start);
    still_slow.record_answer(&route, ms(100), trial);
    assert!(!is_preferred(&still_slow, trial + ms(100)));
}
