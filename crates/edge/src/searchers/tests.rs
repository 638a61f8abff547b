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
use galenaloft_policy::store_position::StorePosition;

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
        match service.choose(
            &route,
            0.005,
            candidates,
            share,
            OutstandingBound::None,
            Instant::now(),
        ) {
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
            RevisionedChange { change: Change::Written(entry(id)), position: at(revision) },
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

fn at(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

fn fleet_in_zones(zones: [&str; 3]) -> (Fleet, Directory) {
    let mut directory = Directory::default();
    for (index, zone) in zones.into_iter().enumerate() {
        let entry = SearcherEntry { zone: zone.into(), ..entry(&format!("s{index}")) };
        let revision = index as u64 + 1;
        let change = RevisionedChange { change: Change::Written(entry), position: at(revision) };
        directory.apply(change, Instant::now());
    }
    let fleet = Fleet::new("a".into());
    fleet.update(&directory);
    (fleet, directory)
}

/// Guards against a path on which a searcher of an evacuated zone still counts as usable: requests
/// would be sent to it, or grouped to its zone's aggregators.
#[test]
fn searchers_of_an_evacuated_zone_are_not_chosen_and_do_not_count() {
    let (fleet, directory) = fleet_in_zones(["a", "b", "a"]);
    let service = fleet.service(&"shard".into());
    assert_eq!(choose_all(&fleet, &[], ZoneScope::All).len(), 3);
    fleet.set_evacuated(&["a".into()].into());
    assert_eq!(choose_all(&fleet, &[], ZoneScope::All), ["s1"]);
    assert!(choose_all(&fleet, &["s0".into(), "s2".into()], ZoneScope::All).is_empty());
    assert!(choose_all(&fleet, &[], ZoneScope::OwnZone).is_empty());
    assert_eq!(service.healthy_zones(), ["b".into()]);
    assert!(!service.has_local_searcher() && service.has_permitted_searcher());
    // Searchers that are listed during the evacuation.
    let mut later = directory.clone();
    let started = SearcherEntry { start_time: 2, ..entry("s0") };
    later.apply(
        RevisionedChange { change: Change::Written(started), position: at(9) },
        Instant::now(),
    );
    fleet.update(&later);
    assert_eq!(choose_all(&fleet, &[], ZoneScope::All), ["s1"]);
    fleet.set_evacuated(&["a".into(), "b".into()].into());
    assert!(choose_all(&fleet, &[], ZoneScope::All).is_empty());
    assert!(!service.has_permitted_searcher());
    fleet.set_evacuated(&["b".into()].into());
    assert_eq!(choose_all(&fleet, &[], ZoneScope::All).len(), 2);
    fleet.set_evacuated(&[].into());
    assert_eq!(choose_all(&fleet, &[], ZoneScope::All).len(), 3);
}

/// Guards against an evacuation that is forgotten while its zone has no searchers.
#[test]
fn searchers_that_are_listed_after_their_zone_was_evacuated_get_nothing() {
    let (_, directory) = fleet_in_zones(["a", "b", "a"]);
    let fleet = Fleet::new("a".into());
    fleet.set_evacuated(&["a".into()].into());
    fleet.update(&Directory::default());
    fleet.update(&directory);
    assert_eq!(choose_all(&fleet, &[], ZoneScope::All), ["s1"]);
}

/// Guards against a request or connection that was prepared before the evacuation began and goes out
/// after it.
#[tokio::test]
async fn lease_opens_no_connection_and_sends_nothing_after_its_zone_was_evacuated() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut directory = Directory::default();
    let listed = SearcherEntry { address: listener.local_addr().unwrap(), ..entry("s0") };
    let change = RevisionedChange { change: Change::Written(listed), position: at(1) };
    directory.apply(change, Instant::now());
    let fleet = Fleet::new("a".into());
    fleet.update(&directory);
    let service = fleet.service(&"shard".into());
    let searcher = service.searchers().remove(0);
    let sharing_hosts =
        SharingHosts { all: 8, aggregators: 8, aggregators_in_zone: 3, is_aggregator: true };
    let share = ConnectionShare::new(26, sharing_hosts);
    let begin = || Lease::begin(&service, &searcher, None, share, Instant::now());
    let mut connected = begin().unwrap();
    connected.connect().await.unwrap();
    listener.accept().await.unwrap();
    let mut prepared = begin().unwrap();
    fleet.set_evacuated(&["a".into()].into());
    let req = || hyper::Request::new(http_body_util::Full::new(bytes::Bytes::new()));
    for lease in [&mut connected, &mut prepared] {
        let sent = lease.exchange(req()).await;
        assert!(sent.is_err_and(|e| !e.may_be_received()));
    }
    assert!(prepared.connect().await.is_err());
    let accepted = tokio::time::timeout(Duration::from_millis(100), listener.accept()).await;
    assert!(accepted.is_err(), "a connection was opened");
    assert!(begin().is_none());
    assert!(Lease::reserve(&service, &searcher, None, share, Instant::now()).is_none());
    fleet.set_evacuated(&[].into());
    assert!(begin().is_some());
}
