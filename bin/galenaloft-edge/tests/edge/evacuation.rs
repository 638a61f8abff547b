//! Evacuation of a zone: nothing new may reach its searchers until it ends.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::scene::FETCH_PATH;
use galenaloft_platform_standin::scene::GATHER_PATH;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::searcher::Searcher;
use galenaloft_platform_standin::store::StoreFault;
use galenaloft_soak::edge;
use galenaloft_soak::edge::Signal;
use tokio::time::sleep;

use crate::hosts::Edge;
use crate::hosts::wait_until;

const MS: Duration = Duration::from_millis(1);

/// Time after the store's acknowledgement from which nothing may reach the zone's searchers.
const EVACUATION_TIME: Duration = Duration::from_millis(5_000);

/// An address at which no store listens.
const NO_STORE: &str = "127.0.0.1:1";

fn in_zones(zones: &[&str]) -> Layout {
    Layout { zones: zones.iter().map(|zone| (*zone).to_owned()).collect(), ..Layout::default() }
}

/// Returns the settings of a host at which zones can be evacuated.
fn spec(platform: &Scene, zone: &str, number: u8, port: u16) -> edge::Spec {
    Edge::spec(platform, zone, number, port, "evacuation: true\n")
}

async fn start_with(spec: edge::Spec) -> Edge {
    let edge = Edge::start_with(&spec);
    wait_until("the host is ready", || edge.is_ready()).await;
    edge
}

async fn start(platform: &Scene, zone: &str, number: u8, port: u16) -> Edge {
    start_with(spec(platform, zone, number, port)).await
}

/// Returns all searchers of a zone.
fn searchers_in(platform: &Scene, zone: &str) -> Vec<Searcher> {
    let all = platform.shards.iter().flatten().chain(&platform.singles);
    all.filter(|searcher| searcher.spec.zone == zone).cloned().collect()
}

/// Returns the time of the last request, health check or new connection that reached a zone's
/// searchers.
fn last_contact(platform: &Scene, zone: &str) -> Option<Instant> {
    let searchers = searchers_in(platform, zone);
    let times = |searcher: &Searcher| {
        let arrivals = searcher.arrivals().into_iter().map(|arrival| arrival.at);
        arrivals.chain(searcher.contacts()).max()
    };
    searchers.iter().filter_map(times).max()
}

/// Asserts that nothing reached a zone's searchers since `from`.
fn assert_untouched_since(platform: &Scene, zone: &str, from: Instant) {
    let last = last_contact(platform, zone);
    let late = last.map(|at| at.saturating_duration_since(from)).unwrap_or_default();
    assert!(late.is_zero(), "zone {zone} was contacted {late:?} too late");
}

/// Sends queries and fetches through each host for some time, and asserts that all are answered
/// completely.
async fn call_for(hosts: &[&Edge], time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        for host in hosts {
            let answer = host.get(GATHER_PATH).await;
            assert_eq!((answer.status, answer.missing()), (200, 0));
            assert_eq!(host.get(FETCH_PATH).await.status, 200);
        }
        sleep(30 * MS).await;
    }
}

/// Sends queries through a host until they run on a zone's searchers again.
async fn wait_until_used(platform: &Scene, host: &Edge, zone: &str) {
    let runs = || searchers_in(platform, zone).iter().map(Searcher::runs).sum::<usize>();
    let before = runs();
    wait_until("the zone's searchers get requests again", || async {
        host.get(GATHER_PATH).await;
        host.get(FETCH_PATH).await;
        runs() > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_zone_gets_nothing_after_the_time_and_answers_stay_complete() {
    let platform = Scene::start(&in_zones(&["a", "b", "c"])).await.unwrap();
    let hosts = [
        start(&platform, "a", 1, 28500).await,
        start(&platform, "a", 2, 28500).await,
        start(&platform, "b", 3, 28500).await,
        start(&platform, "c", 4, 28500).await,
    ];
    let all: Vec<&Edge> = hosts.iter().collect();
    call_for(&all, 1_500 * MS).await;
    platform.store.evacuate("a");
    let evacuated_at = Instant::now();
    call_for(&all, EVACUATION_TIME + 3_000 * MS).await;
    assert_untouched_since(&platform, "a", evacuated_at + EVACUATION_TIME);
    for host in &hosts {
        assert!(host.is_ready().await);
    }
    platform.store.end_evacuation("a");
    for host in &hosts[..2] {
        wait_until_used(&platform, host, "a").await;
    }
}

/// Guards against an evacuation that only hosts with access to the store see, at its begin or its end.
#[tokio::test(flavor = "multi_thread")]
async fn host_that_cannot_read_the_store_learns_of_the_begin_and_the_end() {
    let platform = Scene::start(&in_zones(&["a", "b"])).await.unwrap();
    let _reader = start(&platform, "b", 1, 28510).await;
    let store: SocketAddr = NO_STORE.parse().unwrap();
    let blind = start_with(edge::Spec { store, ..spec(&platform, "a", 2, 28510) }).await;
    call_for(&[&blind], 500 * MS).await;
    for _ in 0..2 {
        platform.store.evacuate("a");
        let evacuated_at = Instant::now();
        call_for(&[&blind], EVACUATION_TIME + 500 * MS).await;
        assert_untouched_since(&platform, "a", evacuated_at + EVACUATION_TIME);
        platform.store.end_evacuation("a");
        wait_until_used(&platform, &blind, "a").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn begin_and_end_in_quick_succession_leave_the_last_state() {
    let platform = Scene::start(&in_zones(&["a", "b"])).await.unwrap();
    let hosts = [start(&platform, "a", 1, 28520).await, start(&platform, "b", 2, 28520).await];
    let all: Vec<&Edge> = hosts.iter().collect();
    call_for(&all, 500 * MS).await;
    platform.store.evacuate("a");
    sleep(20 * MS).await;
    platform.store.end_evacuation("a");
    sleep(20 * MS).await;
    platform.store.evacuate("a");
    let evacuated_at = Instant::now();
    call_for(&all, EVACUATION_TIME + 500 * MS).await;
    assert_untouched_since(&platform, "a", evacuated_at + EVACUATION_TIME);
    platform.store.end_evacuation("a");
    platform.store.evacuate("a");
    platform.store.end_evacuation("a");
    wait_until_used(&platform, &hosts[0], "a").await;
}

/// Guards against a begin or an end that is lost when the store drops its changes: neither is in the
/// changes that a host reads next.
#[tokio::test(flavor = "multi_thread")]
async fn begin_and_end_are_seen_when_the_store_loses_its_history() {
    let platform = Scene::start(&in_zones(&["a", "b"])).await.unwrap();
    let hosts = [start(&platform, "a", 1, 28530).await, start(&platform, "b", 2, 28530).await];
    let all: Vec<&Edge> = hosts.iter().collect();
    call_for(&all, 500 * MS).await;
    platform.store.evacuate("a");
    platform.store.compact();
    let evacuated_at = Instant::now();
    call_for(&all, EVACUATION_TIME + 500 * MS).await;
    assert_untouched_since(&platform, "a", evacuated_at + EVACUATION_TIME);
    platform.store.set_fault(StoreFault::SilentChanges);
    platform.store.end_evacuation("a");
    sleep(1_500 * MS).await;
    platform.store.compact();
    platform.store.set_fault(StoreFault::None);
    wait_until_used(&platform, &hosts[0], "a").await;
}

/// Guards against a host that is ready before it knows of an evacuation, with and without the store.
#[tokio::test(flavor = "multi_thread")]
async fn host_that_starts_during_an_evacuation_sends_nothing_to_the_zone() {
    let platform = Scene::start(&in_zones(&["a", "b"])).await.unwrap();
    let peer = start(&platform, "b", 1, 28540).await;
    let host = start(&platform, "a", 2, 28540).await;
    call_for(&[&peer, &host], 500 * MS).await;
    drop(host);
    platform.store.evacuate("a");
    sleep(EVACUATION_TIME).await;
    for fault in [StoreFault::None, StoreFault::Silent] {
        platform.store.set_fault(fault);
        let started_at = Instant::now();
        let host = start(&platform, "a", 2, 28540).await;
        call_for(&[&host], 1_500 * MS).await;
        assert_untouched_since(&platform, "a", started_at);
    }
    platform.store.set_fault(StoreFault::None);
    platform.store.end_evacuation("a");
    let host = start(&platform, "a", 2, 28540).await;
    wait_until_used(&platform, &host, "a").await;
}

/// Guards against queries that are grouped to aggregators in the evacuated zone because its searchers
/// look healthy.
#[tokio::test(flavor = "multi_thread")]
async fn queries_are_grouped_to_aggregators_of_other_zones_only() {
    let platform = Scene::start(&in_zones(&["a", "b"])).await.unwrap();
    let in_evacuated_zone = start(&platform, "a", 1, 28550).await;
    let _other = start(&platform, "b", 2, 28550).await;
    let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("evacuation-grouped.log");
    // Of an earlier run of this test.
    let _ = fs::remove_file(&log);
    let without_searchers = edge::Spec { log: Some(log.clone()), ..spec(&platform, "c", 3, 28550) };
    let edge = start_with(without_searchers).await;
    // Until the hosts know each other.
    sleep(1_500 * MS).await;
    call_for(&[&edge], 500 * MS).await;
    platform.store.evacuate("a");
    sleep(EVACUATION_TIME).await;
    let evacuated_at = Instant::now();
    call_for(&[&edge], 1_000 * MS).await;
    // Groups that are sent to this host while it is stopped would be bypassed.
    in_evacuated_zone.signal(Signal::SIGSTOP);
    let until = Instant::now() + 150 * MS;
    while Instant::now() < until {
        assert_eq!(edge.get(GATHER_PATH).await.missing(), 0);
    }
    in_evacuated_zone.signal(Signal::SIGCONT);
    assert_untouched_since(&platform, "a", evacuated_at);
    let text = fs::read_to_string(&log).unwrap();
    let bypassed: Vec<&str> =
        text.lines().filter(|line| line.contains("event=peer_bypassed")).collect();
    assert!(bypassed.is_empty(), "{bypassed:?}");
    for event in ["zone_evacuated", "revision=", "source="] {
        assert!(text.lines().any(|l| l.contains("zone_evacuated") && l.contains(event)), "{event}");
    }
}

/// Guards against work at other shards for a query that cannot meet its floor.
#[tokio::test(flavor = "multi_thread")]
async fn shards_without_a_copy_elsewhere_are_missing_and_below_the_floor_the_query_is_refused() {
    // Two of ten shards have their searcher in zone b; the single service is in zone a.
    let layout = Layout { replicas: 1, ..in_zones(&["a", "a", "a", "a", "b"]) };
    let platform = Scene::start(&layout).await.unwrap();
    let edge = start(&platform, "a", 1, 28560).await;
    platform.store.evacuate("b");
    wait_until("two shards are missing", || async {
        let answer = edge.get(GATHER_PATH).await;
        assert_eq!(answer.status, 200);
        answer.missing() == 2
    })
    .await;
    platform.store.end_evacuation("b");
    platform.store.evacuate("a");
    wait_until("fetches are refused", || async { edge.get(FETCH_PATH).await.status == 503 }).await;
    let from = Instant::now();
    for path in [GATHER_PATH, FETCH_PATH] {
        let answer = edge.get(path).await;
        assert_eq!(answer.status, 503);
        assert!(answer.took < 100 * MS, "{:?}", answer.took);
        assert!(answer.headers.contains_key("retry-after"));
    }
    assert_untouched_since(&platform, "a", from);
    let in_b = searchers_in(&platform, "b");
    assert!(in_b.iter().flat_map(Searcher::arrivals).all(|arrival| arrival.at < from));
    platform.store.end_evacuation("a");
    wait_until("queries are complete", || async { edge.get(GATHER_PATH).await.missing() == 0 })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn host_cut_off_in_an_evacuated_zone_refuses_at_once() {
    let platform = Scene::start(&in_zones(&["a", "b"])).await.unwrap();
    let edge = start(&platform, "a", 1, 28570).await;
    let other = start(&platform, "b", 2, 28570).await;
    sleep(1_500 * MS).await;
    platform.store.evacuate("a");
    sleep(EVACUATION_TIME).await;
    let evacuated_at = Instant::now();
    searchers_in(&platform, "b").iter().for_each(Searcher::crash);
    other.signal(Signal::SIGSTOP);
    wait_until("the host is cut off", || async { !edge.is_ready().await }).await;
    for path in [GATHER_PATH, FETCH_PATH] {
        let answer = edge.get(path).await;
        assert_eq!(answer.status, 503);
        assert!(answer.took < 100 * MS, "{:?}", answer.took);
    }
    other.signal(Signal::SIGCONT);
    assert_untouched_since(&platform, "a", evacuated_at);
}

/// Guards against a key with an unreadable value that evacuates nothing.
#[tokio::test(flavor = "multi_thread")]
async fn key_with_an_unreadable_value_evacuates_its_zone() {
    let platform = Scene::start(&in_zones(&["a", "b"])).await.unwrap();
    let edge = start(&platform, "a", 1, 28580).await;
    platform.store.put_bytes("op/evacuate/a", b"\xff no JSON".to_vec());
    let evacuated_at = Instant::now();
    call_for(&[&edge], EVACUATION_TIME + 500 * MS).await;
    assert_untouched_since(&platform, "a", evacuated_at + EVACUATION_TIME);
    platform.store.end_evacuation("a");
    wait_until_used(&platform, &edge, "a").await;
}

/// Guards against an effect without the setting, which a deployment has to enable.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_setting_the_key_has_no_effect() {
    let platform = Scene::start(&in_zones(&["a", "b"])).await.unwrap();
    let edge = Edge::start_ready(&platform, "a", 1, 28590).await;
    platform.store.evacuate("a");
    sleep(2_500 * MS).await;
    wait_until_used(&platform, &edge, "a").await;
}

/// Guards against an evacuation that no host obeys (review/13): the store came back from a copy, and its
/// revision is below that of the end of an earlier evacuation. One host cannot read the store.
#[tokio::test(flavor = "multi_thread")]
async fn zone_that_is_evacuated_after_the_store_came_back_from_a_copy_gets_nothing() {
    let platform = Scene::start(&in_zones(&["a", "b"])).await.unwrap();
    let reader = start(&platform, "b", 1, 28740).await;
    let store: SocketAddr = NO_STORE.parse().unwrap();
    let blind = start_with(edge::Spec { store, ..spec(&platform, "a", 2, 28740) }).await;
    let copy = platform.store.revision();
    platform.store.evacuate("a");
    sleep(1_500 * MS).await;
    platform.store.end_evacuation("a");
    for host in [&reader, &blind] {
        wait_until_used(&platform, host, "a").await;
    }
    platform.store.set_fault(StoreFault::Refuse(503));
    sleep(500 * MS).await;
    platform.store.restore(copy);
    platform.store.set_fault(StoreFault::None);
    sleep(1_000 * MS).await;
    platform.store.evacuate("a");
    let evacuated_at = Instant::now();
    call_for(&[&reader, &blind], EVACUATION_TIME + 1_500 * MS).await;
    assert_untouched_since(&platform, "a", evacuated_at + EVACUATION_TIME);
    platform.store.end_evacuation("a");
    for host in [&reader, &blind] {
        wait_until_used(&platform, host, "a").await;
    }
}

/// Guards against a zone that gets requests although its evacuation was not taken back: the store came
/// back from a copy that is older than the evacuation, and the operator writes it again later.
#[tokio::test(flavor = "multi_thread")]
async fn zone_stays_evacuated_until_the_operator_has_written_that_again() {
    let platform = Scene::start(&in_zones(&["a", "b"])).await.unwrap();
    let edge = start(&platform, "a", 1, 28750).await;
    let copy = platform.store.revision();
    platform.store.evacuate("a");
    let evacuated_at = Instant::now();
    call_for(&[&edge], EVACUATION_TIME).await;
    platform.store.restore(copy);
    call_for(&[&edge], 2_000 * MS).await;
    platform.store.evacuate("a");
    call_for(&[&edge], 5_000 * MS).await;
    assert_untouched_since(&platform, "a", evacuated_at + EVACUATION_TIME);
    platform.store.end_evacuation("a");
    wait_until_used(&platform, &edge, "a").await;
}
