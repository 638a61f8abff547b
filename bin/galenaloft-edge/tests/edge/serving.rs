//! What callers get from one host, and what reaches the searchers.

use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::caller::Caller;
use galenaloft_platform_standin::scene::FETCH_PATH;
use galenaloft_platform_standin::scene::FILE_PATH;
use galenaloft_platform_standin::scene::GATHER_PATH;
use galenaloft_platform_standin::scene::HOST;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::searcher::Fault;
use galenaloft_platform_standin::searcher::Searcher;
use tokio::time::sleep;

use crate::hosts::Edge;
use crate::hosts::call;
use crate::hosts::eventually;
use crate::hosts::request_id;

const MS: Duration = Duration::from_millis(1);

async fn scene() -> Scene {
    Scene::start(&Layout::default()).await.unwrap()
}

fn set_all(searchers: &[Searcher], fault: Fault) {
    searchers.iter().for_each(|searcher| searcher.set_fault(fault));
}

fn runs(searchers: &[Searcher]) -> usize {
    searchers.iter().map(Searcher::runs).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_gathers_the_greatest_records_of_every_shard() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28000).await;
    let answer = edge.get(&format!("{GATHER_PATH}1?x=y")).await;
    assert_eq!((answer.status, answer.missing(), answer.parts().len()), (200, 0, 10));
    assert_eq!(answer.body, scene.expected(0..10, 50));
    let arrival = &scene.shards.iter().flatten().flat_map(Searcher::arrivals).next().unwrap();
    assert_eq!(arrival.path, format!("{GATHER_PATH}1?x=y"));
    let left: u64 = arrival.headers["deadline-ms"].parse().unwrap();
    assert!((900..=1_000).contains(&left), "{left}");
    assert!(arrival.headers["expected-instance"].starts_with('s'));
}

#[tokio::test(flavor = "multi_thread")]
async fn shards_without_a_searcher_are_left_out_and_counted_down_to_the_floor() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28010).await;
    scene.shards[3].iter().for_each(Searcher::crash);
    let answer = edge.get(GATHER_PATH).await;
    assert_eq!((answer.status, answer.missing(), answer.parts().len()), (200, 1, 9));
    assert_eq!(answer.body, scene.expected((0..10).filter(|shard| *shard != 3), 50));
    scene.shards[..3].iter().flatten().for_each(Searcher::crash);
    let answer = edge.get(GATHER_PATH).await;
    assert!(answer.status >= 500, "{answer:?}");
    assert!(answer.took < 500 * MS, "{:?}", answer.took);
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_whole_answer_never_reach_a_caller() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28020).await;
    for fault in [
        Fault::Truncated,
        Fault::Garbage,
        Fault::OtherRequest,
        Fault::Encoded,
        Fault::Lost,
        Fault::Error,
        Fault::Unframed,
        Fault::Twice,
        Fault::Busy,
    ] {
        scene.shards.iter().for_each(|shard| shard[0].set_fault(fault));
        scene.singles[0].set_fault(fault);
        for _ in 0..3 {
            let answer = edge.get(GATHER_PATH).await;
            assert_eq!(answer.status, 200, "{fault:?}");
            assert_eq!(answer.parts().len() + answer.missing(), 10, "{fault:?}");
            if answer.missing() == 0 {
                assert_eq!(answer.body, scene.expected(0..10, 50), "{fault:?}");
            }
            let answer = edge.get(FETCH_PATH).await;
            assert_eq!(answer.status, 200, "{fault:?}");
            assert_eq!(answer.body, b"an archived record", "{fault:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_not_sent_again_unless_it_is_idempotent() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28030).await;
    for fault in [Fault::Lost, Fault::Garbage, Fault::Truncated, Fault::OtherRequest] {
        let before = runs(&scene.singles);
        set_all(&scene.singles, fault);
        let answer = edge.call("POST", FILE_PATH, b"a filing").await;
        assert!(matches!(answer.status, 502 | 504), "{fault:?}: {}", answer.status);
        assert_eq!(runs(&scene.singles) - before, 1, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_not_run_goes_to_another_searcher_or_is_refused() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28040).await;
    scene.singles[0].set_fault(Fault::Busy);
    for _ in 0..4 {
        assert_eq!(edge.call("POST", FILE_PATH, b"a filing").await.status, 200);
    }
    assert_eq!((scene.singles[0].runs(), scene.singles[1].runs()), (0, 4));
    assert_eq!(scene.singles[1].arrivals()[0].body, b"a filing");
    scene.singles[1].set_fault(Fault::Busy);
    let answer = edge.call("POST", FILE_PATH, b"a filing").await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers["retry-after"].parse::<f64>().unwrap() > 0.0);
    assert_eq!(runs(&scene.singles), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_address_that_another_searcher_has_by_now_runs_nothing() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28050).await;
    scene.singles[0].give_address_away();
    for _ in 0..4 {
        assert_eq!(edge.call("POST", FILE_PATH, b"a filing").await.status, 200);
    }
    assert_eq!(scene.singles[0].runs(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_searcher_costs_a_query_no_part() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28060).await;
    for _ in 0..10 {
        edge.get(GATHER_PATH).await;
    }
    scene.shards[0][0].set_work(400 * MS);
    scene.shards[1][1].set_work(400 * MS);
    for _ in 0..5 {
        let answer = edge.get(GATHER_PATH).await;
        assert_eq!((answer.status, answer.missing()), (200, 0));
        assert!(answer.took < 75 * MS, "{:?}", answer.took);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn parts_that_are_late_do_not_hold_an_answer_that_meets_its_floor() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28070).await;
    scene.shards[0].iter().for_each(|searcher| searcher.set_work(700 * MS));
    let answer = edge.get(GATHER_PATH).await;
    assert_eq!((answer.status, answer.missing()), (200, 1));
    assert!(answer.took < 80 * MS, "{:?}", answer.took);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_cancels_its_parts() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28080).await;
    let all: Vec<&Searcher> = scene.shards.iter().flatten().collect();
    all.iter().for_each(|searcher| searcher.set_work(900 * MS));
    let mut caller = Caller::connect(edge.callers).await.unwrap();
    caller.send(&call("GET", GATHER_PATH, &request_id(), b"")).await.unwrap();
    sleep(50 * MS).await;
    drop(caller);
    let left = Instant::now();
    eventually("every part is cancelled", || async {
        let runs: usize = all.iter().map(|searcher| searcher.runs()).sum();
        let cancelled: usize = all.iter().map(|searcher| searcher.cancelled()).sum();
        runs >= 10 && cancelled == runs
    })
    .await;
    assert!(left.elapsed() < 500 * MS, "{:?}", left.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_not_proper_are_told_so() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28090).await;
    assert_eq!(edge.get("/unknown/").await.status, 404);
    assert_eq!(edge.call("POST", FILE_PATH, &[b'x'; 5_000]).await.status, 413);
    let mut caller = Caller::connect(edge.callers).await.unwrap();
    let head = format!("GET {FETCH_PATH} HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
    caller.send_bytes(head.as_bytes()).await.unwrap();
    assert_eq!(caller.read(Instant::now()).await.unwrap().status, 400);
    let mut caller = Caller::connect(edge.callers).await.unwrap();
    let long = "x".repeat(40_000);
    let head = format!("GET {FETCH_PATH} HTTP/1.1\r\nHost: {HOST}\r\nLong: {long}\r\n\r\n");
    caller.send_bytes(head.as_bytes()).await.unwrap();
    assert_eq!(caller.read(Instant::now()).await.unwrap().status, 431);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_in_chunks_reaches_the_searcher_whole() {
    let scene = scene().await;
    let edge = Edge::ready(&scene, "a", 1, 28100).await;
    let mut caller = Caller::connect(edge.callers).await.unwrap();
    let head = format!(
        "POST {FILE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: 00c\r\n\
         Transfer-Encoding: chunked\r\nConnection: x-own\r\nX-Own: 1\r\nX-Other: 2\r\n\r\n"
    );
    caller.send_bytes(head.as_bytes()).await.unwrap();
    caller.send_bytes(b"5\r\nfirst\r\n7\r\n second\r\n0\r\n\r\n").await.unwrap();
    assert_eq!(caller.read(Instant::now()).await.unwrap().status, 200);
    let arrival = scene.singles.iter().flat_map(Searcher::arrivals).next().unwrap();
    assert_eq!(arrival.body, b"first second");
    assert_eq!(arrival.headers.get("x-other").map(String::as_str), Some("2"));
    assert!(!arrival.headers.contains_key("x-own"));
}
