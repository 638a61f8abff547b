//! Background tasks that run for the lifetime of the host.

use std::sync::Arc;
use std::time::Duration;

use galenaloft_peer::PublishedKey;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::gather::ClusterView;
use crate::gossip::run_prober;
use crate::network::Network;
use crate::node::Node;
use crate::node::Phase;
use crate::publish::fetch_initial_values;
use crate::publish::refresh_values;
use crate::publish::run_host_list_reader;
use crate::publish::run_watcher;

/// Time between two removals of idle queues, idle connections, expired tickets and expired
/// observations.
const CLEANUP_PERIOD: Duration = Duration::from_secs(5);

/// Time between two heartbeats, by which the process detects that it was paused.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);

impl<N: Network> Node<N> {
    /// Starts every background task; they are aborted when the returned set is dropped.
    pub fn start(self: &Arc<Self>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        tasks.spawn(run_prober(self.clone()));
        tasks.spawn(run_host_list_reader(self.clone()));
        tasks.spawn(run_cleanup(self.clone()));
        tasks.spawn(run_heartbeat(self.clone()));
        tasks.spawn(self.clone().restore_copies());
        let node = self.clone();
        tasks.spawn(async move {
            fetch_initial_values(&node).await;
            node.become_ready("host_ready");
            let sheet = run_watcher(node.clone(), PublishedKey::Sheet);
            let layout = run_watcher(node.clone(), PublishedKey::Layout);
            tokio::join!(sheet, layout);
        });
        tasks
    }

    /// Moves from `Starting` to `Ready` and logs `event`. Does nothing in any other phase.
    fn become_ready(&self, event: &str) {
        let changed = self.phase.send_if_modified(|phase| {
            let starting = *phase == Phase::Starting;
            if starting {
                *phase = Phase::Ready;
            }
            starting
        });
        if changed {
            let stamps = self.values.stamps();
            Event::new(event)
                .with("host", &self.settings.host)
                .with("zone", &self.settings.zone)
                .with("incarnation", format!("{:x}", self.identity.incarnation))
                .with("sheet", stamps.sheet)
                .with("layout", stamps.layout)
                .info();
        }
    }
}

/// Removes what is idle or expired, periodically.
async fn run_cleanup<N: Network>(node: Arc<Node<N>>) {
    loop {
        sleep(CLEANUP_PERIOD).await;
        let present = now();
        node.owner.close_idle(present);
        node.links.close_idle(present);
        lock(&node.tickets).forget_expired(present);
        lock(&node.cluster_view).remove_expired(present);
    }
}

/// Records heartbeats. After a pause of the process, discards the cluster view and refreshes the
/// published values, since both may be outdated.
async fn run_heartbeat<N: Network>(node: Arc<Node<N>>) {
    loop {
        sleep(HEARTBEAT_PERIOD).await;
        let gap = lock(&node.heartbeat).beat(now());
        if let Some(gap) = gap {
            node.resume(gap).await;
        }
    }
}

impl<N: Network> Node<N> {
    /// Returns to `Starting` until the platform and peers were asked for the current values, so that
    /// the host takes no requests in the meantime.
    async fn resume(self: &Arc<Self>, gap: Duration) {
        Event::new("process_paused").with("gap_ms", gap.as_millis()).warn();
        let paused = self.phase.send_if_modified(|phase| {
            let ready = *phase == Phase::Ready;
            if ready {
                *phase = Phase::Starting;
            }
            ready
        });
        *lock(&self.cluster_view) = ClusterView::default();
        self.copies.ask_again();
        refresh_values(self).await;
        if paused {
            self.become_ready("host_resumed");
        }
    }
}
