//! The status of the host that operators query.

use galenaloft_operator::wire::HostStatus;
use galenaloft_operator::wire::PeerStatus;
use galenaloft_operator::wire::SearcherStatus;
use galenaloft_runtime::sync::lock;

use crate::network::Network;
use crate::node::Node;
use crate::node::Phase;

impl<N: Network> Node<N> {
    /// Returns the status of the host.
    pub fn status(&self) -> HostStatus {
        let phase = *self.phase.borrow();
        let stamps = self.values.stamps();
        let tickets = lock(&self.tickets);
        let (running, stored) = (tickets.running() as u32, tickets.used() as u32);
        drop(tickets);
        HostStatus {
            host: self.settings.host.to_string(),
            zone: self.settings.zone.to_string(),
            incarnation: format!("{:x}", self.identity.incarnation),
            ready: phase == Phase::Ready,
            draining: phase >= Phase::Draining,
            revision: stamps.sheet.revision,
            sheet_hash: format!("{:016x}", stamps.sheet.hash),
            layout_version: stamps.layout.revision,
            alarms: self.alarms.lines(),
            peers: self.peer_status(),
            searchers: self.searcher_status(),
            kinds: self.kinds.status(),
            tickets_running: running,
            tickets_stored: stored,
        }
    }

    fn peer_status(&self) -> Vec<PeerStatus> {
        let members = lock(&self.members);
        let peers = members.facts().filter(|fact| fact.host != self.settings.host);
        let status = peers.map(|fact| PeerStatus {
            host: fact.host.to_string(),
            zone: fact.zone.to_string(),
            state: format!("{:?}", fact.state).to_lowercase(),
        });
        status.collect()
    }

    fn searcher_status(&self) -> Vec<SearcherStatus> {
        let loads = self.owner.loads().into_iter();
        let status = loads.map(|load| SearcherStatus {
            searcher: load.searcher.to_string(),
            waiting: load.waiting as u32,
            running: load.running,
            slots: load.slots,
            draining: load.draining,
        });
        status.collect()
    }
}
