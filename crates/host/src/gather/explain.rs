//! Keeps the decisions made for recent requests, for operators to inspect.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;

use galenaloft_runtime::sync::lock;

/// Greatest number of requests whose decisions are kept.
const MAX_REQUESTS: usize = 1_024;

/// Greatest number of decisions kept of one request.
const MAX_DECISIONS: usize = 64;

/// Collects the decisions of one request.
#[derive(Debug, Default)]
pub struct Trace {
    decisions: Mutex<Vec<String>>,
}

impl Trace {
    /// Records a decision, unless [`MAX_DECISIONS`] are recorded already.
    pub fn record(&self, decision: impl FnOnce() -> String) {
        let mut decisions = lock(&self.decisions);
        if decisions.len() < MAX_DECISIONS {
            decisions.push(decision());
        }
    }

    fn into_decisions(self) -> Vec<String> {
        std::mem::take(&mut *lock(&self.decisions))
    }
}

/// The decisions of the last [`MAX_REQUESTS`] requests.
#[derive(Debug, Default)]
pub struct ExplainLog {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Request ids, oldest first.
    order: VecDeque<String>,
    /// Decisions by request id.
    decisions: BTreeMap<String, Vec<String>>,
}

impl ExplainLog {
    /// Stores the decisions of a request, and drops those of the oldest request if the log is full.
    pub fn insert(&self, request_id: &str, trace: Trace) {
        let mut inner = lock(&self.inner);
        if inner.order.len() >= MAX_REQUESTS
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.decisions.remove(&oldest);
        }
        inner.order.push_back(request_id.to_owned());
        inner.decisions.insert(request_id.to_owned(), trace.into_decisions());
    }

    /// Returns the decisions of a request, if they are still kept.
    pub fn get(&self, request_id: &str) -> Option<Vec<String>> {
        lock(&self.inner).decisions.get(request_id).cloned()
    }
}
