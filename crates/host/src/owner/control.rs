//! The control connection to one searcher, which carries cancellations and health checks.

use std::sync::Arc;
use std::time::Duration;

use galenaloft_policy::ids::AttemptId;
use galenaloft_runtime::clock::now;
use galenaloft_telemetry::log::Event;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::network::SearcherConn;
use crate::network::SearcherConnector;
use crate::owner::queue::SearcherQueue;

/// Time between two health checks, which ask a searcher whether it is draining.
const HEALTH_PERIOD: Duration = Duration::from_secs(1);

/// Longest wait for the reply to a cancellation or a health check.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends cancellations and health checks to the searcher until `stop_rx` is set or its sender is
/// dropped. Reconnects when the connection is closed or gives no reply in time.
pub async fn run_control<C: SearcherConnector>(
    queue: Arc<SearcherQueue>,
    connector: Arc<C>,
    mut cancels: mpsc::UnboundedReceiver<AttemptId>,
    mut stop_rx: tokio::sync::watch::Receiver<bool>,
) {
    let mut conn: Option<C::Conn> = None;
    let mut health_ticks = interval(HEALTH_PERIOD);
    health_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let attempt = tokio::select! {
            biased;
            _ = health_ticks.tick() => None,
            Some(attempt) = cancels.recv() => Some(attempt),
            _ = stop_rx.wait_for(|stopping| *stopping) => return,
        };
        if conn.as_ref().is_none_or(|conn| !conn.is_open()) {
            conn = connector.connect(queue.spec.address).await.ok();
        }
        let Some(open) = conn.as_mut() else {
            queue.record_health(None, now());
            continue;
        };
        let alive = match attempt {
            Some(attempt) => timeout(REPLY_TIMEOUT, open.cancel(attempt)).await.is_ok(),
            None => check_health(&queue, open).await,
        };
        if !alive {
            conn = None;
        }
    }
}

/// Asks the searcher whether it is draining, and records the answer. Returns whether it replied in
/// time.
async fn check_health<S: SearcherConn>(queue: &SearcherQueue, conn: &mut S) -> bool {
    let asked_at = now();
    let reply = timeout(REPLY_TIMEOUT, conn.is_draining()).await;
    let draining = reply.ok().and_then(Result::ok);
    if queue.record_health(draining, asked_at) {
        Event::new("searcher_draining")
            .with("searcher", &queue.spec.id)
            .with("draining", draining.unwrap_or(false))
            .info();
    }
    draining.is_some()
}
