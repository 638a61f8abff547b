//! Changes of the store, the configuration, the searchers and the hosts, and failures of the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use galenaloft_soak::edge;
use galenaloft_soak::edge::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::hosts::Edge;
use crate::hosts::build_call;
use crate::hosts::request_id;
use crate::hosts::wait_until;

const MS: Duration = Duration::from_millis(1);

async fn start_platform() -> Scene {
    Scene::start(&Layout::default()).await.unwrap()
}

/// Starts two hosts in zone `a` and one in zone `b`, which form one cluster.
async fn three_hosts(platform: &Scene, port: u16) -> [Edge; 3] {
    [
        Edge::start_ready(platform, "a", 1, port).await,
        Edge::start_ready(platform, "a", 2, port).await,
        Edge::start_ready(platform, "b", 3, port).await,
    ]
}

/// Waits until a changed configuration that sends fetches to the first shard's service is in force.
async fn wait_until_fetches_reach_first_shard(platform: &Scene, edge: &Edge) {
    wait_until("the route has moved", || async {
        edge.get(FETCH_PATH).await;
        platform.shards[0].iter().any(|searcher| searcher.runs() > 0)
    })
    .await;
}

/// Returns a layout whose shards have searchers in zones `a` and `b`, but none in `c`.
fn two_zones() -> Layout {
    Layout { zones: vec!["a".to_owned(), "b".to_owned()], ..Layout::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn newer_configuration_takes_effect_in_time_and_an_older_one_is_ignored() {
    let platform = start_platform().await;
    let edge = Edge::start_ready(&platform, "a", 1, 28200).await;
    let mut config = platform.configuration(5);
    config["routes"][1]["service"] = json!(shard_name(0));
    let written = Instant::now();
    platform.configure(&config);
    wait_until_fetches_reach_first_shard(&platform, &edge).await;
    assert!(written.elapsed() < 3_000 * MS, "{:?}", written.elapsed());
    let before: usize = platform.singles.iter().map(Searcher::runs).sum();
    platform.configure(&platform.configuration(4));
    sleep(1_500 * MS).await;
    assert_eq!(edge.get(FETCH_PATH).await.status, 200);
    assert_eq!(platform.singles.iter().map(Searcher::runs).sum::<usize>(), before);
}

/// Guards against a time in a configuration that overflows the clock, after which every request and
/// every connection of a caller ended in a panic.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_with_endless_times_is_served() {
    let platform = start_platform().await;
    let edge = Edge::start_ready(&platform, "a", 1, 28480).await;
    let mut config = platform.configuration(2);
    config["routes"][1]["service"] = json!(shard_name(0));
    for route in [0, 1] {
        config["routes"][route]["timeout_ms"] = json!(1e22);
        config["routes"][route]["target_latency_ms"] = json!(1e22);
    }
    config["limits"]["idle_timeout_ms"] = json!(1e22);
    config["limits"]["header_timeout_ms"] = json!(1e22);
    platform.configure(&config);
    wait_until_fetches_reach_first_shard(&platform, &edge).await;
    assert_eq!(edge.get(GATHER_PATH).await.status, 200);
    assert_eq!(edge.get(FETCH_PATH).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_found_after_the_store_has_compacted_its_history() {
    let platform = start_platform().await;
    let edge = Edge::start_ready(&platform, "a", 1, 28210).await;
    let mut config = platform.configuration(2);
    config["routes"][1]["service"] = json!(shard_name(0));
    platform.configure(&config);
    platform.singles[0].drain();
    platform.store.compact();
    wait_until_fetches_reach_first_shard(&platform, &edge).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn host_serves_from_its_last_known_state_while_the_store_fails() {
    let platform = start_platform().await;
    let edge = Edge::start_ready(&platform, "a", 1, 28220).await;
    for fault in [StoreFault::Refuse(503), StoreFault::Refuse(429), StoreFault::Silent] {
        platform.store.set_fault(fault);
        sleep(1_200 * MS).await;
        let answer = edge.get(GATHER_PATH).await;
        assert_eq!((answer.status, answer.missing()), (200, 0), "{fault:?}");
    }
    platform.store.set_fault(StoreFault::Slow(300 * MS));
    platform.singles[0].drain();
    sleep(3_000 * MS).await;
    let before = platform.singles[0].arrivals().len();
    for _ in 0..6 {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
    }
    assert_eq!(platform.singles[0].arrivals().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_searcher_gets_no_request_after_three_seconds() {
    let platform = start_platform().await;
    let edge = Edge::start_ready(&platform, "a", 1, 28230).await;
    platform.singles[0].drain();
    let drained_at = Instant::now();
    while drained_at.elapsed() < 5_000 * MS {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
        sleep(20 * MS).await;
    }
    let arrivals = platform.singles[0].arrivals();
    let last =
        arrivals.last().map_or(Duration::ZERO, |arrival| arrival.at - drained_at.min(arrival.at));
    assert!(last < 3_000 * MS, "{last:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_searcher_entries_are_ignored() {
    let platform = start_platform().await;
    platform.store.put_bytes("servers/x1", b"\xff\x00 no JSON".to_vec());
    platform.store.put("servers/x2", &json!({ "service": "archive" }));
    platform.store.put(
        "servers/x3",
        &json!({ "service": "archive", "address": "127.0.0.1:9",
        "zone": "a", "version": "v1", "max_concurrency": "six", "state": "ready",
        "warmup_left_ms": 0, "sequence": 1 }),
    );
    platform.store.put(
        "servers/x4",
        &json!({ "service": "archive", "address": "127.0.0.1:9",
        "zone": "a", "version": "v1", "max_concurrency": 6, "state": "resting",
        "warmup_left_ms": 0, "sequence": 1 }),
    );
    let edge = Edge::start_ready(&platform, "a", 1, 28240).await;
    for _ in 0..6 {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
    }
    assert_eq!(edge.get(GATHER_PATH).await.missing(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_every_request() {
    let platform = start_platform().await;
    let mut edge = Edge::start_ready(&platform, "a", 1, 28250).await;
    platform.singles.iter().for_each(|searcher| searcher.set_work(600 * MS));
    let mut idle = Caller::connect(edge.caller_address).await.unwrap();
    let mut busy = Caller::connect(edge.caller_address).await.unwrap();
    let began = Instant::now();
    busy.send(&build_call("GET", FETCH_PATH, &request_id(), b"")).await.unwrap();
    sleep(100 * MS).await;
    edge.signal(Signal::SIGTERM);
    wait_until("the host is not ready", || async { !edge.is_ready().await }).await;
    assert_eq!(busy.read(began).await.unwrap().status, 200);
    let answer = idle.call(&build_call("GET", GATHER_PATH, &request_id(), b"")).await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["connection"], "close");
    assert!(edge.exit().await.success());
    assert!(began.elapsed() < 6_000 * MS, "{:?}", began.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn host_that_starts_during_a_store_outage_loads_its_state_from_a_peer() {
    let platform = start_platform().await;
    let _first = Edge::start_ready(&platform, "a", 1, 28260).await;
    platform.store.set_fault(StoreFault::Silent);
    let second = Edge::start_ready(&platform, "a", 2, 28260).await;
    let answer = second.get(GATHER_PATH).await;
    assert_eq!((answer.status, answer.missing()), (200, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_share_reads_of_the_store() {
    let platform = start_platform().await;
    let _hosts = [
        Edge::start_ready(&platform, "a", 1, 28270).await,
        Edge::start_ready(&platform, "a", 2, 28270).await,
        Edge::start_ready(&platform, "b", 3, 28270).await,
    ];
    sleep(2_000 * MS).await;
    let before = platform.store.calls();
    sleep(5_000 * MS).await;
    let calls = platform.store.calls() - before;
    // If they share, one host reads every 0.9 s; three hosts that each read for themselves make 16
    // calls in 5 s.
    assert!((4..=9).contains(&calls), "{calls}");
}

#[tokio::test(flavor = "multi_thread")]
async fn host_without_searchers_in_its_zone_queries_through_an_aggregator() {
    let platform = Scene::start(&two_zones()).await.unwrap();
    let aggregator = Edge::start_ready(&platform, "a", 1, 28280).await;
    let edge = Edge::start_ready(&platform, "c", 2, 28280).await;
    // Until the hosts know each other.
    sleep(1_500 * MS).await;
    for _ in 0..10 {
        let answer = edge.get(GATHER_PATH).await;
        assert_eq!((answer.status, answer.missing(), answer.parts().len()), (200, 0, 10));
        assert_eq!(answer.body, platform.expected(0..10, 50));
    }
    // The aggregator prefers searchers of its own zone. Direct requests from zone c would not
    // prefer those of zone a.
    let in_zone = |zone: &str| -> usize {
        let all = platform.shards.iter().flatten();
        all.filter(|searcher| searcher.spec.zone == zone).map(Searcher::runs).sum()
    };
    assert!(in_zone("a") > in_zone("b") * 3, "{} {}", in_zone("a"), in_zone("b"));
    aggregator.signal(Signal::SIGSTOP);
    let mut complete = 0;
    for _ in 0..10 {
        let answer = edge.get(GATHER_PATH).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.parts().len() + answer.missing(), 10);
        assert!(answer.took < 150 * MS, "{:?}", answer.took);
        complete += usize::from(answer.missing() == 0);
    }
    aggregator.signal(Signal::SIGCONT);
    assert!(complete >= 8, "{complete}");
}

#[tokio::test(flavor = "multi_thread")]
async fn coordinator_and_aggregator_together_keep_to_the_attempts_of_the_route() {
    let layout = Layout { replicas: 3, ..two_zones() };
    let platform = Scene::start(&layout).await.unwrap();
    let _aggregator = Edge::start_ready(&platform, "a", 1, 28290).await;
    let edge = Edge::start_ready(&platform, "c", 2, 28290).await;
    // Until the hosts know each other.
    sleep(1_500 * MS).await;
    for _ in 0..5 {
        edge.get(GATHER_PATH).await;
    }
    // Slow searchers make the aggregator hedge and still answer late, so that the coordinator asks
    // the searchers itself.
    platform.shards.iter().flatten().for_each(|searcher| searcher.set_work(300 * MS));
    for _ in 0..5 {
        edge.get(GATHER_PATH).await;
    }
    sleep(500 * MS).await;
    for shard in &platform.shards {
        let mut arrivals: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, searcher) in shard.iter().enumerate() {
            for arrival in searcher.arrivals() {
                arrivals.entry(arrival.headers["request-id"].clone()).or_default().push(index);
            }
        }
        for (request, searchers) in arrivals {
            // The route allows 2 searchers for each shard. One of them may get the request again.
            let distinct: BTreeSet<&usize> = searchers.iter().collect();
            assert!(distinct.len() <= 2 && searchers.len() <= 3, "{request}: {searchers:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn parts_that_an_aggregator_missed_are_asked_again_while_time_is_left() {
    let layout = Layout { replicas: 3, ..two_zones() };
    let platform = Scene::start(&layout).await.unwrap();
    let _aggregator = Edge::start_ready(&platform, "a", 1, 28350).await;
    let edge = Edge::start_ready(&platform, "c", 2, 28350).await;
    // Until the hosts know each other.
    sleep(1_500 * MS).await;
    for _ in 0..5 {
        edge.get(GATHER_PATH).await;
    }
    // The aggregator answers before the objective without these parts, and there are more searchers
    // than attempts.
    platform.shards.iter().flatten().for_each(|searcher| searcher.set_work(200 * MS));
    // One query, since the budget of extra requests of this small cluster allows no more.
    assert_eq!(edge.get(GATHER_PATH).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_drops_a_searcher_that_left_during_a_store_outage() {
    let platform = start_platform().await;
    let hosts = three_hosts(&platform, 28320).await;
    platform.store.set_fault(StoreFault::Refuse(503));
    sleep(2_500 * MS).await;
    platform.singles[0].deregister();
    sleep(500 * MS).await;
    platform.store.set_fault(StoreFault::None);
    // The searcher stays in use for 2.3 seconds, in which it may register again, and is dropped at
    // the next read of the store or store update from a peer, at most about a second later.
    sleep(4_500 * MS).await;
    let before = platform.singles[0].runs();
    for host in &hosts {
        for _ in 0..4 {
            assert_eq!(host.get(FETCH_PATH).await.status, 200);
        }
    }
    assert_eq!(platform.singles[0].runs(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_keeps_searchers_that_expired_in_a_store_outage_and_registered_again() {
    let platform = start_platform().await;
    let hosts = three_hosts(&platform, 28300).await;
    platform.store.set_fault(StoreFault::Refuse(503));
    sleep(2_500 * MS).await;
    platform.singles.iter().for_each(Searcher::deregister);
    sleep(500 * MS).await;
    platform.store.set_fault(StoreFault::None);
    // Shorter than the 2.3 seconds in which a searcher may register again.
    sleep(1_500 * MS).await;
    platform.singles.iter().for_each(Searcher::register_again);
    sleep(3_000 * MS).await;
    for host in &hosts {
        assert_eq!(host.get(FETCH_PATH).await.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn short_store_outage_in_which_every_entry_expires_fails_no_request() {
    let platform = start_platform().await;
    let hosts = three_hosts(&platform, 28310).await;
    sleep(1_000 * MS).await;
    platform.store.set_fault(StoreFault::Refuse(503));
    platform.singles.iter().for_each(Searcher::deregister);
    sleep(1_200 * MS).await;
    platform.store.set_fault(StoreFault::None);
    for round in 0..20 {
        if round == 10 {
            platform.singles.iter().for_each(Searcher::register_again);
        }
        for host in &hosts {
            assert_eq!(host.get(FETCH_PATH).await.status, 200, "round {round}");
        }
        sleep(150 * MS).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn searcher_that_left_while_changes_were_silent_gets_no_request_after_three_seconds() {
    let platform = start_platform().await;
    let hosts = three_hosts(&platform, 28470).await;
    sleep(1_000 * MS).await;
    let leaving = &platform.singles[0];
    platform.singles[1].set_work(20 * MS);
    platform.store.set_fault(StoreFault::SilentChanges);
    leaving.deregister();
    let left_at = Instant::now();
    sleep(1_200 * MS).await;
    platform.store.compact();
    platform.store.set_fault(StoreFault::None);
    while left_at.elapsed() < 6_000 * MS {
        for host in &hosts {
            assert_eq!(host.get(FETCH_PATH).await.status, 200);
        }
        sleep(50 * MS).await;
    }
    let late = leaving.arrivals().iter().filter(|a| a.at > left_at + 3_000 * MS).count();
    assert_eq!(late, 0);
}

/// Plays a restore: the store is away for a second and comes back from the copy of a revision.
async fn restore(platform: &Scene, copy: u64) {
    platform.store.set_fault(StoreFault::Refuse(503));
    sleep(1_000 * MS).await;
    platform.store.restore(copy);
    platform.store.set_fault(StoreFault::None);
}

/// Guards against a configuration that no host adopts (review/12): it is written as the store is back
/// from a copy, and the store then passes the revision that the hosts knew before.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_written_after_the_store_came_back_from_a_copy_is_in_force_in_time() {
    let platform = start_platform().await;
    let hosts = three_hosts(&platform, 28730).await;
    let copy = platform.store.revision();
    platform.singles.iter().for_each(Searcher::register_again);
    sleep(2_000 * MS).await;
    restore(&platform, copy).await;
    let mut config = platform.configuration(9);
    config["routes"][1]["service"] = json!(shard_name(0));
    platform.configure(&config);
    (0..200).for_each(|_| platform.singles[0].register_again());
    sleep(4_000 * MS).await;
    let before: usize = platform.singles.iter().map(Searcher::runs).sum();
    for host in &hosts {
        assert_eq!(host.get(FETCH_PATH).await.status, 200);
    }
    let after: usize = platform.singles.iter().map(Searcher::runs).sum();
    assert_eq!(after, before, "requests were run by the service of the older configuration");
}

/// Guards against a searcher that stays in use (review/14): its entry is removed after the store came back
/// from a copy, and the removal's revision is below that of the entry before.
#[tokio::test(flavor = "multi_thread")]
async fn searcher_that_leaves_after_the_store_came_back_from_a_copy_gets_no_request_in_time() {
    let platform = start_platform().await;
    let hosts = three_hosts(&platform, 28760).await;
    let copy = platform.store.revision();
    let heartbeats = || {
        for _ in 0..100 {
            platform.singles.iter().for_each(Searcher::register_again);
        }
    };
    heartbeats();
    sleep(1_500 * MS).await;
    restore(&platform, copy).await;
    platform.singles.iter().for_each(Searcher::register_again);
    sleep(4_000 * MS).await;
    let leaving = &platform.singles[0];
    leaving.deregister();
    sleep(3_000 * MS).await;
    let before = leaving.runs();
    for _ in 0..4 {
        for host in &hosts {
            assert_eq!(host.get(FETCH_PATH).await.status, 200);
        }
    }
    assert_eq!(leaving.runs(), before);
}

/// Guards against requests to a searcher that left before the store's return, and whose entry the copy
/// still has, and against searchers that are dropped since the copy lacks their entries.
#[tokio::test(flavor = "multi_thread")]
async fn copy_neither_brings_back_a_searcher_that_left_nor_ends_the_use_of_those_that_it_lacks() {
    let platform = start_platform().await;
    let before_all = platform.store.revision();
    // In the copy, the first searcher is listed and the second is not.
    platform.singles[1].deregister();
    let copy = platform.store.revision();
    platform.singles[1].register_again();
    let hosts = three_hosts(&platform, 28770).await;
    assert!(copy > before_all);
    let (left, lacking) = (&platform.singles[0], &platform.singles[1]);
    left.deregister();
    sleep(2_000 * MS).await;
    platform.store.restore(copy);
    let before = left.runs();
    for round in 0..30 {
        // Written again as heartbeats are.
        if round == 10 {
            lacking.register_again();
        }
        for host in &hosts {
            assert_eq!(host.get(FETCH_PATH).await.status, 200, "round {round}");
        }
        sleep(100 * MS).await;
    }
    assert_eq!(left.runs(), before);
    left.register_again();
    wait_until("the searcher that came back is used", || async {
        for host in &hosts {
            host.get(FETCH_PATH).await;
        }
        left.runs() > before
    })
    .await;
}

/// Guards against hosts that stay in the history before the restore: one that starts while the store is
/// away, one that is frozen until it is back, and one that cannot read the store at all.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_that_start_freeze_or_cannot_read_across_the_restore_know_its_content() {
    let platform = start_platform().await;
    let copy = platform.store.revision();
    let (left, stays) = (&platform.singles[0], &platform.singles[1]);
    let reader = Edge::start_ready(&platform, "a", 1, 28780).await;
    let frozen = Edge::start_ready(&platform, "a", 2, 28780).await;
    let store = "127.0.0.1:1".parse().unwrap();
    let blind = Edge::spec(&platform, "a", 3, 28780, "");
    let blind = Edge::start_with(&edge::Spec { store, ..blind });
    wait_until("the host is ready", || blind.is_ready()).await;
    (0..50).for_each(|_| stays.register_again());
    sleep(1_500 * MS).await;
    frozen.signal(Signal::SIGSTOP);
    platform.store.set_fault(StoreFault::Refuse(503));
    let started = Edge::start_ready(&platform, "a", 4, 28780).await;
    sleep(500 * MS).await;
    // It leaves without a trace: the restored store never had its entry.
    left.deregister();
    platform.store.restore(copy);
    platform.store.delete("servers/a0");
    platform.store.set_fault(StoreFault::None);
    let mut config = platform.configuration(9);
    config["routes"][1]["prefix"] = json!("/moved/");
    platform.configure(&config);
    (0..100).for_each(|_| stays.register_again());
    frozen.signal(Signal::SIGCONT);
    sleep(6_000 * MS).await;
    let before = left.runs();
    for (name, host) in
        [("reader", &reader), ("frozen", &frozen), ("blind", &blind), ("started", &started)]
    {
        for _ in 0..6 {
            assert_eq!(host.get("/moved/").await.status, 200, "{name}");
        }
        assert_eq!(host.get(FETCH_PATH).await.status, 404, "{name}");
        assert_eq!(left.runs(), before, "{name}");
    }
}
