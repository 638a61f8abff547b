//! Handing over the right to run tickets when a host stops.

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

/// Longest wait for one answer of the successor.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the one successor is asked. Another host must not be asked: the first may have
/// taken over without its answer arriving.
const ADOPT_TRIES: u32 = 3;

impl<N: Network> Node<N> {
    /// Gives up every right and offers them to one live peer.
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

    async fn offer_right(&self, successor: &HostFact, handover: Handover) -> bool {
        for _ in 0..ADOPT_TRIES {
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

    /// Takes over a right. Returns whether this host holds it now.
    pub(crate) fn adopt(&self, handover: Handover) -> bool {
        if self.is_stopping() {
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
