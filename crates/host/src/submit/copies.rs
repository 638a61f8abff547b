//! Copies of outcomes that other hosts' tickets came to.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;

use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::ticket::Ticket;

use crate::sync::lock;

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
