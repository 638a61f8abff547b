//! Finding out whether a searcher ended while it ran a request.

use std::sync::Arc;
use std::time::Duration;

use galenaloft_policy::quarantine::Crash;
use galenaloft_policy::quarantine::fingerprint;
use galenaloft_runtime::clock::now;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::host::Host;
use crate::query::Plan;
use crate::searchers::Searcher;

/// Time after a lost connection before the searcher is tried: one that only lost the connection
/// accepts another one, one that crashed takes seconds to start.
const TRIED_AFTER: Duration = Duration::from_millis(30);

/// Longest wait for the connection.
const PATIENCE: Duration = Duration::from_millis(300);

/// Notes the request as dangerous if its searcher no longer listens.
pub fn check(host: &Arc<Host>, plan: &Arc<Plan>, searcher: &Arc<Searcher>) {
    let (host, plan, searcher) = (host.clone(), plan.clone(), searcher.clone());
    tokio::spawn(async move {
        sleep(TRIED_AFTER).await;
        match timeout(PATIENCE, TcpStream::connect(searcher.address())).await {
            // A partition leaves connections silent; only a closed port proves an end.
            Ok(Ok(_)) | Err(_) => return,
            Ok(Err(_)) => {}
        }
        let call = &plan.call;
        let path = call.uri.to_string();
        let crash = Crash {
            fingerprint: fingerprint(call.method.as_str(), &call.host, &path, &call.body),
            searcher: searcher.entry.id.clone(),
        };
        if host.record_crash(crash.clone(), now()) {
            host.peers.publish_crash(crash);
        }
    });
}
