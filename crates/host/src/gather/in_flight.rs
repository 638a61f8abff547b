//! Counting the attempts on a searcher that are in flight.

use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::ids::SearcherId;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;

use crate::network::Network;
use crate::node::Node;

/// Counts an attempt as in flight until it ends or is given up.
pub struct InFlight<'a, N: Network> {
    node: &'a Node<N>,
    searcher: &'a SearcherId,
    sent: Instant,
    ended: bool,
}

impl<'a, N: Network> InFlight<'a, N> {
    /// Starts counting an attempt that is sent at `sent`.
    pub fn new(node: &'a Node<N>, searcher: &'a SearcherId, sent: Instant) -> Self {
        lock(&node.cluster_view).replicas.note_sent(searcher);
        Self { node, searcher, sent, ended: false }
    }

    /// Stops counting an attempt that has ended. Returns how long it took.
    pub fn end(mut self, now: Instant) -> Duration {
        self.ended = true;
        now.saturating_duration_since(self.sent)
    }
}

impl<N: Network> Drop for InFlight<'_, N> {
    fn drop(&mut self) {
        if !self.ended {
            let present = now();
            let waited = present.saturating_duration_since(self.sent);
            let mut view = lock(&self.node.cluster_view);
            view.replicas.note_abandoned(self.searcher, waited, present);
        }
    }
}
