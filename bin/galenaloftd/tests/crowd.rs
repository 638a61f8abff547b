//! Memory and descriptors of an entry host under many hostile callers. The process runs with the
//! memory of a small machine.

// The fleet has more helpers than these tests use.
#[allow(dead_code)]
mod fleet;

use std::time::Duration;

use galenaloft_http::Connection;
use galenaloft_http::hyper::Method;
use galenaloft_soak::crowd::Crowd;
use galenaloft_soak::crowd::Load;
use galenaloft_soak::crowd::open_descriptors;
use galenaloft_soak::crowd::peak_resident_kb;
use tokio::sync::Mutex;

use crate::fleet::Fleet;

/// Callers of a crowd.
const CALLERS: usize = 320;

/// Greatest size of a body, in bytes.
const MAX_BODY: usize = 262_144;

/// Memory of the machine, in MB. The resident memory of the process stays below it.
const MEMORY_MB: u64 = 64;

/// Most descriptors that stay open while the crowd holds its connections: those of an idle host and
/// half of the crowd.
const MAX_DESCRIPTORS: usize = 100 + CALLERS / 2;

/// Path of searches.
const SEARCH_PATH: &str = "/v1/search";

/// Lets one test run at a time, so that their crowds do not add up.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn withstand(port: u16, head: &str, loads: &[Load]) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let limits = format!(
        "read-timeout: 3s, connections: 1000, body-bytes: {MAX_BODY}, memory-mb: {MEMORY_MB}"
    );
    let fleet = Fleet::start_with_limits(port, 1, &limits).await;
    let pid = fleet.id(0);
    println!(
        "idle: {} KB, {} descriptors",
        peak_resident_kb(pid).unwrap(),
        open_descriptors(pid).unwrap()
    );
    for load in loads {
        let crowd = Crowd::send(fleet.callers(0), CALLERS, head, *load).await;
        let peak = peak_resident_kb(pid).unwrap();
        println!("{load:?}: peak {peak} KB, {} descriptors", open_descriptors(pid).unwrap());
        assert!(peak <= MEMORY_MB * 1024, "{load:?}: {peak} KB resident");
        let served = async |fleet: &Fleet| fleet.search(0).await.is_ok();
        fleet.until("a search is answered", served).await;
        let closed = async |_: &Fleet| open_descriptors(pid).unwrap() <= MAX_DESCRIPTORS;
        fleet.until("the host closes connections", closed).await;
        assert!(!crowd.connections.is_empty());
        drop(crowd);
        fleet.until("a search is answered afterwards", served).await;
        let large = async |fleet: &Fleet| large_body_is_read(fleet).await;
        fleet.until("a body of the greatest size is read", large).await;
        let peak = peak_resident_kb(pid).unwrap();
        assert!(peak <= MEMORY_MB * 1024, "{load:?}: {peak} KB resident afterwards");
    }
}

/// Returns whether a body of the greatest size, which is no search, is read and answered as such.
async fn large_body_is_read(fleet: &Fleet) -> bool {
    let limit = Duration::from_secs(2);
    let Ok(mut connection) = Connection::connect(fleet.callers(0), limit).await else {
        return false;
    };
    let body = vec![b'x'; MAX_BODY].into();
    let reply = connection.send(Method::POST, SEARCH_PATH, "application/json", body).await;
    reply.is_ok_and(|reply| reply.status() == 400)
}

fn head(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: x\r\n")
}

/// Guards against memory that grows with the callers whose bodies stop one byte short.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_length_stay_within_the_memory() {
    let loads = [
        Load::Declared { length: MAX_BODY, piece: MAX_BODY },
        Load::Declared { length: MAX_BODY, piece: 8 * 1024 },
    ];
    withstand(28_450, &head("POST", SEARCH_PATH), &loads).await;
}

/// Guards against memory that grows with the callers whose chunked bodies do not end, and against one
/// object in memory for each chunk.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_without_an_end_stay_within_the_memory() {
    let loads = [
        Load::Chunked { length: MAX_BODY, chunk: 32 * 1024 },
        Load::Chunked { length: 30_000, chunk: 1 },
    ];
    withstand(28_450, &head("POST", SEARCH_PATH), &loads).await;
}

/// Guards against heads that do not end and answers that are not read, which kept their connections.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_and_unread_answers_stay_within_the_memory() {
    withstand(28_450, &head("POST", SEARCH_PATH), &[Load::Head(200 * 1024)]).await;
    withstand(28_450, &head("GET", SEARCH_PATH), &[Load::Unread]).await;
}
