//! Counts the attempts in flight to each searcher.

use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::ids::SearcherId;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;

use crate::network::Network;
use crate::node::Node;

/// Counts an attempt as in flight until it ends. If the guard is dropped earlier, the attempt is
/// recorded as abandoned.
pub struct InFlightGuard<'a, N: Network> {
    node: &'a Node<N>,
    searcher: &'a SearcherId,
    sent: Instant,
    ended: bool,
}

impl<'a, N: Network> InFlightGuard<'a, N> {
    /// Counts an attempt that is sent at `sent`.
    pub fn new(node: &'a Node<N>, searcher: &'a SearcherId, sent: Instant) -> Self {
        lock(&node.cluster_view).replicas.record_sent(searcher);
        Self { node, searcher, sent, ended: false }
    }

    /// Marks the attempt as ended and returns how long it took. The caller must record its outcome
    /// in the cluster view, which lowers the count.
    pub fn end(mut self, now: Instant) -> Duration {
        self.ended = true;
        now.saturating_duration_since(self.sent)
    }
}

impl<N: Network> Drop for InFlightGuard<'_, N> {
    fn drop(&mut self) {
        if !self.ended {
            let present = now();
            let waited = present.saturating_duration_since(self.sent);
            let mut view = lock(&self.node.cluster_view);
            view.replicas.record_abandoned(self.searcher, waited, present);
        }
    }
}
