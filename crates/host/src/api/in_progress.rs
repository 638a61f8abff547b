//! Counts the requests of callers that are in progress.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::network::Network;
use crate::node::Node;

/// Counts a request as in progress until dropped.
pub struct InProgressGuard<N: Network> {
    node: Arc<Node<N>>,
    /// Requests in progress when this one arrived, including itself.
    pub count: u32,
}

impl<N: Network> InProgressGuard<N> {
    /// Counts a request that has just arrived.
    pub fn new(node: Arc<Node<N>>) -> Self {
        let count = node.in_progress.fetch_add(1, Ordering::AcqRel) + 1;
        Self { node, count }
    }
}

impl<N: Network> Drop for InProgressGuard<N> {
    fn drop(&mut self) {
        self.node.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
