//! Requests suspected of crashing searchers that other hosts know and this one does not: it may have
//! started since, been cut off from the others, or not received a report.

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

/// Time in which a host that knows crashes gets the reports of new ones, so that it need not ask for
/// them.
const REPORT_TIME: Duration = Duration::from_millis(300);

/// Time between two questions to peers, of which each may have thousands of requests to tell.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

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
            sleep(REPORT_TIME).await;
        }
        if !lock(&host.quarantine).may_lack(digest, now()) {
            continue;
        }
        take_over(&host, peer).await;
        sleep(MIN_INTERVAL).await;
    }
}

/// Takes over the suspected requests that a peer knows.
async fn take_over(host: &Host, peer: SocketAddr) {
    let Some(known) = host.relays.fetch_suspected_requests(peer, PEER_TIMEOUT).await else {
        Event::new("suspects_not_received").with("peer", peer).info();
        return;
    };
    let requests = known.len();
    let new_crashes = lock(&host.quarantine).merge(known, now());
    Event::new("suspects_received")
        .with("peer", peer)
        .with("requests", requests)
        .with("new_crashes", new_crashes)
        .info();
}

#[cfg(test)]
mod tests;
