//! A planned stop that cuts no request.

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

/// How often the end of the running requests is looked for.
const POLL: Duration = Duration::from_millis(10);

impl<N: Network> Node<N> {
    /// Starts a planned stop. Returns whether it had not started before.
    pub fn start_drain(&self) -> bool {
        self.phase.send_if_modified(|phase| {
            let earlier = *phase < Phase::Draining;
            if earlier {
                *phase = Phase::Draining;
            }
            earlier
        })
    }

    /// Carries out a planned stop: waits until the balancer sends no more, closes to callers,
    /// tells the peers, lets requests end, hands over tickets. Returns the number of requests that
    /// were cut.
    pub async fn drain(self: &Arc<Self>) -> u32 {
        self.start_drain();
        Event::new("drain_started").with("host", &self.settings.host).info();
        sleep(self.settings.drain.balancer_lag).await;
        self.phase.send_replace(Phase::Stopping);
        self.announce_leaving().await;
        let limit = now() + self.settings.drain.grace;
        let cut = self.wait_until_idle(limit).await;
        self.hand_over().await;
        self.owner.close();
        Event::new("drain_ended").with("host", &self.settings.host).with("cut", cut).info();
        cut
    }

    /// Tells every peer at once that this host owns no searcher any more.
    async fn announce_leaving(self: &Arc<Self>) {
        let targets: Vec<_> = {
            let mut members = lock(&self.members);
            let adopted = members.own().adopted.clone();
            members.update_own(HostState::Leaving, adopted);
            members.facts().filter(|f| f.host != self.settings.host).cloned().collect()
        };
        join_all(targets.iter().map(|target| probe_directly(self, target.address, false))).await;
    }

    /// Returns the requests, tickets or attempts that are in progress, whichever are most.
    pub fn requests_in_progress(&self) -> u32 {
        let callers = self.in_progress.load(Ordering::Acquire);
        let tickets = lock(&self.tickets).running() as u32;
        let attempts = self.owner.loads().iter().map(|q| q.waiting as u32 + q.running).sum();
        callers.max(tickets).max(attempts)
    }

    async fn wait_until_idle(&self, limit: Instant) -> u32 {
        loop {
            let running = self.requests_in_progress();
            if running == 0 || now() >= limit {
                return running;
            }
            sleep(POLL).await;
        }
    }
}
