//! Counting callers' requests that are in progress.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::edges::Edges;
use crate::node::Node;

/// Counts a caller's request while it is in progress.
pub struct InProgress<E: Edges> {
    node: Arc<Node<E>>,
    /// Requests in progress, this one included.
    pub count: u32,
}

impl<E: Edges> InProgress<E> {
    /// Starts counting a request.
    pub fn new(node: Arc<Node<E>>) -> Self {
        let count = node.in_progress.fetch_add(1, Ordering::AcqRel) + 1;
        Self { node, count }
    }
}

impl<E: Edges> Drop for InProgress<E> {
    fn drop(&mut self) {
        self.node.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
