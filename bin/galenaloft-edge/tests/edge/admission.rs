//! Refusal of requests that the searchers have no room for.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::caller::Answer;
use galenaloft_platform_standin::caller::Caller;
use galenaloft_platform_standin::scene::FETCH_PATH;
use galenaloft_platform_standin::scene::GATHER_PATH;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::searcher::Fault;
use galenaloft_platform_standin::searcher::Searcher;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::hosts::Edge;
use crate::hosts::wait_until;

const MS: Duration = Duration::from_millis(1);

/// Requests that are enough to learn that every searcher rejects them.
const REQUESTS: usize = 300;

const BY_COST: &str = "admission: by-cost\n";

async fn start_ready(platform: &Scene, zone: &str, host: u8, port: u16, more: &str) -> Edge {
    let edge = Edge::start_with(&Edge::spec(platform, zone, host, port, more));
    wait_until("the host is ready", || edge.is_ready()).await;
    edge
}

fn arrivals(searchers: &[Searcher]) -> usize {
    searchers.iter().map(|searcher| searcher.arrivals().len()).sum()
}

fn all_arrivals(platform: &Scene) -> usize {
    platform.shards.iter().map(|shard| arrivals(shard)).sum::<usize>() + arrivals(&platform.singles)
}

fn set_all(platform: &Scene, fault: Fault) {
    platform.shards.iter().flatten().for_each(|searcher| searcher.set_fault(fault));
    platform.singles.iter().for_each(|searcher| searcher.set_fault(fault));
}

/// Returns how many requests the host says that it refused before it sent them.
async fn refusals(edge: &Edge) -> usize {
    let metrics = SocketAddr::new(edge.caller_address.ip(), edge.caller_address.port() + 3);
    let mut reader = Caller::connect(metrics).await.unwrap();
    reader.send_bytes(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
    let page = String::from_utf8(reader.read(Instant::now()).await.unwrap().body).unwrap();
    let lines = page.lines().filter(|line| line.starts_with("galenaloft_refusals_total"));
    let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
    counts.sum()
}

/// Sends requests while every searcher rejects them, and checks those that were refused before they
/// were sent. Returns how many these are.
async fn send_rejected(platform: &Scene, edge: &Edge, path: &str) -> usize {
    set_all(platform, Fault::Busy);
    let (mut refused, mut arrived) = (0, 0);
    for _ in 0..REQUESTS {
        let (arrivals, refusals_before) = (all_arrivals(platform), refusals(edge).await);
        let answer = edge.get(path).await;
        // Some searchers may not have rejected their part yet when too many others have.
        assert!(matches!(answer.status, 502 | 503), "{answer:?}");
        sleep(10 * MS).await;
        if refusals(edge).await > refusals_before {
            assert_refused(&answer);
            refused += 1;
            arrived += all_arrivals(platform) - arrivals;
        }
    }
    set_all(platform, Fault::None);
    // Late arrivals of cancelled parts of the request before may be among them.
    assert!(arrived <= refused / 2, "{path}: {arrived} arrivals with {refused} refusals");
    refused
}

fn assert_refused(answer: &Answer) {
    assert_eq!(answer.status, 503, "{answer:?}");
    let seconds: f64 = answer.headers["retry-after"].parse().unwrap();
    assert!((0.05..=5.0).contains(&seconds), "{seconds}");
}

async fn assert_serves_again(edge: &Edge, path: &str) {
    wait_until("full service is back", || async {
        for _ in 0..20 {
            if edge.get(path).await.status != 200 {
                return false;
            }
        }
        true
    })
    .await;
}

/// Guards against queries and requests whose parts fill the queues of busy searchers.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_before_they_are_sent_while_all_searchers_are_busy() {
    let platform = Scene::start(&Layout::default()).await.unwrap();
    let edge = start_ready(&platform, "a", 1, 28700, BY_COST).await;
    for path in [GATHER_PATH, FETCH_PATH] {
        assert_serves_again(&edge, path).await;
        // A twentieth of the requests is always sent, and all are until the host has learned.
        let refused = send_rejected(&platform, &edge, path).await;
        assert!(refused > REQUESTS / 4, "{path}: {refused}");
        assert_serves_again(&edge, path).await;
    }
}

/// The setting is off by default, and nothing may be refused then that was not sent.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_setting_every_request_is_sent() {
    let platform = Scene::start(&Layout::default()).await.unwrap();
    let edge = start_ready(&platform, "a", 1, 28710, "").await;
    for path in [GATHER_PATH, FETCH_PATH] {
        assert_eq!(send_rejected(&platform, &edge, path).await, 0, "{path}");
    }
}

/// Guards against coordinators that learn nothing of the searchers that aggregators query for them.
#[tokio::test(flavor = "multi_thread")]
async fn host_refuses_by_the_shares_that_its_aggregator_reports() {
    let layout = Layout { zones: vec!["b".to_owned()], ..Layout::default() };
    let platform = Scene::start(&layout).await.unwrap();
    let _aggregator = start_ready(&platform, "b", 2, 28720, BY_COST).await;
    // Its own zone has no searchers, so it is not ready, but it serves callers.
    let edge = Edge::start_with(&Edge::spec(&platform, "a", 1, 28720, BY_COST));
    wait_until("the host accepts callers", || async {
        TcpStream::connect(edge.caller_address).await.is_ok()
    })
    .await;
    assert_serves_again(&edge, GATHER_PATH).await;
    let refused = send_rejected(&platform, &edge, GATHER_PATH).await;
    assert!(refused > REQUESTS / 4, "{refused}");
    assert_serves_again(&edge, GATHER_PATH).await;
}
