use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::directory::Change;
use galenaloft_policy::directory::Directory;
use galenaloft_policy::directory::RevisionedChange;
use galenaloft_policy::directory::SearcherEntry;
use galenaloft_policy::directory::SearcherState;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::route::Route;
use galenaloft_policy::route::Target;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_policy::routing::SharingHosts;

use super::*;

fn entry(id: &str) -> SearcherEntry {
    SearcherEntry {
        id: id.into(),
        service: "shard".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: 2,
        state: SearcherState::Ready,
        warmup_left: Duration::ZERO,
        start_time: 1,
    }
}

/// Chooses searchers until none is left, and returns their ids in the order of choice.
fn choose_all(fleet: &Fleet, allowed: &[SearcherId], zone_scope: ZoneScope) -> Vec<String> {
    let route = Route {
        name: "sweep".into(),
        host: "x".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(80),
        rank: 1,
        max_attempts: 2,
        target: Target::Service("shard".into()),
    };
    let sharing_hosts =
        SharingHosts { all: 8, aggregators: 8, aggregators_in_zone: 3, is_aggregator: true };
    let share = ConnectionShare::new(26, sharing_hosts);
    let mut tried: Vec<SearcherId> = Vec::new();
    loop {
        let candidates = Candidates { allowed, tried: &tried, zone_scope };
        let service = fleet.service(&"shard".into());
        match service.choose(&route, 0.005, candidates, share, Instant::now()) {
            Choice::Searcher(searcher) => tried.push(searcher.entry.id.clone()),
            Choice::AllAtLimit | Choice::Closed(_) | Choice::NoSearcher => break,
        }
    }
    tried.iter().map(ToString::to_string).collect()
}

/// A shard may be asked both directly and through an aggregator. Both choose only among the
/// searchers that the coordinator allows, so that together they ask no more than the route's
/// attempts.
#[test]
fn choice_is_limited_to_allowed_searchers_and_reachable_zones() {
    let mut directory = Directory::default();
    for (revision, id) in ["s1", "s2", "s3"].into_iter().enumerate() {
        let revision = revision as u64 + 1;
        directory.apply(
            RevisionedChange { change: Change::Written(entry(id)), revision },
            Instant::now(),
        );
    }
    let fleet = Fleet::new("a".into());
    fleet.update(&directory);
    assert_eq!(choose_all(&fleet, &[], ZoneScope::All).len(), 3);
    assert_eq!(choose_all(&fleet, &["s1".into(), "s3".into()], ZoneScope::All), ["s1", "s3"]);
    let other_zone_fleet = Fleet::new("b".into());
    other_zone_fleet.update(&directory);
    let chosen = choose_all(&other_zone_fleet, &[], ZoneScope::OwnZone);
    assert!(chosen.is_empty(), "{chosen:?}");
}

/// Guards against a searcher that is never probed again after a probe of it panicked.
#[tokio::test]
async fn a_probe_that_panics_does_not_block_later_ones() {
    let searcher = Arc::new(Searcher::new(entry("x"), true, Arc::default()));
    let running = searcher.begin_probe().unwrap();
    assert!(searcher.begin_probe().is_none());
    let probe = tokio::spawn(async move {
        let _running = running;
        panic!("a fault of the probe");
    });
    assert!(probe.await.is_err());
    assert!(searcher.begin_probe().is_some());
}
