//! Copies of outcomes that other hosts' tickets came to.

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

/// Longest wait for a peer that keeps or looks up the copy of an outcome.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// Peers that keep a copy of each outcome.
const COPIES: usize = 2;

/// Most copies that are kept.
const KEPT: usize = 50_000;

/// Copies of outcomes. An outcome never changes, so that a copy is always true.
#[derive(Debug, Default)]
pub struct OutcomeCopies {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    order: VecDeque<String>,
    outcomes: BTreeMap<String, StoredOutcome>,
}

impl OutcomeCopies {
    /// Keeps a copy and forgets the oldest one beyond the bound.
    pub fn keep(&self, ticket: &Ticket, outcome: StoredOutcome) {
        let mut inner = lock(&self.inner);
        let key = ticket.to_string();
        if inner.outcomes.insert(key.clone(), outcome).is_some() {
            return;
        }
        inner.order.push_back(key);
        if inner.order.len() > KEPT
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.outcomes.remove(&oldest);
        }
    }

    /// Returns the copy of an outcome.
    pub fn get(&self, ticket: &Ticket) -> Option<StoredOutcome> {
        lock(&self.inner).outcomes.get(&ticket.to_string()).cloned()
    }
}

impl<N: Network> Node<N> {
    /// Gives copies of an outcome to peers.
    pub(crate) async fn copy_outcome(&self, ticket: &Ticket, outcome: &StoredOutcome) {
        self.copies.keep(ticket, outcome.clone());
        for holder in self.copy_holders(ticket) {
            let (ticket, outcome) = (ticket.clone(), outcome.clone());
            let call = self.links.call(holder.address, COPY_TIMEOUT, |peer, cx| async move {
                peer.store_outcome(cx, ticket, outcome).await
            });
            // A copy that is not kept only makes a later verdict less certain.
            let _ = call.await;
        }
    }

    /// Looks for the copy of an outcome, here and at the peers that would have it.
    pub(crate) async fn find_copy(&self, ticket: &Ticket) -> Option<StoredOutcome> {
        if let Some(outcome) = self.copies.get(ticket) {
            return Some(outcome);
        }
        for holder in self.copy_holders(ticket) {
            let ticket = ticket.clone();
            let call = self.links.call(holder.address, COPY_TIMEOUT, |peer, cx| async move {
                peer.find_outcome(cx, ticket).await
            });
            if let Ok(Some(outcome)) = call.await {
                return Some(outcome);
            }
        }
        None
    }

    /// Returns the peers that keep copies of a ticket's outcome. The issuer is left out: its copy
    /// would be lost with it.
    fn copy_holders(&self, ticket: &Ticket) -> Vec<HostFact> {
        let members = lock(&self.members);
        let hosts = members.active().map(|fact| &fact.host).filter(|host| **host != ticket.host);
        let ranked = rank_hosts(&ticket.to_string(), hosts);
        let others = ranked.into_iter().take(COPIES).filter(|host| **host != self.settings.host);
        others.filter_map(|host| members.get(host).cloned()).collect()
    }
}
