//! Searchers that state their load, and searchers that warm up.

use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::scene::FETCH_PATH;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::SINGLE;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::searcher::Searcher;
use serde_json::json;
use tokio::time::sleep;

use crate::hosts::Edge;
use crate::hosts::wait_until;
use crate::notices::send_for;

const MS: Duration = Duration::from_millis(1);

/// Requests a second that searchers of the single service take while they warm up.
const WARMUP_RATE: f64 = 10.0;

/// Returns the most requests that reached a searcher in any second of the time from `from` to `to`.
fn most_in_a_second(searcher: &Searcher, from: Instant, to: Instant) -> usize {
    let mut arrivals: Vec<Instant> = searcher.arrivals().iter().map(|a| a.at).collect();
    arrivals.retain(|at| (from..to).contains(at));
    let in_window = |begin: &Instant| {
        arrivals.iter().filter(|at| (*begin..*begin + 1_000 * MS).contains(*at)).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or_default()
}

/// Bounds the requests to searchers of the single service while they warm up.
fn bound_warmup(platform: &Scene) {
    let mut config = platform.configuration(2);
    for service in config["services"].as_array_mut().unwrap() {
        if service["name"] == SINGLE {
            service["warmup_s"] = json!(5);
            service["warmup_per_s"] = json!(WARMUP_RATE);
        }
    }
    platform.configure(&config);
}

/// Guards against a host that waits in the queue of the fastest searcher while another one is idle.
#[tokio::test(flavor = "multi_thread")]
async fn searcher_that_states_a_long_queue_gets_few_requests_while_another_is_idle() {
    let platform = Scene::start(&Layout::default()).await.unwrap();
    let edge = Edge::start_ready(&platform, "a", 1, 28600).await;
    let (queued, idle) = (&platform.singles[0], &platform.singles[1]);
    idle.set_work(20 * MS);
    idle.state_load();
    for _ in 0..20 {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
    }
    queued.state_in_answers(&[("Server-Load", "6,60,6")]);
    wait_until("the queue is stated", || async {
        edge.get(FETCH_PATH).await;
        queued.stated_at().is_some()
    })
    .await;
    let (before, others) = (queued.runs(), idle.runs());
    for _ in 0..40 {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
    }
    let (queued, idle) = (queued.runs() - before, idle.runs() - others);
    assert!(queued <= 5 && idle >= 35, "{queued} to the queue, {idle} to the idle searcher");
}

/// Guards against hosts that do not know of each other's requests to a searcher that warms up, and against
/// a bound that outlives the warm-up.
#[tokio::test(flavor = "multi_thread")]
async fn searcher_that_is_listed_cold_gets_no_more_than_it_takes_until_it_is_warm() {
    let platform = Scene::start(&Layout::default()).await.unwrap();
    let mut hosts = Vec::new();
    for number in 1..=3 {
        hosts.push(Edge::start_ready(&platform, "a", number, 28620).await);
    }
    platform.singles[1].set_work(20 * MS);
    let cold = &platform.singles[0];
    bound_warmup(&platform);
    cold.deregister();
    sleep(2_000 * MS).await;
    let listed_at = Instant::now();
    let warm_at = listed_at + 6_000 * MS;
    cold.warm_up(6_000 * MS);
    cold.register_again();
    send_for(&hosts, 9_000 * MS, 90).await;
    let most = most_in_a_second(cold, listed_at, warm_at);
    assert!(most <= (WARMUP_RATE * 1.5 + 5.0) as usize, "{most} requests in a second");
    let after = most_in_a_second(cold, warm_at + 500 * MS, Instant::now());
    assert!(after >= 30, "{after} requests in a second after the warm-up");
}

/// Guards against a searcher that becomes cold while it is listed and keeps its requests.
#[tokio::test(flavor = "multi_thread")]
async fn searcher_that_becomes_cold_again_gets_no_more_than_it_takes_once_its_entry_says_so() {
    let platform = Scene::start(&Layout::default()).await.unwrap();
    let mut hosts = Vec::new();
    for number in 1..=3 {
        hosts.push(Edge::start_ready(&platform, "a", number, 28640).await);
    }
    platform.singles[1].set_work(20 * MS);
    let cold = &platform.singles[0];
    bound_warmup(&platform);
    send_for(&hosts, 2_000 * MS, 90).await;
    let cold_at = Instant::now();
    cold.warm_up(5_000 * MS);
    send_for(&hosts, 5_000 * MS, 90).await;
    let most = most_in_a_second(cold, cold_at + 500 * MS, cold_at + 5_000 * MS);
    assert!(most <= (WARMUP_RATE * 1.5 + 5.0) as usize, "{most} requests in a second");
    let known_from = cold_at + 500 * MS;
    let served = cold.arrivals().iter().filter(|arrival| arrival.at >= known_from).count();
    assert!(served >= 10, "{served} requests while it warms up");
}
