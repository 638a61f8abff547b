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
    fn losing_a_host_moves_only_its_searchers(count: u8, lost: u8, searcher: u16) -> bool {
        let hosts = hosts(count % 30 + 2);
        let lost = &hosts[usize::from(lost) % hosts.len()];
        let item = format!("s-{searcher}");
        let ranked = rank_hosts(&item, &hosts);
        let after = owner_of(&item, hosts.iter().filter(|h| *h != lost)).unwrap();
        let expected = if ranked[0] == lost { ranked[1] } else { ranked[0] };
        owner_of(&item, &hosts) == Some(ranked[0]) && after == expected
    }

    fn extra_requests_stay_inside_the_bound_in_every_window(
        steps: Vec<(u16, bool)>,
        hosts: u8
    ) -> bool {
        let limit = ExtraRequestLimit { ratio: 0.2, slack: 54.0, window: Duration::from_secs(10) };
        let share = ExtraRequestShare { limit, hosts: usize::from(hosts % 40) + 1 };
        let start = Instant::now();
        let mut budget = ExtraRequestBudget::default();
        let mut first: Vec<Instant> = Vec::new();
        let mut extra: Vec<Instant> = Vec::new();
        let mut at = start;
        for (pause, wants_extra) in steps {
            at += Duration::from_millis(u64::from(pause % 1_500));
            budget.note_first(&share, at);
            first.push(at);
            while wants_extra && budget.try_spend(&share, at) {
                extra.push(at);
            }
        }
        extra.iter().all(|end| {
            let inside = |at: &&Instant| **at <= *end && *end - **at < limit.window;
            // A window's requests are counted from one step before it.
            let near = |at: &&Instant| **at <= *end && *end - **at < limit.window.mul_f64(1.1);
            let part = (limit.slack / share.hosts as f64).max(1.0);
            let earned = limit.ratio * first.iter().filter(near).count() as f64;
            extra.iter().filter(inside).count() as f64 <= part + earned
        })
    }

    fn hedges_stay_inside_the_budget(attempts: Vec<bool>, percent: u8) -> bool {
        let ratio = f64::from(percent % 20) / 100.0;
        let mut policy = HedgePolicy::new(ratio, Instant::now());
        let mut first = 0.0;
        let mut hedged = 0.0;
        for slow in attempts {
            policy.note_first_attempt();
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
    table.note_failed(&ids[0], now);
    assert_eq!(table.choose(replicas(), now), Some(&ids[1]));
    table.note_draining(&ids[1], now);
    assert_eq!(table.choose(replicas(), now), Some(&ids[0]));
    table.note_draining(&ids[0], now);
    assert_eq!(table.choose(replicas(), now), None);
    assert!(table.choose(replicas(), now + Duration::from_secs(31)).is_some());
}

#[test]
fn a_hedge_waits_for_the_slow_quantile() {
    let now = Instant::now();
    let mut policy = HedgePolicy::new(0.05, now);
    assert_eq!(policy.hedge_at(now), None);
    for ms in 1..=100 {
        policy.note_latency(Duration::from_millis(ms), now);
    }
    let wait = policy.hedge_at(now).unwrap() - now;
    assert!(wait > Duration::from_millis(90) && wait < Duration::from_millis(100), "{wait:?}");
}

#[test]
fn a_slow_replica_at_home_loses_to_one_in_another_zone_and_is_tried_again_later() {
    let now = Instant::now();
    let ids: [SearcherId; 2] = ["home".into(), "away".into()];
    let replicas = || [(&ids[0], true), (&ids[1], false)];
    let mut table = ReplicaTable::default();
    for _ in 0..20 {
        table.note_sent(&ids[0]);
        table.note_abandoned(&ids[0], Duration::from_millis(10), now);
        table.note_sent(&ids[1]);
        table.note_ran(&ids[1], Duration::from_millis(5), now);
    }
    assert_eq!(table.choose(replicas(), now), Some(&ids[1]));
    let later = now + Duration::from_secs(120);
    assert_eq!(table.choose(replicas(), later), Some(&ids[0]));
}

#[test]
fn connections_go_to_the_gatherers_when_there_are_too_few_for_all() {
    let sharers =
        SharingHosts { all: 8, aggregators: 7, aggregators_in_zone: 3, is_aggregator: false };
    let few = ConnectionShare::new(26, sharers);
    assert_eq!((few.limit(true), few.limit(false)), (3, 3));
    assert!(few.keeps_connections() && few.preconnects(false) && !few.uses_aggregators());
    let sharers =
        SharingHosts { all: 77, aggregators: 12, aggregators_in_zone: 4, is_aggregator: true };
    let many = ConnectionShare::new(60, sharers);
    assert_eq!((many.limit(true), many.limit(false)), (9, 2));
    assert!(many.keeps_connections() && many.preconnects(true) && !many.preconnects(false));
    let all = 4 * many.limit(true) + 8 * many.limit(false);
    assert!(all <= 60, "{all}");
    let other = ConnectionShare::new(60, SharingHosts { is_aggregator: false, ..sharers });
    assert_eq!((other.limit(true), other.limit(false)), (1, 1));
    assert!(!other.keeps_connections() && !other.preconnects(true) && other.uses_aggregators());
}

#[test]
fn a_searcher_that_left_an_attempt_unanswered_is_passed_over_until_a_trial() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let route = "sweep".into();
    let view =
        ReplicaView { route: &route, prior: 0.005, objective: ms(80), local: true, slots: 2 };
    let mut slow = SearcherHealth::default();
    let mut twin = SearcherHealth::default();
    for health in [&mut slow, &mut twin] {
        (0..5).for_each(|_| health.note_answer(&route, ms(5), start));
    }
    slow.note_sent(start);
    slow.note_ended(start);
    slow.note_unanswered(Some(&route), start, start + ms(150));
    let dearer = |at: Instant| slow.cost(&view, at) > twin.cost(&view, at);
    assert!(dearer(start + ms(200)));
    assert!(!dearer(start + ms(1_200)));
    slow.note_answer(&route, ms(5), start + ms(1_250));
    assert!(slow.cost(&view, start + ms(1_250)) <= twin.cost(&view, start + ms(1_250)));
}

#[test]
fn unused_slack_is_there_again_after_a_window_at_any_load() {
    let limit = ExtraRequestLimit { ratio: 0.2, slack: 54.0, window: Duration::from_secs(10) };
    let share = ExtraRequestShare { limit, hosts: 8 };
    let mut now = Instant::now();
    let mut budget = ExtraRequestBudget::default();
    budget.note_first(&share, now);
    for _ in 0..4 {
        now += Duration::from_secs(12);
        budget.note_first(&share, now);
        let spent = (0..100).filter(|_| budget.try_spend(&share, now)).count();
        assert_eq!(spent, 5);
    }
}

#[test]
fn a_searcher_that_was_slow_is_tried_after_seconds_and_one_fast_answer_brings_it_back() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let route = "sweep".into();
    let at_home =
        ReplicaView { route: &route, prior: 0.008, objective: ms(80), local: true, slots: 2 };
    let away = ReplicaView { local: false, ..at_home };
    let mut slow = SearcherHealth::default();
    let mut other = SearcherHealth::default();
    (0..5).for_each(|_| slow.note_answer(&route, ms(100), start));
    other.note_answer(&route, ms(8), start);
    let chosen = |slow: &SearcherHealth, at| slow.cost(&at_home, at) < other.cost(&away, at);
    assert!(!chosen(&slow, start + ms(2_000)));
    let trial = start + ms(3_100);
    assert!(chosen(&slow, trial));
    slow.note_answer(&route, ms(9), trial);
    assert!(chosen(&slow, trial + ms(100)));
    let mut still_slow = SearcherHealth::default();
    still_slow.note_answer(&route, ms(100), start);
    still_slow.note_answer(&route, ms(100), trial);
    assert!(!chosen(&still_slow, trial + ms(100)));
}
