//! Tasks that run as long as the host does.

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
use crate::publish::fetch_at_start;
use crate::publish::refresh;
use crate::publish::run_host_list;
use crate::publish::run_watcher;

/// How often what has passed is forgotten.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// How often the process notes that it runs.
const BEAT_PERIOD: Duration = Duration::from_millis(100);

impl<N: Network> Node<N> {
    /// Starts every background task; they end when the returned set is dropped.
    pub fn start(self: &Arc<Self>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        tasks.spawn(run_prober(self.clone()));
        tasks.spawn(run_host_list(self.clone()));
        tasks.spawn(run_sweeper(self.clone()));
        tasks.spawn(run_heartbeat(self.clone()));
        let node = self.clone();
        tasks.spawn(async move {
            fetch_at_start(&node).await;
            node.become_ready("host_ready");
            let sheet = run_watcher(node.clone(), PublishedKey::Sheet);
            let layout = run_watcher(node.clone(), PublishedKey::Layout);
            tokio::join!(sheet, layout);
        });
        tasks
    }

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

async fn run_sweeper<N: Network>(node: Arc<Node<N>>) {
    loop {
        sleep(SWEEP_PERIOD).await;
        let present = now();
        node.owner.close_idle(present);
        node.links.close_idle(present);
        lock(&node.tickets).forget_expired(present);
        lock(&node.cluster_view).remove_expired(present);
    }
}

/// Notes beats, and after a pause trusts nothing that was believed before it.
async fn run_heartbeat<N: Network>(node: Arc<Node<N>>) {
    loop {
        sleep(BEAT_PERIOD).await;
        let gap = lock(&node.heartbeat).beat(now());
        if let Some(gap) = gap {
            node.resume(gap).await;
        }
    }
}

impl<N: Network> Node<N> {
    /// Takes no work until a peer or the platform has told which values are in force now.
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
        refresh(self).await;
        if paused {
            self.become_ready("host_resumed");
        }
    }
}
