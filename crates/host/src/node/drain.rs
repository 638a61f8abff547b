//! Graceful drain: lets requests in progress end before the host stops.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use galenaloft_policy::membership::HostState;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::time::sleep;

use crate::gossip::probe_directly;
use crate::network::Network;
use crate::node::Node;
use crate::node::Phase;

/// Time between two checks for requests in progress during a drain.
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(10);

impl<N: Network> Node<N> {
    /// Enters the draining phase. Returns `false` if the host is already draining or stopping.
    pub fn start_drain(&self) -> bool {
        self.phase.send_if_modified(|phase| {
            let earlier = *phase < Phase::Draining;
            if earlier {
                *phase = Phase::Draining;
            }
            earlier
        })
    }

    /// Drains the host: waits until the balancer no longer sends requests, rejects new requests,
    /// announces to peers that the host is leaving, waits up to the grace period for requests in
    /// progress, and hands over the right to run tickets. Returns how many requests were still in
    /// progress at the end of the grace period; these are cut off.
    pub async fn drain(self: &Arc<Self>) -> u32 {
        self.start_drain();
        Event::new("drain_started").with("host", &self.settings.host).info();
        sleep(self.settings.drain.balancer_lag).await;
        self.phase.send_replace(Phase::Stopping);
        self.announce_leaving().await;
        let drain_deadline = now() + self.settings.drain.grace;
        let cut = self.wait_until_idle(drain_deadline).await;
        self.hand_over().await;
        self.owner.close();
        Event::new("drain_ended").with("host", &self.settings.host).with("cut", cut).info();
        cut
    }

    /// Announces to all peers, concurrently, that this host is leaving, so that it no longer owns
    /// searchers.
    async fn announce_leaving(self: &Arc<Self>) {
        let targets: Vec<_> = {
            let mut members = lock(&self.members);
            let adopted = members.own().adopted.clone();
            members.update_own(HostState::Leaving, adopted);
            members.facts().filter(|f| f.host != self.settings.host).cloned().collect()
        };
        join_all(targets.iter().map(|target| probe_directly(self, target.address, false))).await;
    }

    /// Returns the largest of the numbers of caller requests, running tickets, and waiting or
    /// running attempts. They overlap, as a request has tickets or attempts of its own.
    pub fn requests_in_progress(&self) -> u32 {
        let callers = self.in_progress.load(Ordering::Acquire);
        let tickets = lock(&self.tickets).running() as u32;
        let attempts = self.owner.loads().iter().map(|q| q.waiting as u32 + q.running).sum();
        callers.max(tickets).max(attempts)
    }

    /// Waits until nothing is in progress or `drain_deadline` has passed. Returns the number of
    /// requests still in progress.
    async fn wait_until_idle(&self, drain_deadline: Instant) -> u32 {
        loop {
            let running = self.requests_in_progress();
            if running == 0 || now() >= drain_deadline {
                return running;
            }
            sleep(IDLE_POLL_PERIOD).await;
        }
    }
}
