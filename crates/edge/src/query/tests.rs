use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_adapter::caller::CallerRequest;
use galenaloft_config::edge::EdgeSettings;
use galenaloft_platform_standin::scene::FETCH_PATH;
use galenaloft_platform_standin::scene::GATHER_PATH;
use galenaloft_platform_standin::scene::HOST;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::searcher::Fault;
use galenaloft_platform_standin::searcher::Searcher;
use galenaloft_policy::quarantine::Crash;
use galenaloft_policy::quarantine::QuarantineStatus;
use galenaloft_policy::route::Target;
use galenaloft_runtime::clock::now;
use hyper::Request;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::group::ShardGroup;
use super::*;
use crate::api;
use crate::host::Host;
use crate::peers::Aggregator;
use crate::store;

const MS: Duration = Duration::from_millis(1);

/// Starts a host that follows the store of a scene and has no peers.
async fn start_host(scene: &Scene) -> Arc<Host> {
    let text = format!(
        "host: h1\nzone: a\nlisten:\n  callers: 127.0.0.1:1\n  readiness: 127.0.0.1:2\n  peers: \
         127.0.0.1:3\n  metrics: 127.0.0.1:4\nstore: {}\nextra-requests: {{ ratio: 0.2, slack: 54, \
         window-seconds: 10 }}\n",
        scene.store_address
    );
    let host = Arc::new(Host::new(EdgeSettings::parse("h1.yaml", &text).unwrap(), 1));
    let (_, rx) = mpsc::unbounded_channel();
    tokio::spawn(store::follow(host.clone(), rx));
    while host.config().is_none() || !host.searchers_loaded.load(Ordering::Relaxed) {
        sleep(10 * MS).await;
    }
    host
}

fn call(path: &str, host: &str) -> Request<Bytes> {
    let req = Request::get(path).header("Host", host).header("Request-Id", "0123456789abcdef");
    req.header("Deadline-Ms", "2000").body(Bytes::new()).unwrap()
}

fn routed(host: &Host, path: &str, named: &str) -> RoutedRequest {
    let inbound = CallerRequest::decode(call(path, named)).unwrap();
    let config = host.config().unwrap();
    let route = config.route(&inbound.host, inbound.path()).cloned().unwrap();
    RoutedRequest::new(inbound, route, config, now())
}

fn record_crashes(host: &Host, request: &RoutedRequest, searchers: &[&str]) {
    for searcher in searchers {
        let crash = Crash { fingerprint: request.fingerprint(), searcher: (*searcher).into() };
        assert!(host.record_crash(&crash, None, now()));
    }
}

fn arrivals<'a>(searchers: impl IntoIterator<Item = &'a Searcher>) -> usize {
    searchers.into_iter().map(|searcher| searcher.arrivals().len()).sum()
}

/// Runs a query as the aggregator of all shards.
async fn aggregate(host: &Arc<Host>, request: &RoutedRequest) {
    let Target::Gather(gather) = &request.route.target else {
        panic!("the route has no shards");
    };
    let aggregator = Aggregator {
        host: "h1".into(),
        address: host.settings.listen.peers,
        capacity: host.capacity(),
    };
    let count = gather.shards.len();
    let group = ShardGroup { aggregator, shards: (0..count).collect() };
    let allowed = vec![Vec::new(); count];
    let query = group.query(request, gather, &allowed, 1, request.deadline, now());
    assert!(answer_group(host, query).await.is_some());
}

/// Guards against aggregators that report a crash under another fingerprint than the one by which the
/// coordinators recognize the request, so that it is never refused.
#[tokio::test]
async fn aggregators_recognize_a_request_as_its_coordinator_does() {
    for (path, named) in [
        (GATHER_PATH.to_owned(), HOST.to_owned()),
        (GATHER_PATH.to_owned(), format!("{HOST}:8104")),
        (format!("http://{HOST}{GATHER_PATH}"), "another.example".to_owned()),
    ] {
        let layout = Layout { shards: 2, replicas: 1, ..Layout::default() };
        let scene = Scene::start(&layout).await.unwrap();
        let host = start_host(&scene).await;
        scene.shards.iter().flatten().for_each(|searcher| searcher.set_fault(Fault::Crash));
        let request = routed(&host, &path, &named);
        aggregate(&host, &request).await;
        sleep(400 * MS).await;
        let status = request.quarantine_status(&host, now());
        assert_eq!(status, QuarantineStatus::Suspected, "{path} of {named}");
    }
}

/// Guards against aggregators that send a suspected request to a second searcher while the first one
/// still runs it, so that it crashes two at a time.
#[tokio::test]
async fn aggregators_send_a_suspected_request_to_one_searcher_at_a_time() {
    let layout = Layout { shards: 4, work: 150 * MS, ..Layout::default() };
    let scene = Scene::start(&layout).await.unwrap();
    let host = start_host(&scene).await;
    let request = routed(&host, GATHER_PATH, HOST);
    aggregate(&host, &request).await;
    let hedged = arrivals(scene.shards.iter().flatten());
    assert!(hedged > 4, "slow searchers are hedged: {hedged} requests");
    let request = routed(&host, GATHER_PATH, HOST);
    record_crashes(&host, &request, &["another"]);
    aggregate(&host, &request).await;
    assert_eq!(arrivals(scene.shards.iter().flatten()) - hedged, 4);
}

/// Guards against requests that were waiting for a searcher when they became known to crash searchers,
/// and were sent all the same, seconds later.
#[tokio::test]
async fn request_that_waits_for_a_searcher_is_refused_once_it_is_known_to_crash_them() {
    let layout = Layout { shards: 0, singles: 1, work: 600 * MS, ..Layout::default() };
    let scene = Scene::start(&layout).await.unwrap();
    let mut config = scene.configuration(2);
    config["services"][0]["max_conns"] = 8.into();
    scene.configure(&config);
    let host = start_host(&scene).await;
    let path = format!("{FETCH_PATH}crashes");
    let first = tokio::spawn(api::answer(host.clone(), call(FETCH_PATH, HOST)));
    sleep(100 * MS).await;
    let waiting = tokio::spawn(api::answer(host.clone(), call(&path, HOST)));
    sleep(100 * MS).await;
    record_crashes(&host, &routed(&host, &path, HOST), &["s1", "s2", "s3"]);
    assert_eq!(first.await.unwrap().status(), 200);
    let refused = waiting.await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["retry-after"], "600.000");
    assert_eq!(arrivals(&scene.singles), 1);
}
