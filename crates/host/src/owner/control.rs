//! The control connection to one searcher: cancellations and health.

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

/// How often a searcher is asked whether it is leaving.
const HEALTH_PERIOD: Duration = Duration::from_secs(1);

/// Longest wait for the reply to a cancellation or a health check.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves cancellations and health checks until the queue is dropped.
pub async fn run_control<L: SearcherConnector>(
    queue: Arc<SearcherQueue>,
    link: Arc<L>,
    mut cancels: mpsc::UnboundedReceiver<AttemptId>,
    mut stop: tokio::sync::watch::Receiver<bool>,
) {
    let mut conn: Option<L::Conn> = None;
    let mut ticks = interval(HEALTH_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let attempt = tokio::select! {
            biased;
            _ = ticks.tick() => None,
            Some(attempt) = cancels.recv() => Some(attempt),
            _ = stop.wait_for(|stopping| *stopping) => return,
        };
        if conn.as_ref().is_none_or(|conn| !conn.is_open()) {
            conn = link.connect(queue.spec.address).await.ok();
        }
        let Some(open) = conn.as_mut() else {
            queue.note_health(None, now());
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

/// Asks for the health. Returns whether the searcher replied in time.
async fn check_health<C: SearcherConn>(queue: &SearcherQueue, conn: &mut C) -> bool {
    let asked = now();
    let reply = timeout(REPLY_TIMEOUT, conn.is_draining()).await;
    let draining = reply.ok().and_then(Result::ok);
    if queue.note_health(draining, asked) {
        Event::new("searcher_draining")
            .with("searcher", &queue.spec.id)
            .with("draining", draining.unwrap_or(false))
            .info();
    }
    draining.is_some()
}
