//! What a host does when the store, the configuration, other hosts or it itself change.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::caller::Caller;
use galenaloft_platform_standin::scene::FETCH_PATH;
use galenaloft_platform_standin::scene::GATHER_PATH;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::scene::shard_name;
use galenaloft_platform_standin::searcher::Searcher;
use galenaloft_platform_standin::store::StoreFault;
use galenaloft_soak::edge::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::hosts::Edge;
use crate::hosts::call;
use crate::hosts::eventually;
use crate::hosts::request_id;

const MS: Duration = Duration::from_millis(1);

async fn scene() -> Scene {
    Scene::start(&Layout::default()).await.unwrap()
}

/// Starts two hosts of zone `a` and one of zone `b` that know each other.
async fn three_hosts(scene: &Scene, port: u16) -> [Edge; 3] {
    [
        Edge::ready(scene, "a", 1, port).await,
        Edge::ready(scene, "a", 2, port).await,
        Edge::ready(scene, "b", 3, port).await,
    ]
}

/// A layout whose shards have searchers in zones `a` and `b`, and none in `c`.
fn two_zones() -> Layout {
    Layout { zones: vec!["a".to_owned(), "b".to_owned()], ..Layout::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newer_configuration_is_in_force_in_time_and_an_older_one_never_again() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28200).await;
    let mut config = scene.configuration(5);
    config["routes"][1]["service"] = json!(shard_name(0));
    let written = Instant::now();
    scene.configure(&config);
    eventually("the route has moved", || async {
        edge.get(FETCH_PATH).await;
        scene.shards[0].iter().any(|searcher| searcher.runs() > 0)
    })
    .await;
    assert!(written.elapsed() < 3_000 * MS, "{:?}", written.elapsed());
    let before: usize = scene.singles.iter().map(Searcher::runs).sum();
    scene.configure(&scene.configuration(4));
    sleep(1_500 * MS).await;
    assert_eq!(edge.get(FETCH_PATH).await.status, 200);
    assert_eq!(scene.singles.iter().map(Searcher::runs).sum::<usize>(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_that_a_lost_history_hides_are_found() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28210).await;
    let mut config = scene.configuration(2);
    config["routes"][1]["service"] = json!(shard_name(0));
    scene.configure(&config);
    scene.singles[0].drain();
    scene.store.compact();
    eventually("the route has moved", || async {
        edge.get(FETCH_PATH).await;
        scene.shards[0].iter().any(|searcher| searcher.runs() > 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_serves_from_what_it_knows_while_the_store_is_away() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28220).await;
    for fault in [StoreFault::Refuse(503), StoreFault::Refuse(429), StoreFault::Silent] {
        scene.store.set_fault(fault);
        sleep(1_200 * MS).await;
        let answer = edge.get(GATHER_PATH).await;
        assert_eq!((answer.status, answer.missing()), (200, 0), "{fault:?}");
    }
    scene.store.set_fault(StoreFault::Slow(300 * MS));
    scene.singles[0].drain();
    sleep(3_000 * MS).await;
    let before = scene.singles[0].arrivals().len();
    for _ in 0..6 {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
    }
    assert_eq!(scene.singles[0].arrivals().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_searcher_that_leaves_gets_nothing_more_within_three_seconds() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28230).await;
    scene.singles[0].drain();
    let left = Instant::now();
    while left.elapsed() < 5_000 * MS {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
        sleep(20 * MS).await;
    }
    let arrivals = scene.singles[0].arrivals();
    let last = arrivals.last().map_or(Duration::ZERO, |arrival| arrival.at - left.min(arrival.at));
    assert!(last < 3_000 * MS, "{last:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_are_no_searchers_change_nothing() {
    let scene = scene().await;
    scene.store.put_bytes("servers/x1", b"\xff\x00 no JSON".to_vec());
    scene.store.put("servers/x2", &json!({ "service": "archive" }));
    scene.store.put(
        "servers/x3",
        &json!({ "service": "archive", "address": "127.0.0.1:9",
        "zone": "a", "version": "v1", "max_concurrency": "six", "state": "ready",
        "warmup_left_ms": 0, "sequence": 1 }),
    );
    scene.store.put(
        "servers/x4",
        &json!({ "service": "archive", "address": "127.0.0.1:9",
        "zone": "a", "version": "v1", "max_concurrency": 6, "state": "resting",
        "warmup_left_ms": 0, "sequence": 1 }),
    );
    let edge = Edge::ready(&scene, "a", 1, 28240).await;
    for _ in 0..6 {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
    }
    assert_eq!(edge.get(GATHER_PATH).await.missing(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() {
    let scene = scene().await;
    let mut edge = Edge::ready(&scene, "a", 1, 28250).await;
    scene.singles.iter().for_each(|searcher| searcher.set_work(600 * MS));
    let mut idle = Caller::connect(edge.callers).await.unwrap();
    let mut busy = Caller::connect(edge.callers).await.unwrap();
    let began = Instant::now();
    busy.send(&call("GET", FETCH_PATH, &request_id(), b"")).await.unwrap();
    sleep(100 * MS).await;
    edge.signal(Signal::SIGTERM);
    eventually("the host is not ready", || async { !edge.is_ready().await }).await;
    assert_eq!(busy.read(began).await.unwrap().status, 200);
    let answer = idle.call(&call("GET", GATHER_PATH, &request_id(), b"")).await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["connection"], "close");
    assert!(edge.exit().await.success());
    assert!(began.elapsed() < 6_000 * MS, "{:?}", began.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_while_the_store_is_away_learns_from_another() {
    let scene = scene().await;
    let _first = Edge::ready(&scene, "a", 1, 28260).await;
    scene.store.set_fault(StoreFault::Silent);
    let second = Edge::ready(&scene, "a", 2, 28260).await;
    let answer = second.get(GATHER_PATH).await;
    assert_eq!((answer.status, answer.missing()), (200, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_share_what_one_of_them_reads() {
    let scene = scene().await;
    let _hosts = [
        Edge::ready(&scene, "a", 1, 28270).await,
        Edge::ready(&scene, "a", 2, 28270).await,
        Edge::ready(&scene, "b", 3, 28270).await,
    ];
    sleep(2_000 * MS).await;
    let before = scene.store.calls();
    sleep(5_000 * MS).await;
    let calls = scene.store.calls() - before;
    // One host reads every 0.9 s; three that each read for themselves make 16 calls.
    assert!((4..=9).contains(&calls), "{calls}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_searchers_in_its_zone_asks_through_another() {
    let scene = Scene::start(&two_zones()).await.unwrap();
    let peer = Edge::ready(&scene, "a", 1, 28280).await;
    let edge = Edge::ready(&scene, "c", 2, 28280).await;
    sleep(1_500 * MS).await;
    for _ in 0..10 {
        let answer = edge.get(GATHER_PATH).await;
        assert_eq!((answer.status, answer.missing(), answer.parts().len()), (200, 0, 10));
        assert_eq!(answer.body, scene.expected(0..10, 50));
    }
    // The peer prefers the searchers of its own zone; a direct choice would not.
    let in_zone = |zone: &str| -> usize {
        let all = scene.shards.iter().flatten();
        all.filter(|searcher| searcher.spec.zone == zone).map(Searcher::runs).sum()
    };
    assert!(in_zone("a") > in_zone("b") * 3, "{} {}", in_zone("a"), in_zone("b"));
    peer.signal(Signal::SIGSTOP);
    let mut whole = 0;
    for _ in 0..10 {
        let answer = edge.get(GATHER_PATH).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.parts().len() + answer.missing(), 10);
        assert!(answer.took < 150 * MS, "{:?}", answer.took);
        whole += usize::from(answer.missing() == 0);
    }
    peer.signal(Signal::SIGCONT);
    assert!(whole >= 8, "{whole}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_shard_runs_a_request_on_more_searchers_than_its_route_allows() {
    let layout = Layout { replicas: 3, ..two_zones() };
    let scene = Scene::start(&layout).await.unwrap();
    let _peer = Edge::ready(&scene, "a", 1, 28290).await;
    let edge = Edge::ready(&scene, "c", 2, 28290).await;
    sleep(1_500 * MS).await;
    for _ in 0..5 {
        edge.get(GATHER_PATH).await;
    }
    // The peer hedges and is late all the same, so that its asker takes over.
    scene.shards.iter().flatten().for_each(|searcher| searcher.set_work(300 * MS));
    for _ in 0..5 {
        edge.get(GATHER_PATH).await;
    }
    sleep(500 * MS).await;
    for shard in &scene.shards {
        let mut counts = BTreeMap::new();
        for arrival in shard.iter().flat_map(Searcher::arrivals) {
            *counts.entry(arrival.headers["request-id"].clone()).or_insert(0) += 1;
        }
        assert!(counts.values().all(|count| *count <= 2), "{counts:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_forgets_a_searcher_that_left_while_the_store_was_away() {
    let scene = scene().await;
    let hosts = three_hosts(&scene, 28290).await;
    scene.store.set_fault(StoreFault::Refuse(503));
    sleep(2_500 * MS).await;
    scene.singles[0].deregister();
    sleep(500 * MS).await;
    scene.store.set_fault(StoreFault::None);
    // Its entry is missed for two seconds, in which it may be back, and found missing a second later.
    sleep(4_500 * MS).await;
    let before = scene.singles[0].runs();
    for host in &hosts {
        for _ in 0..4 {
            assert_eq!(host.get(FETCH_PATH).await.status, 200);
        }
    }
    assert_eq!(scene.singles[0].runs(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_keeps_searchers_that_lapsed_with_the_store_and_are_back() {
    let scene = scene().await;
    let hosts = three_hosts(&scene, 28300).await;
    scene.store.set_fault(StoreFault::Refuse(503));
    sleep(2_500 * MS).await;
    scene.singles.iter().for_each(Searcher::deregister);
    sleep(500 * MS).await;
    scene.store.set_fault(StoreFault::None);
    sleep(1_500 * MS).await;
    scene.singles.iter().for_each(Searcher::register_again);
    sleep(3_000 * MS).await;
    for host in &hosts {
        assert_eq!(host.get(FETCH_PATH).await.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_failure_of_the_store_in_which_every_entry_lapses_costs_no_request() {
    let scene = scene().await;
    let hosts = three_hosts(&scene, 28310).await;
    sleep(1_000 * MS).await;
    scene.store.set_fault(StoreFault::Refuse(503));
    scene.singles.iter().for_each(Searcher::deregister);
    sleep(1_200 * MS).await;
    scene.store.set_fault(StoreFault::None);
    for round in 0..20 {
        if round == 10 {
            scene.singles.iter().for_each(Searcher::register_again);
        }
        for host in &hosts {
            assert_eq!(host.get(FETCH_PATH).await.status, 200, "round {round}");
        }
        sleep(150 * MS).await;
    }
}
