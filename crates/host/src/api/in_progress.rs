//! Counting callers' requests that are in progress.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::network::Network;
use crate::node::Node;

/// Counts a caller's request while it is in progress.
pub struct InProgress<N: Network> {
    node: Arc<Node<N>>,
    /// Requests in progress, this one included.
    pub count: u32,
}

impl<N: Network> InProgress<N> {
    /// Starts counting a request.
    pub fn new(node: Arc<Node<N>>) -> Self {
        let count = node.in_progress.fetch_add(1, Ordering::AcqRel) + 1;
        Self { node, count }
    }
}

impl<N: Network> Drop for InProgress<N> {
    fn drop(&mut self) {
        self.node.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
