//! Keeps copies of the outcomes of submissions on several hosts, for when the holder of the ticket
//! is unreachable.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use galenaloft_policy::membership::HostFact;
use galenaloft_policy::routing::rank_hosts;
use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::ticket::Ticket;
use galenaloft_runtime::sync::lock;

use crate::network::Network;
use crate::node::Node;

/// Longest wait for a peer to store or look up the copy of an outcome.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of hosts, other than the issuer of the ticket, that are chosen to keep a copy of an
/// outcome.
const COPIES_PER_OUTCOME: usize = 2;

/// Greatest number of copies that a host keeps.
const MAX_COPIES: usize = 50_000;

/// Copies of outcomes. An outcome never changes, so a copy is never stale.
#[derive(Debug, Default)]
pub struct OutcomeCopies {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Tickets, oldest copy first.
    order: VecDeque<String>,
    /// Outcomes by ticket.
    outcomes: BTreeMap<String, StoredOutcome>,
}

impl OutcomeCopies {
    /// Stores a copy, and drops the oldest one beyond [`MAX_COPIES`].
    pub fn store(&self, ticket: &Ticket, outcome: StoredOutcome) {
        let mut inner = lock(&self.inner);
        let key = ticket.to_string();
        if inner.outcomes.insert(key.clone(), outcome).is_some() {
            return;
        }
        inner.order.push_back(key);
        if inner.order.len() > MAX_COPIES
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.outcomes.remove(&oldest);
        }
    }

    /// Returns the copy of a ticket's outcome, if this host has one.
    pub fn get(&self, ticket: &Ticket) -> Option<StoredOutcome> {
        lock(&self.inner).outcomes.get(&ticket.to_string()).cloned()
    }
}

impl<N: Network> Node<N> {
    /// Stores a copy of an outcome here and on the peers chosen for its ticket.
    pub(crate) async fn copy_outcome(&self, ticket: &Ticket, outcome: &StoredOutcome) {
        self.copies.store(ticket, outcome.clone());
        for peer_host in self.copy_peers(ticket) {
            let (ticket, outcome) = (ticket.clone(), outcome.clone());
            let call = self.links.call(peer_host.address, COPY_TIMEOUT, |peer, cx| async move {
                peer.store_outcome(cx, ticket, outcome).await
            });
            // Without this copy, a later verdict is only less certain: a retry of the request may
            // get `MayHaveRun` instead of the outcome.
            let _ = call.await;
        }
    }

    /// Returns the copy of an outcome from this host or from the peers chosen for its ticket.
    pub(crate) async fn find_copy(&self, ticket: &Ticket) -> Option<StoredOutcome> {
        if let Some(outcome) = self.copies.get(ticket) {
            return Some(outcome);
        }
        for peer_host in self.copy_peers(ticket) {
            let ticket = ticket.clone();
            let call = self.links.call(peer_host.address, COPY_TIMEOUT, |peer, cx| async move {
                peer.find_outcome(cx, ticket).await
            });
            if let Ok(Some(outcome)) = call.await {
                return Some(outcome);
            }
        }
        None
    }

    /// Returns the peers chosen to keep copies of a ticket's outcome. The issuer is excluded, since
    /// copies are needed when it fails, and its own copy would fail with it.
    fn copy_peers(&self, ticket: &Ticket) -> Vec<HostFact> {
        let members = lock(&self.members);
        let hosts = members.active().map(|fact| &fact.host).filter(|host| **host != ticket.host);
        let ranked = rank_hosts(&ticket.to_string(), hosts);
        let peers =
            ranked.into_iter().take(COPIES_PER_OUTCOME).filter(|host| **host != self.settings.host);
        peers.filter_map(|host| members.get(host).cloned()).collect()
    }
}
