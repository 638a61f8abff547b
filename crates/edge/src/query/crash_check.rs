//! Detection of searchers that crashed while they ran a request.

use std::sync::Arc;
use std::time::Duration;

use galenaloft_policy::quarantine::Crash;
use galenaloft_runtime::clock::now;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::host::Host;
use crate::peers::Report;
use crate::query::RoutedRequest;
use crate::searchers::Searcher;

/// Delay between the loss of a connection and the check. A searcher that only lost the connection
/// accepts a new one by then; one that crashed takes seconds to restart.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// Longest wait for a new connection to the searcher.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a task that checks whether the searcher still listens. If it does not, the request is
/// recorded as a possible cause of the crash, here and on the other hosts. No connection is opened to a
/// searcher of an evacuated zone, so that its crash is not recorded.
pub fn spawn(host: &Arc<Host>, request: &Arc<RoutedRequest>, searcher: &Arc<Searcher>) {
    let (host, request, searcher) = (host.clone(), request.clone(), searcher.clone());
    tokio::spawn(async move {
        sleep(CHECK_DELAY).await;
        if searcher.is_evacuated() {
            return;
        }
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(searcher.address())).await {
            // A network partition makes the attempt time out. Only an error, such as a refused
            // connection, shows that the searcher no longer listens.
            Ok(Ok(_)) | Err(_) => return,
            Ok(Err(_)) => {}
        }
        let crash =
            Crash { fingerprint: request.fingerprint(), searcher: searcher.entry.id.clone() };
        if host.record_crash(&crash, None, now()) {
            host.peers.publish(Report::Crash(crash));
        }
    });
}
