//! Hands over rights when a host stops. A right allows its holder alone to run the submissions
//! whose tickets one incarnation of a host issued.

use std::sync::Arc;
use std::time::Duration;

use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::HostState;
use galenaloft_policy::routing::rank_hosts;
use galenaloft_policy::ticket::Handover;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;

use crate::network::Network;
use crate::node::Node;

/// Longest wait for one reply of the successor.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(1);

/// How many times a right is offered to the successor. It must not be offered to another host: the
/// successor may have adopted it although its reply was lost.
const ADOPT_ATTEMPTS: u32 = 3;

impl<N: Network> Node<N> {
    /// Gives up all rights of this host and offers them to one live peer. A right is lost if there
    /// is no live peer or if the peer does not adopt it.
    pub(crate) async fn hand_over(self: &Arc<Self>) {
        let handovers = lock(&self.tickets).release_rights(now());
        let Some(successor) = self.successor() else {
            Event::new("rights_lost").with("rights", handovers.len()).warn();
            return;
        };
        for handover in handovers {
            let incarnation = handover.incarnation;
            let adopted = self.offer_right(&successor, handover).await;
            Event::new("right_handed_over")
                .with("incarnation", format!("{incarnation:x}"))
                .with("to", &successor.host)
                .with("adopted", adopted)
                .info();
        }
    }

    /// Offers a right to the successor. Returns whether the successor has confirmed the adoption.
    async fn offer_right(&self, successor: &HostFact, handover: Handover) -> bool {
        for _ in 0..ADOPT_ATTEMPTS {
            let handover = handover.clone();
            let call = self.links.call(successor.address, ADOPT_TIMEOUT, |peer, cx| async move {
                peer.adopt(cx, handover).await
            });
            if let Ok(adopted) = call.await {
                return adopted;
            }
        }
        false
    }

    /// Adopts a right, unless this host is stopping too. Returns whether this host holds it now.
    pub(crate) fn adopt(&self, handover: Handover) -> bool {
        if self.is_draining_or_stopping() {
            return false;
        }
        let incarnation = handover.incarnation;
        lock(&self.tickets).adopt(handover, now());
        let mut members = lock(&self.members);
        let own = members.own();
        let (state, mut adopted) = (own.state, own.adopted.clone());
        if !adopted.contains(&incarnation) {
            adopted.push(incarnation);
            members.update_own(state, adopted);
        }
        true
    }

    /// Returns the live peer that takes over the rights of this host.
    fn successor(&self) -> Option<HostFact> {
        let members = lock(&self.members);
        let own = &self.settings.host;
        let live = members
            .facts()
            .filter(|fact| fact.state == HostState::Alive && fact.host != *own)
            .map(|fact| &fact.host);
        let ranked = rank_hosts(own, live);
        ranked.first().and_then(|host| members.get(host).cloned())
    }
}
