//! Takes over requests that other hosts suspect of crashing searchers and this one does not know: it may
//! have started since, been cut off from the others, or not received a report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenaloft_policy::quarantine::CrashDigest;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::sync::mpsc::Receiver;
use tokio::time::sleep;

use crate::host::Host;

/// Longest wait for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay of the question by a host that knows other crashes already: it mostly lacks only those whose
/// report is on its way.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// Shortest time between two questions to peers.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Further time for each request that a peer told of, which bounds the bytes to some 25 KB/s while many
/// searchers crash.
const INTERVAL_PER_REQUEST: Duration = Duration::from_millis(2);

/// Another host may know crashes that this one lacks.
#[derive(Debug)]
pub struct CrashNotice {
    /// Address of the other host.
    pub peer: SocketAddr,
    /// Digest of the crashes that it knows.
    pub digest: CrashDigest,
}

/// Takes over the suspected requests that other hosts know and this one lacks, for as long as the
/// process runs.
pub async fn follow(host: Arc<Host>, mut notices: Receiver<CrashNotice>) {
    while let Some(CrashNotice { peer, digest }) = notices.recv().await {
        if !lock(&host.quarantine).is_empty() {
            sleep(REPORT_DELAY).await;
        }
        if !lock(&host.quarantine).may_lack(digest, now()) {
            continue;
        }
        let requests = take_over(&host, peer).await;
        sleep(MIN_INTERVAL + INTERVAL_PER_REQUEST * requests).await;
    }
}

/// Takes over the suspected requests that a peer knows. Returns how many these are.
async fn take_over(host: &Host, peer: SocketAddr) -> u32 {
    let Some(known) = host.relays.fetch_suspected_requests(peer, PEER_TIMEOUT).await else {
        Event::new("suspects_not_received").with("peer", peer).info();
        return 0;
    };
    let requests = u32::try_from(known.len()).unwrap_or(u32::MAX);
    let new_crashes = lock(&host.quarantine).merge(known, now());
    Event::new("suspects_received")
        .with("peer", peer)
        .with("requests", requests)
        .with("new_crashes", new_crashes)
        .info();
    requests
}

#[cfg(test)]
mod tests;
