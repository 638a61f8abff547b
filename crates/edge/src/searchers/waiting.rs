//! Requests that wait until a searcher of their service has room for them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use galenaloft_policy::routing::Urgency;
use galenaloft_runtime::sync::lock;
use tokio::sync::Notify;

/// Number of a waiting request, in the order of arrival.
type Ticket = u64;

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub struct Waiting {
    queue: Mutex<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    next: Ticket,
    waiters: BTreeMap<Ticket, (Option<Urgency>, Arc<Notify>)>,
}

/// A waiting request. It leaves the queue when it is dropped.
#[derive(Debug)]
pub struct Waiter<'a> {
    waiting: &'a Waiting,
    ticket: Ticket,
    turn: Arc<Notify>,
}

impl Waiting {
    /// Adds a request to the queue. Requests without an urgency take turns in the order of arrival.
    pub fn join(&self, urgency: Option<Urgency>) -> Waiter<'_> {
        let mut queue = lock(&self.queue);
        let ticket = queue.next;
        queue.next += 1;
        let turn = Arc::new(Notify::new());
        queue.waiters.insert(ticket, (urgency, turn.clone()));
        Waiter { waiting: self, ticket, turn }
    }

    /// Wakes the request that is next, because a searcher has room for one more.
    pub fn wake_next(&self, now: Instant) {
        let mut queue = lock(&self.queue);
        let mut next: Option<(Ticket, Option<Urgency>)> = None;
        for (ticket, (urgency, _)) in &queue.waiters {
            let goes_before = match (urgency, next) {
                (_, None) => true,
                (Some(urgency), Some((_, Some(best)))) => urgency.goes_before(&best, now),
                (_, Some(_)) => false,
            };
            if goes_before {
                next = Some((*ticket, *urgency));
            }
        }
        if let Some((ticket, _)) = next
            && let Some((_, turn)) = queue.waiters.remove(&ticket)
        {
            turn.notify_one();
        }
    }
}

impl Waiter<'_> {
    /// Returns once it is this request's turn.
    pub async fn turn(&self) {
        self.turn.notified().await;
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        lock(&self.waiting.queue).waiters.remove(&self.ticket);
    }
}
