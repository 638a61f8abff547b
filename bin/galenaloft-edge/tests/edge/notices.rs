//! What searchers state about themselves in their answers.

use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::caller::Caller;
use galenaloft_platform_standin::scene::FETCH_PATH;
use galenaloft_platform_standin::scene::GATHER_PATH;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::searcher::Fault;
use galenaloft_platform_standin::searcher::Searcher;
use galenaloft_platform_standin::store::StoreFault;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::hosts::Edge;
use crate::hosts::build_call;
use crate::hosts::request_id;
use crate::hosts::wait_until;

const MS: Duration = Duration::from_millis(1);

async fn start_platform() -> Scene {
    Scene::start(&Layout::default()).await.unwrap()
}

/// Sends requests until one was answered by `searcher`, and returns how many had reached it then.
async fn tell(edge: &Edge, searcher: &Searcher) -> usize {
    let before = searcher.arrivals().len();
    wait_until("the searcher has answered", || async {
        edge.get(FETCH_PATH).await;
        searcher.arrivals().len() > before
    })
    .await;
    searcher.arrivals().len()
}

#[tokio::test(flavor = "multi_thread")]
async fn searcher_that_states_in_an_answer_that_it_leaves_gets_no_further_request() {
    let platform = start_platform().await;
    let edge = Edge::start_ready(&platform, "a", 1, 28400).await;
    platform.store.set_fault(StoreFault::Silent);
    let leaving = &platform.singles[0];
    leaving.state_in_answers(&[("Server-Leaving", "1")]);
    let told = tell(&edge, leaving).await;
    for _ in 0..20 {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
    }
    assert_eq!(leaving.arrivals().len(), told);
    let part = &platform.shards[0][0];
    part.state_in_answers(&[("Server-Leaving", "1")]);
    wait_until("the shard's searcher has answered", || async {
        edge.get(GATHER_PATH).await;
        part.stated_at().is_some()
    })
    .await;
    let told = part.arrivals().len();
    for _ in 0..20 {
        assert_eq!(edge.get(GATHER_PATH).await.missing(), 0);
    }
    assert_eq!(part.arrivals().len(), told);
}

#[tokio::test(flavor = "multi_thread")]
async fn other_hosts_and_one_that_starts_send_no_request_to_a_leaving_searcher() {
    let platform = start_platform().await;
    let told = Edge::start_ready(&platform, "a", 1, 28460).await;
    let other = Edge::start_ready(&platform, "a", 2, 28460).await;
    platform.store.set_fault(StoreFault::Silent);
    sleep(2_500 * MS).await;
    let leaving = &platform.singles[0];
    leaving.state_in_answers(&[("Server-Leaving", "1")]);
    tell(&told, leaving).await;
    sleep(300 * MS).await;
    let arrivals = leaving.arrivals().len();
    let started = Edge::start_ready(&platform, "a", 3, 28460).await;
    for edge in [&other, &started] {
        for _ in 0..20 {
            assert_eq!(edge.get(FETCH_PATH).await.status, 200);
        }
    }
    assert_eq!(leaving.arrivals().len(), arrivals);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_searcher_gets_no_request_when_its_entry_returns() {
    let platform = start_platform().await;
    let edge = Edge::start_ready(&platform, "a", 1, 28410).await;
    let leaving = &platform.singles[0];
    leaving.state_in_answers(&[("Server-Leaving", "1")]);
    let told = tell(&edge, leaving).await;
    leaving.deregister();
    sleep(1_500 * MS).await;
    leaving.register_again();
    sleep(1_500 * MS).await;
    for _ in 0..20 {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
    }
    assert_eq!(leaving.arrivals().len(), told);
}

#[tokio::test(flavor = "multi_thread")]
async fn searcher_that_asks_for_a_pause_gets_no_request_until_its_end() {
    let platform = start_platform().await;
    let edge = Edge::start_ready(&platform, "a", 1, 28420).await;
    let paused = &platform.singles[0];
    paused.set_fault(Fault::Busy);
    paused.state_in_answers(&[("Retry-After", "1.5")]);
    let told = tell(&edge, paused).await;
    let stated_at = paused.stated_at().unwrap();
    paused.set_fault(Fault::None);
    wait_until("the paused searcher gets requests again", || async {
        assert_eq!(edge.get(FETCH_PATH).await.status, 200);
        paused.arrivals().len() > told
    })
    .await;
    let pause = paused.arrivals()[told].at.duration_since(stated_at);
    assert!(pause >= 1_490 * MS, "{pause:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_while_every_searcher_asks_for_a_pause() {
    let platform = start_platform().await;
    let edge = Edge::start_ready(&platform, "a", 1, 28430).await;
    for searcher in &platform.singles {
        searcher.set_fault(Fault::Busy);
        searcher.state_in_answers(&[("Retry-After", "5")]);
    }
    for shard in &platform.shards[..4] {
        for searcher in shard {
            searcher.set_fault(Fault::Busy);
            searcher.state_in_answers(&[("Retry-After", "5")]);
        }
    }
    let told = |searcher: &Searcher| searcher.stated_at().is_some();
    wait_until("every such searcher has answered", || async {
        edge.get(FETCH_PATH).await;
        edge.get(GATHER_PATH).await;
        platform.singles.iter().chain(platform.shards[..4].iter().flatten()).all(told)
    })
    .await;
    let arrivals = || {
        let searchers = platform.singles.iter().chain(platform.shards.iter().flatten());
        searchers.map(|searcher| searcher.arrivals().len()).sum::<usize>()
    };
    let before = arrivals();
    for path in [FETCH_PATH, GATHER_PATH] {
        let started_at = Instant::now();
        let answer = edge.get(path).await;
        assert_eq!(answer.status, 503);
        assert!(started_at.elapsed() < 200 * MS, "{:?}", started_at.elapsed());
        let retry_after: f64 = answer.headers["retry-after"].parse().unwrap();
        assert!((3.0..=5.0).contains(&retry_after), "{retry_after}");
    }
    assert_eq!(arrivals(), before);
}

/// Sends requests through all hosts for some time, `rate` a second in total, and asserts that each of
/// them is served.
pub async fn send_for(hosts: &[Edge], time: Duration, rate: u32) {
    let started_at = Instant::now();
    let mut requests = JoinSet::new();
    for number in 0_u32.. {
        let due = started_at + Duration::from_secs(1) * number / rate;
        if due >= started_at + time {
            break;
        }
        sleep_until(due.into()).await;
        let address = hosts[number as usize % hosts.len()].caller_address;
        requests.spawn(async move {
            let mut caller = Caller::connect(address).await.unwrap();
            let id = request_id();
            caller.call(&build_call("GET", FETCH_PATH, &id, b"")).await.unwrap().status
        });
    }
    assert!(requests.join_all().await.into_iter().all(|status| status == 200));
}

/// Returns the most requests that reached a searcher in any four seconds from `from` on.
fn most_in_four_seconds(searcher: &Searcher, from: Instant) -> usize {
    let mut arrivals: Vec<Instant> = searcher.arrivals().iter().map(|a| a.at).collect();
    arrivals.retain(|at| *at >= from);
    let in_window = |begin: &Instant| {
        arrivals.iter().filter(|at| (*begin..*begin + 4_000 * MS).contains(*at)).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_together_keep_the_limit_that_a_searcher_states() {
    let platform = start_platform().await;
    let mut hosts = Vec::new();
    for number in 1..=3 {
        hosts.push(Edge::start_ready(&platform, "a", number, 28440).await);
    }
    let limited = &platform.singles[0];
    platform.singles[1].set_work(20 * MS);
    limited.state_in_answers(&[("Server-Limit", "10")]);
    send_for(&hosts, 9_000 * MS, 90).await;
    let told_at = limited.stated_at().unwrap();
    let most = most_in_four_seconds(limited, told_at + 4_000 * MS);
    assert!((20..=65).contains(&most), "{most} requests in 4 s");
    limited.state_in_answers(&[]);
    let ended_at = Instant::now();
    send_for(&hosts, 3_000 * MS, 90).await;
    let after = limited.arrivals().iter().filter(|a| a.at >= ended_at + 1_000 * MS).count();
    assert!(after >= 40, "{after} requests in 2 s after the end of the limit");
}

#[tokio::test(flavor = "multi_thread")]
async fn searcher_with_a_limit_of_zero_gets_requests_again_when_the_limit_ends() {
    let platform = start_platform().await;
    let hosts = [Edge::start_ready(&platform, "a", 1, 28450).await];
    let limited = &platform.singles[0];
    platform.singles[1].set_work(20 * MS);
    limited.state_in_answers(&[("Server-Limit", "0")]);
    send_for(&hosts, 6_000 * MS, 40).await;
    let told_at = limited.stated_at().unwrap();
    let most = most_in_four_seconds(limited, told_at + 500 * MS);
    assert!(most <= 5, "{most} requests in 4 s");
    limited.state_in_answers(&[]);
    let before = limited.arrivals().len();
    send_for(&hosts, 5_000 * MS, 40).await;
    assert!(limited.arrivals().len() > before + 10);
}
