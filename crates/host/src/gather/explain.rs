//! The decisions of recent requests, for operators.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;

use galenaloft_runtime::sync::lock;

/// Requests whose decisions are kept.
const KEPT: usize = 1_024;

/// Decisions kept of one request.
const MAX_DECISIONS: usize = 64;

/// Collects the decisions of one request.
#[derive(Debug, Default)]
pub struct Trace {
    decisions: Mutex<Vec<String>>,
}

impl Trace {
    /// Notes a decision; beyond a bound only the first ones are kept.
    pub fn note(&self, decision: impl FnOnce() -> String) {
        let mut decisions = lock(&self.decisions);
        if decisions.len() < MAX_DECISIONS {
            decisions.push(decision());
        }
    }

    fn into_decisions(self) -> Vec<String> {
        std::mem::take(&mut *lock(&self.decisions))
    }
}

/// The decisions of the last requests.
#[derive(Debug, Default)]
pub struct ExplainLog {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    order: VecDeque<String>,
    decisions: BTreeMap<String, Vec<String>>,
}

impl ExplainLog {
    /// Keeps the decisions of a request and forgets those of the oldest one.
    pub fn keep(&self, request_id: &str, trace: Trace) {
        let mut inner = lock(&self.inner);
        if inner.order.len() >= KEPT
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.decisions.remove(&oldest);
        }
        inner.order.push_back(request_id.to_owned());
        inner.decisions.insert(request_id.to_owned(), trace.into_decisions());
    }

    /// Returns the decisions of a request, if it is remembered.
    pub fn get(&self, request_id: &str) -> Option<Vec<String>> {
        lock(&self.inner).decisions.get(request_id).cloned()
    }
}
