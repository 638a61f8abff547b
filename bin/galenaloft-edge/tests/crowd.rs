//! Memory and descriptors of an edge host under many hostile callers. The process runs with the
//! memory of a small machine.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::caller::Call;
use galenaloft_platform_standin::caller::Caller;
use galenaloft_platform_standin::scene::FETCH_PATH;
use galenaloft_platform_standin::scene::FILE_PATH;
use galenaloft_platform_standin::scene::HOST;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::OTHER_SINGLE;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::scene::configuration_with;
use galenaloft_platform_standin::searcher::Searcher;
use galenaloft_platform_standin::searcher::Spec;
use galenaloft_soak::crowd::Crowd;
use galenaloft_soak::crowd::Load;
use galenaloft_soak::crowd::open_descriptors;
use galenaloft_soak::crowd::peak_resident_kb;
use galenaloft_soak::edge;
use tokio::sync::Mutex;
use tokio::time::sleep;
use tokio::time::timeout;

/// Callers of a crowd.
const CALLERS: usize = 160;

/// Greatest size of a head and of a body, in bytes.
const MAX_BYTES: usize = 262_144;

/// Memory of the machine, in MB. The resident memory of the process stays below it.
const MEMORY_MB: u64 = 32;

/// Bytes of an answer of the annex.
const LARGE_ANSWER: usize = 512 * 1024;

/// Most descriptors that stay open while the crowd holds its connections: those of an idle host and
/// half of the crowd.
const MAX_DESCRIPTORS: usize = 40 + CALLERS / 2;

/// Longest wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Lets one test run at a time, so that their crowds do not add up.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn start(platform: &Scene, port: u16) -> edge::Edge {
    let spec = edge::Spec {
        binary: env!("CARGO_BIN_EXE_galenaloft-edge").into(),
        zone: "a".to_owned(),
        number: 1,
        port,
        store: platform.store_address,
        log: None,
        extra_settings: format!("memory-mb: {MEMORY_MB}\n"),
    };
    let edge = edge::Edge::start(&spec).unwrap();
    wait_until("the host is ready", || edge.is_ready()).await;
    edge
}

async fn start_platform(fetched: &str) -> Scene {
    let platform = Scene::start(&Layout::default()).await.unwrap();
    let spec = Spec {
        id: "annex0".to_owned(),
        service: OTHER_SINGLE.to_owned(),
        zone: "a".to_owned(),
        slots: 26,
        work: Duration::from_millis(1),
        body: vec![b'y'; LARGE_ANSWER],
        advertised: None,
    };
    Searcher::start(spec, &platform.store).await.unwrap();
    let mut config = configuration_with(platform.shards.len(), 2, fetched);
    config["limits"]["max_body_bytes"] = MAX_BYTES.into();
    config["limits"]["max_header_bytes"] = MAX_BYTES.into();
    platform.configure(&config);
    platform
}

fn head(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: c0\r\nDeadline-Ms: 2000\r\n")
}

/// Sends one request on a new connection and returns the status of its answer.
async fn ask(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<u16> {
    let call = Call { method, host: HOST, path, id: "o1", deadline: Duration::from_secs(1), body };
    let answer = async { Caller::connect(address).await?.call(&call).await };
    timeout(Duration::from_secs(2), answer).await.ok()?.ok().map(|answer| answer.status)
}

async fn wait_until<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a crowd, and checks the process while the crowd holds its connections.
async fn withstand(platform: &Scene, port: u16, head: &str, loads: &[Load]) {
    let mut edge = start(platform, port).await;
    let pid = edge.id().unwrap();
    println!(
        "idle: {} KB, {} descriptors",
        peak_resident_kb(pid).unwrap(),
        open_descriptors(pid).unwrap()
    );
    for load in loads {
        let crowd = Crowd::send(edge.callers, CALLERS, head, *load).await;
        let peak = peak_resident_kb(pid).unwrap();
        println!("{load:?}: peak {peak} KB, {} descriptors", open_descriptors(pid).unwrap());
        assert!(edge.try_exit().unwrap().is_none(), "the host ended");
        assert!(peak <= MEMORY_MB * 1024, "{load:?}: {peak} KB resident");
        let small = vec![b'x'; 4 * 1024];
        wait_until("a small request is answered", || async {
            ask(edge.callers, "POST", FILE_PATH, &small).await == Some(200)
        })
        .await;
        wait_until("the host closes connections", || async {
            open_descriptors(pid).unwrap() <= MAX_DESCRIPTORS
        })
        .await;
        assert!(!crowd.connections.is_empty());
        drop(crowd);
        wait_until("a request without a body is answered", || async {
            ask(edge.callers, "GET", FETCH_PATH, b"").await == Some(200)
        })
        .await;
        let large = vec![b'x'; MAX_BYTES];
        wait_until("a body of the greatest size is answered", || async {
            ask(edge.callers, "POST", FILE_PATH, &large).await == Some(200)
        })
        .await;
        let peak = peak_resident_kb(pid).unwrap();
        assert!(peak <= MEMORY_MB * 1024, "{load:?}: {peak} KB resident afterwards");
    }
}

/// Guards against memory that grows with the callers whose bodies stop one byte short.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_length_stay_within_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let platform = start_platform("archive").await;
    let loads = [
        Load::Declared { length: MAX_BYTES, piece: MAX_BYTES },
        Load::Declared { length: MAX_BYTES, piece: 8 * 1024 },
    ];
    withstand(&platform, 28400, &head("POST", FILE_PATH), &loads).await;
}

/// Guards against memory that grows with the callers whose chunked bodies do not end.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_without_an_end_stay_within_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let platform = start_platform("archive").await;
    let loads = [Load::Chunked { length: MAX_BYTES, chunk: 32 * 1024 }];
    withstand(&platform, 28410, &head("POST", FILE_PATH), &loads).await;
}

/// Guards against one object in memory for each chunk, which made bodies of one-byte chunks many
/// times as large as their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn small_chunks_without_an_end_stay_within_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let platform = start_platform("archive").await;
    let loads = [Load::Chunked { length: 30_000, chunk: 1 }];
    withstand(&platform, 28420, &head("POST", FILE_PATH), &loads).await;
}

/// Guards against read buffers of heads that do not end, which were bounded only one by one.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_stay_within_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let platform = start_platform("archive").await;
    let loads = [Load::Head(200 * 1024)];
    withstand(&platform, 28430, &head("POST", FILE_PATH), &loads).await;
}

/// Guards against answers that are kept in memory for as long as their callers do not read them.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_never_read_stay_within_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let platform = start_platform(OTHER_SINGLE).await;
    withstand(&platform, 28440, &head("GET", FETCH_PATH), &[Load::Unread]).await;
}
