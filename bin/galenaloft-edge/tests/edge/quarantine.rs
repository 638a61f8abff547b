//! Requests that crash searchers.

use std::time::Duration;

use galenaloft_platform_standin::caller::Answer;
use galenaloft_platform_standin::scene::FETCH_PATH;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::SINGLE;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::searcher::Fault;
use galenaloft_platform_standin::searcher::Searcher;
use galenaloft_platform_standin::searcher::Spec;
use galenaloft_soak::edge::Signal;
use tokio::time::sleep;

use crate::hosts::Edge;
use crate::hosts::wait_until;

/// Time in which a host that starts learns what the others know, well within the 4 s after which the
/// platform counts it.
const LEARNING_TIME: Duration = Duration::from_secs(2);

/// Starts a searcher of the single service that takes the place of those that crashed.
async fn start_sound_searcher(platform: &Scene) -> Searcher {
    let spec = Spec {
        id: "sound".to_owned(),
        service: SINGLE.to_owned(),
        zone: "a".to_owned(),
        slots: 6,
        work: Duration::from_millis(5),
        body: b"an archived record".to_vec(),
        advertised: None,
    };
    Searcher::start(spec, &platform.store).await.unwrap()
}

/// Returns whether a host refuses a request for longer than searchers take to come back.
fn is_refused_for_long(answer: &Answer) -> bool {
    let retry_after = answer.headers.get("retry-after").and_then(|s| s.parse::<f64>().ok());
    answer.status == 503 && retry_after.is_some_and(|seconds| seconds >= 60.0)
}

/// Guards against hosts that are restarted, or start later, and send a request on that the others refuse
/// since it has crashed three searchers.
#[tokio::test(flavor = "multi_thread")]
async fn host_that_starts_refuses_a_request_that_crashed_searchers_before() {
    let path = format!("{FETCH_PATH}crashes");
    let layout = Layout { shards: 0, singles: 4, ..Layout::default() };
    let platform = Scene::start(&layout).await.unwrap();
    let mut restarted = Edge::start_ready(&platform, "a", 1, 28650).await;
    let running = Edge::start_ready(&platform, "b", 2, 28650).await;
    sleep(LEARNING_TIME).await;
    platform.singles.iter().for_each(|searcher| searcher.set_fault(Fault::Crash));
    for _ in 0..2 {
        assert_eq!(restarted.get(&path).await.status, 502);
    }
    let sound = start_sound_searcher(&platform).await;
    wait_until("the new searcher is used", || async {
        running.get(&format!("{FETCH_PATH}other")).await.status == 200
    })
    .await;
    assert!(is_refused_for_long(&running.get(&path).await));

    restarted.signal(Signal::SIGTERM);
    assert!(restarted.exit().await.success());
    let restarted = Edge::start_ready(&platform, "a", 1, 28650).await;
    let later = Edge::start_ready(&platform, "c", 3, 28650).await;
    sleep(LEARNING_TIME).await;
    for host in [&restarted, &later, &running] {
        assert!(is_refused_for_long(&host.get(&path).await));
        assert_eq!(host.get(&format!("{FETCH_PATH}other")).await.status, 200);
    }
    assert!(sound.arrivals().iter().all(|arrival| arrival.path != path));
}
