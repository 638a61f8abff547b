//! Keeps copies of the outcomes of submissions on several hosts, for when the holder of the ticket
//! is unreachable.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::ops::Bound;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use galenaloft_policy::ids::HostId;
use galenaloft_policy::ids::Incarnation;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::HostState;
use galenaloft_policy::routing::owner_of;
use galenaloft_policy::routing::rank_hosts;
use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::ticket::Ticket;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::time::sleep;

use crate::network::Network;
use crate::node::Node;

/// Longest wait for a peer to store or look up the copy of an outcome.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of hosts, other than the issuer of the ticket, that are chosen to keep a copy of an
/// outcome.
const COPIES_PER_OUTCOME: usize = 2;

/// Greatest number of copies that a host keeps.
const MAX_COPIES: usize = 50_000;

/// Greatest number of copies in one reply to a host that restores its own.
const MAX_COPIES_PER_REPLY: usize = 200;

/// Longest wait for such a reply.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two looks for peers that have not been asked for copies.
const RESTORE_PERIOD: Duration = Duration::from_millis(500);

/// Copies of outcomes. An outcome never changes, so a copy is never stale.
#[derive(Debug, Default)]
pub struct OutcomeCopies {
    inner: Mutex<Inner>,
    /// Processes that told which of their copies this host is chosen to keep.
    asked: Mutex<BTreeSet<Incarnation>>,
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

    /// Has all peers be asked again for the copies that this host is chosen to keep.
    pub fn ask_again(&self) {
        lock(&self.asked).clear();
    }

    /// Returns the first copies after the ticket `after` that are wanted, in the order of their tickets.
    fn page(
        &self,
        after: &str,
        is_wanted: impl Fn(&Ticket) -> bool,
    ) -> Vec<(Ticket, StoredOutcome)> {
        let inner = lock(&self.inner);
        let rest = inner.outcomes.range::<str, _>((Bound::Excluded(after), Bound::Unbounded));
        let parsed = rest.filter_map(|(text, outcome)| Some((text.parse().ok()?, outcome.clone())));
        parsed.filter(|(ticket, _)| is_wanted(ticket)).take(MAX_COPIES_PER_REPLY).collect()
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
        let active: BTreeSet<&HostId> = members.active().map(|fact| &fact.host).collect();
        let keepers = copy_keepers(ticket, &active);
        let peers = keepers.into_iter().filter(|host| **host != self.settings.host);
        peers.filter_map(|host| members.get(host).cloned()).collect()
    }

    /// Returns some of this host's copies that `host` is chosen to keep, beginning after the ticket
    /// `after`.
    pub(crate) fn copies_for(&self, host: &HostId, after: &str) -> Vec<(Ticket, StoredOutcome)> {
        let members = lock(&self.members);
        let mut active: BTreeSet<&HostId> = members.active().map(|fact| &fact.host).collect();
        // It may have started a moment ago.
        active.insert(host);
        self.copies.page(after, |ticket| is_copy_keeper(ticket, host, &active))
    }

    /// Fetches the copies that this host is chosen to keep and has lost, or has never got, from each
    /// process among the peers once, and again after a pause of this process.
    pub(crate) async fn restore_copies(self: Arc<Self>) {
        loop {
            let peers: Vec<HostFact> = {
                let (members, asked) = (lock(&self.members), lock(&self.copies.asked));
                let others = members.facts().filter(|fact| fact.host != self.settings.host);
                let alive = others.filter(|fact| fact.state == HostState::Alive);
                alive.filter(|fact| !asked.contains(&fact.incarnation)).cloned().collect()
            };
            for peer in peers {
                if self.restore_copies_from(&peer).await {
                    lock(&self.copies.asked).insert(peer.incarnation);
                }
            }
            sleep(RESTORE_PERIOD).await;
        }
    }

    /// Fetches copies from one peer. Returns whether it has told all of them.
    async fn restore_copies_from(&self, peer: &HostFact) -> bool {
        let mut after = String::new();
        let mut restored = 0;
        loop {
            let (own, last) = (self.settings.host.clone(), after.clone());
            let call = self.links.call(peer.address, RESTORE_TIMEOUT, |peer, cx| async move {
                peer.copies_for(cx, own, last).await
            });
            let Ok(page) = call.await else {
                return false;
            };
            let Some((last, _)) = page.last() else {
                break;
            };
            let last = last.to_string();
            if last <= after {
                Event::new("copies_unreadable").with("peer", &peer.host).warn();
                return true;
            }
            after = last;
            restored += page.len();
            page.into_iter().for_each(|(ticket, outcome)| self.copies.store(&ticket, outcome));
        }
        if restored > 0 {
            let event = Event::new("copies_restored").with("peer", &peer.host);
            event.with("copies", restored).info();
        }
        true
    }
}

/// Returns whether a host is one of the [`copy_keepers`], without ranking them all: a host looks through
/// all its copies for those of another one.
fn is_copy_keeper(ticket: &Ticket, host: &HostId, active: &BTreeSet<&HostId>) -> bool {
    let text = ticket.to_string();
    let others = active.iter().filter(|other| **other != host && **other != &ticket.host);
    let preferred = others.filter(|other| owner_of(&text, [**other, host]) == Some(**other));
    *host != ticket.host && preferred.take(COPIES_PER_OUTCOME).count() < COPIES_PER_OUTCOME
}

/// Returns the hosts chosen to keep copies of a ticket's outcome.
fn copy_keepers<'a>(ticket: &Ticket, active: &BTreeSet<&'a HostId>) -> Vec<&'a HostId> {
    let hosts = active.iter().copied().filter(|host| **host != ticket.host);
    let mut ranked = rank_hosts(&ticket.to_string(), hosts);
    ranked.truncate(COPIES_PER_OUTCOME);
    ranked
}

#[cfg(test)]
mod tests;
