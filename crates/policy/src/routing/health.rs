//! What one host has observed of one searcher, and the choice among several.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::RouteName;
use crate::routing::RecentLatencies;

/// How many times its expected latency an attempt may take before its searcher is taken to pause.
const PAUSE_FACTOR: f64 = 2.5;

/// Least time before a searcher is taken to pause.
const MIN_PAUSE: Duration = Duration::from_millis(12);

/// What a pause is expected to cost a request that is sent into it, in seconds.
const PAUSE_COST: f64 = 0.1;

/// What sending to another availability zone costs beside its latency, as a share of the
/// objective: bytes between zones are paid for, and a little time is not.
const REMOTE_COST: f64 = 0.1;

/// How long a searcher is avoided after its first failure, and how long before it is asked for its
/// health; doubled with each further failure.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(300);

/// Longest time for which a searcher is avoided before it is asked for its health.
const MAX_AVOIDANCE: Duration = Duration::from_secs(1);

/// Cost of a searcher that failed a moment ago, in seconds: any other one is better.
const AVOIDED_COST: f64 = 10.0;

/// How long a searcher is avoided after it refused for lack of room.
const FULL_AVOIDANCE: Duration = Duration::from_millis(30);

/// Requests without an answer after which a silent searcher counts as unreachable.
const MAX_UNANSWERED: u32 = 3;

/// Least silence after which it does: pauses last some 100 ms.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// How long a searcher that left an attempt without an answer is passed over before one more
/// request tries it. A pause is over by then, and a searcher that is slow for longer costs one
/// hedge a second.
const STALL_MEMORY: Duration = Duration::from_secs(1);

/// Latencies of so many routes are kept for a searcher.
const MAX_ROUTES: usize = 32;

/// What one host has observed of one searcher.
#[derive(Debug, Default)]
pub struct SearcherHealth {
    latencies: BTreeMap<RouteName, RecentLatencies>,
    /// When each running attempt was sent.
    running: Vec<Instant>,
    failures: u32,
    avoided_until: Option<Instant>,
    unreachable: bool,
    /// Requests given up without an answer since the last one.
    unanswered: u32,
    /// When the first of these was sent.
    silent_since: Option<Instant>,
    /// When the last of these was given up.
    stalled_at: Option<Instant>,
}

impl SearcherHealth {
    /// Notes that an attempt is sent.
    pub fn note_sent(&mut self, now: Instant) {
        self.running.push(now);
    }

    /// Notes that an attempt sent at `sent` has ended, however it did.
    pub fn note_ended(&mut self, sent: Instant) {
        if let Some(at) = self.running.iter().position(|running| *running == sent) {
            self.running.swap_remove(at);
        }
    }

    /// Notes an answer of the searcher.
    pub fn note_answer(&mut self, route: &RouteName, latency: Duration, now: Instant) {
        self.note_recovered();
        self.record(route, latency, now);
    }

    fn record(&mut self, route: &RouteName, latency: Duration, now: Instant) {
        if self.latencies.len() >= MAX_ROUTES && !self.latencies.contains_key(route) {
            self.latencies.clear();
        }
        self.latencies
            .entry(route.clone())
            .and_modify(|estimate| estimate.record(latency, now))
            .or_insert_with(|| RecentLatencies::new(latency, now));
    }

    /// Notes a bad answer or a connection that was lost: others are preferred for a while.
    pub fn note_failure(&mut self, now: Instant) {
        let avoidance = FIRST_AVOIDANCE * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        self.avoided_until = Some(now + avoidance.min(MAX_AVOIDANCE));
    }

    /// Notes that the searcher cannot be reached or keeps silent: it gets no request until it
    /// answers a health request.
    pub fn note_unreachable(&mut self, now: Instant) {
        self.note_failure(now);
        self.unreachable = true;
    }

    /// Notes that an attempt sent at `sent` was given up without an answer: it would have taken
    /// longer than that.
    pub fn note_unanswered(&mut self, route: Option<&RouteName>, sent: Instant, now: Instant) {
        if let Some(route) = route {
            self.record(route, now.saturating_duration_since(sent), now);
        }
        self.stalled_at = Some(now);
        self.unanswered += 1;
        let since = *self.silent_since.get_or_insert(sent);
        let silent = now.saturating_duration_since(since) >= MIN_SILENCE;
        if self.unanswered >= MAX_UNANSWERED && silent {
            self.unanswered = 0;
            self.silent_since = None;
            self.note_unreachable(now);
        }
    }

    /// Returns whether the searcher gets no requests.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Returns whether it failed a moment ago.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Returns whether the searcher failed and has not answered since.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Notes that the searcher refused for lack of room.
    pub fn note_busy(&mut self, now: Instant) {
        let until = now + FULL_AVOIDANCE;
        self.avoided_until = Some(self.avoided_until.map_or(until, |known| known.max(until)));
    }

    /// Notes that the searcher says it is healthy.
    pub fn note_recovered(&mut self) {
        self.failures = 0;
        self.unanswered = 0;
        self.silent_since = None;
        self.stalled_at = None;
        self.unreachable = false;
        self.avoided_until = None;
    }

    /// Ends the time for which the searcher is avoided, since the cause of its failures is gone.
    pub fn end_backoff(&mut self, now: Instant) {
        self.failures = self.failures.min(1);
        self.avoided_until = self.avoided_until.map(|until| until.min(now));
    }

    /// Returns whether the searcher failed and it is time to ask whether it is back.
    pub fn needs_probe(&self, now: Instant) -> bool {
        self.is_suspect() && !self.is_avoided(now)
    }

    /// Returns the typical latency of a route in seconds, or `None` while nothing is known.
    pub fn typical_latency(&self, route: &RouteName) -> Option<f64> {
        self.latencies.get(route).map(RecentLatencies::median)
    }

    /// Returns the expected latency of one more attempt, in seconds, pauses apart.
    pub fn expected_latency(&self, view: &ReplicaView<'_>, now: Instant) -> f64 {
        let waiting = (self.running.len() as f64 / f64::from(view.slots.max(1))).floor();
        self.unloaded(view, now) * (1.0 + waiting)
    }

    /// Returns the expected cost of one more attempt, in seconds; lower is better.
    pub fn cost(&self, view: &ReplicaView<'_>, now: Instant) -> f64 {
        let latency = self.unloaded(view, now);
        let mut cost = self.expected_latency(view, now);
        if !view.local {
            cost += REMOTE_COST * view.objective.as_secs_f64();
        }
        let oldest = self.running.iter().min();
        let age = oldest.map_or(0.0, |sent| now.saturating_duration_since(*sent).as_secs_f64());
        let pausing = age > (latency * PAUSE_FACTOR).max(MIN_PAUSE.as_secs_f64());
        if pausing || self.is_stalled(now) {
            cost += PAUSE_COST;
        }
        match self.is_avoided(now) {
            true => cost + AVOIDED_COST,
            false => cost,
        }
    }

    /// Whether an attempt was given up a moment ago and nothing was answered since.
    fn is_stalled(&self, now: Instant) -> bool {
        self.stalled_at.is_some_and(|at| now.saturating_duration_since(at) < STALL_MEMORY)
    }

    fn unloaded(&self, view: &ReplicaView<'_>, now: Instant) -> f64 {
        let prior = view.prior;
        let Some(estimate) = self.latencies.get(view.route) else {
            return prior;
        };
        // One that was slow is tried again when that is forgotten; a hedge covers the trial.
        match estimate.is_stale(now) {
            true => estimate.median().min(prior),
            false => estimate.median(),
        }
    }
}

/// What a choice knows of a searcher beside its health.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaView<'a> {
    /// The route of the request.
    pub route: &'a RouteName,
    /// Latency of the route at searchers of which nothing is known, in seconds.
    pub prior: f64,
    /// Time within which the whole request is to be answered.
    pub objective: Duration,
    /// Whether the searcher is in the host's own availability zone.
    pub local: bool,
    /// Requests that it runs at a time.
    pub slots: u32,
}
