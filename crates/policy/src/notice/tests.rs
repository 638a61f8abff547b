use std::time::Duration;
use std::time::Instant;

use super::*;
use crate::directory::SearcherRun;

const MS: Duration = Duration::from_millis(1);

fn run(id: &str, start_time: u64) -> SearcherRun {
    SearcherRun { searcher: id.into(), start_time }
}

#[test]
fn a_run_is_leaving_until_the_searcher_starts_again() {
    let mut leaving = LeavingRuns::default();
    assert!(leaving.record(&run("a", 1)));
    assert!(!leaving.record(&run("a", 1)));
    assert!(leaving.contains(&run("a", 1)));
    assert!(!leaving.contains(&run("a", 2)));
    assert!(!leaving.contains(&run("b", 1)));
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one_early() {
    let now = Instant::now();
    let pause = |ms| Notice { pause: Some(ms * MS), ..Notice::default() };
    let mut gate = Gate::default();
    assert_eq!(gate.opens_at(now), None);
    assert!(gate.record(&pause(2_000), now).paused);
    assert!(!gate.record(&pause(500), now + 1_000 * MS).paused);
    assert!(!gate.record(&Notice::default(), now + 1_000 * MS).paused);
    assert_eq!(gate.opens_at(now + 1_999 * MS), Some(now + 2_000 * MS));
    assert_eq!(gate.opens_at(now + 2_000 * MS), None);
    assert!(gate.record(&pause(500), now + 3_000 * MS).paused);
}

fn warming(rate: f64, left: Duration, now: Instant) -> Gate {
    let mut gate = Gate::default();
    gate.set_warmup_rate(Some(rate), now);
    gate.record_warmup(left, now);
    gate
}

/// Guards against a warm-up that ends only with a further statement, which may never come.
#[test]
fn the_limit_of_a_warm_up_ends_by_itself() {
    let now = Instant::now();
    let mut gate = warming(10.0, 5_000 * MS, now);
    assert!(gate.opens_at(now).is_some());
    assert!(gate.is_limited(now + 4_999 * MS));
    assert_eq!(gate.opens_at(now + 5_000 * MS), None);
    assert!(!gate.is_limited(now + 5_000 * MS));
    assert!(!gate.end_warmup(now + 4_999 * MS));
    assert!(gate.end_warmup(now + 5_000 * MS));
    assert!(!gate.end_warmup(now + 5_001 * MS));
    assert!(!gate.retain_limit(now + 11_000 * MS));
}

#[test]
fn a_warm_up_without_a_rate_holds_nothing_back() {
    let now = Instant::now();
    let mut gate = Gate::default();
    assert!(!gate.record_warmup(5_000 * MS, now));
    assert_eq!(gate.opens_at(now), None);
    assert!(gate.set_warmup_rate(Some(10.0), now));
    assert!(gate.opens_at(now).is_some());
    assert!(gate.set_warmup_rate(None, now));
    assert_eq!(gate.opens_at(now), None);
}

#[test]
fn the_later_statement_about_a_warm_up_holds() {
    let now = Instant::now();
    let mut gate = warming(10.0, 5_000 * MS, now);
    assert!(gate.record_warmup(Duration::ZERO, now + 2 * MS));
    assert_eq!(gate.opens_at(now + 2 * MS), None);
    assert!(gate.record_warmup(3_000 * MS, now + 3 * MS));
    assert_eq!(gate.warmup_end(now + 4 * MS), Some(now + 3_003 * MS));
}

/// Guards against hosts that prolong a warm-up by passing it on to each other.
#[test]
fn a_report_of_a_known_statement_does_not_prolong_a_warm_up() {
    let now = Instant::now();
    let mut gate = warming(10.0, 5_000 * MS, now);
    let report = |age: u32, left: u32| WarmupReport {
        left: left * MS,
        limit: LimitReport {
            run: run("a", 1),
            limit: Some(10.0),
            age: age * MS,
            demand: 1.0,
            zone_demand: None,
            passed_on: Vec::new(),
        },
    };
    let host = "h1".into();
    assert!(!gate.record_warmup_report(&host, &report(0, 5_000), now + 20 * MS));
    assert_eq!(gate.warmup_end(now), Some(now + 5_000 * MS));
    gate.record_warmup_report(&host, &report(0, 5_000), now + 2_000 * MS);
    assert_eq!(gate.warmup_end(now + 2_000 * MS), Some(now + 7_000 * MS));
    assert!(gate.record_warmup_report(&host, &report(0, 0), now + 4_000 * MS));
    assert_eq!(gate.opens_at(now + 4_000 * MS), None);
}

/// Guards against a warm-up that lifts a limit which the searcher states, or the other way round.
#[test]
fn the_lower_of_a_stated_limit_and_that_of_a_warm_up_holds() {
    let now = Instant::now();
    let limited = |limit| Notice { limit: StatedLimit::Limited(limit), ..Notice::default() };
    let sharers = LimitSharers {
        own: "h1".into(),
        own_zone: "a".into(),
        hosts: vec!["h1".into()],
        other_zones: Vec::new(),
    };
    let sent_in_four_seconds = |stated: f64, warmup: f64| {
        let mut gate = warming(warmup, 10_000 * MS, now);
        gate.record(&limited(stated), now);
        let mut sent = 0;
        for ms in 0..4_000 {
            let at = now + ms * MS;
            if ms % 600 == 0 {
                let searcher = "s1".into();
                gate.shared_limit().unwrap().divide(&searcher, &sharers, 600 * MS, at);
                let warmup = gate.warmup().shared_limit().unwrap();
                warmup.divide(&searcher, &sharers, 600 * MS, at);
            }
            if gate.opens_at(at).is_none() {
                gate.record_sent(at);
                sent += 1;
            }
        }
        sent
    };
    assert!((38..=48).contains(&sent_in_four_seconds(10.0, 50.0)));
    assert!((38..=48).contains(&sent_in_four_seconds(50.0, 10.0)));
}
