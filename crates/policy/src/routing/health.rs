//! Observed health of a searcher and the expected cost of sending it one more attempt.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::RouteName;
use crate::notice::StatedLoad;
use crate::routing::RecentLatencies;
use crate::routing::load::EXPECTED_DRAW;
use crate::routing::load::ObservedLoad;

/// Age of the oldest running attempt, as a multiple of the expected latency, from which its
/// searcher is assumed to be pausing.
const PAUSE_FACTOR: f64 = 2.5;

/// Minimum age of the oldest running attempt before its searcher is assumed to be pausing.
const MIN_PAUSE_AGE: Duration = Duration::from_millis(12);

/// Expected delay of a request that is sent to a pausing searcher, in seconds.
const PAUSE_COST: f64 = 0.1;

/// Cost of sending to another availability zone in addition to the latency, as a share of the
/// objective. Traffic between zones is charged for, while a little more latency costs nothing.
const REMOTE_COST_SHARE: f64 = 0.1;

/// Time for which a searcher is avoided after its first failure and after which it is probed. It
/// doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum time for which a searcher is avoided before it is probed.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Additional cost of an avoided searcher, in seconds. It is high enough that any other searcher is
/// preferred.
const AVOIDED_COST: f64 = 10.0;

/// Time for which a searcher is avoided after it refused a request because it was busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(30);

/// Minimum number of unanswered requests since the last answer before a searcher counts as
/// unreachable. [`MIN_SILENCE`] must have passed too.
const MIN_UNANSWERED: u32 = 3;

/// Minimum time without an answer before a searcher counts as unreachable. It is longer than a
/// searcher's pauses, which last about 100 ms.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// How long a searcher is less preferred after it left an attempt unanswered, before one more
/// request is sent to it. A pause has ended by then, and a searcher that is slow for longer causes
/// only one hedge per second.
const STALL_TTL: Duration = Duration::from_secs(1);

/// Time that work takes at a searcher that warms up, as a multiple of the usual time, unless the searcher
/// states it.
const WARMUP_SLOWNESS: f64 = 1.6;

/// Maximum number of routes whose latencies are kept for a searcher. The table is cleared when it
/// is full.
const MAX_ROUTES: usize = 32;

/// Latencies, failures and running attempts of one searcher, as observed by one host.
#[derive(Debug, Default)]
pub struct SearcherHealth {
    latencies: BTreeMap<RouteName, RecentLatencies>,
    /// Times at which the running attempts were sent.
    running: Vec<Instant>,
    /// Number of consecutive failures.
    failures: u32,
    avoided_until: Option<Instant>,
    /// Whether the searcher gets no requests until it answers a health request.
    unreachable: bool,
    /// Number of requests abandoned without an answer since the last answer.
    unanswered: u32,
    /// When the first of these requests was sent.
    silent_since: Option<Instant>,
    /// When the last of these requests was abandoned.
    stalled_at: Option<Instant>,
    /// Load that the searcher stated last; `None` if it has stated none.
    load: Option<ObservedLoad>,
    /// End of the searcher's warm-up.
    warm_at: Option<Instant>,
}

impl SearcherHealth {
    /// Records that an attempt is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.running.push(now);
    }

    /// Records that an attempt sent at `sent` has ended, whatever its outcome.
    pub fn record_ended(&mut self, sent: Instant) {
        if let Some(index) = self.running.iter().position(|running| *running == sent) {
            self.running.swap_remove(index);
        }
    }

    /// Returns the number of running attempts.
    pub fn outstanding(&self) -> usize {
        self.running.len()
    }

    /// Records the load that the searcher stated in a reply that was received at `now`. The exchange
    /// has not been recorded as ended yet.
    pub fn record_load(&mut self, stated: StatedLoad, now: Instant) {
        let own = self.running.len();
        self.load = Some(ObservedLoad::new(stated, own, self.load.as_ref(), now));
    }

    /// Records when the searcher has warmed up, or that it does not warm up.
    pub fn record_warmup(&mut self, warm_at: Option<Instant>) {
        self.warm_at = warm_at;
    }

    /// Returns how long work takes at the searcher, as a multiple of the usual time.
    fn slowness(&self, now: Instant) -> f64 {
        let stated = self.load(now).map_or(1.0, |load| load.slowness(now));
        match self.warm_at.is_some_and(|at| now < at) && stated == 1.0 {
            true => WARMUP_SLOWNESS,
            false => stated,
        }
    }

    /// Returns the load that the searcher stated lately.
    fn load(&self, now: Instant) -> Option<&ObservedLoad> {
        self.load.as_ref().filter(|load| load.is_current(now))
    }

    /// Records an answer of the searcher and its latency.
    pub fn record_answer(&mut self, route: &RouteName, latency: Duration, now: Instant) {
        self.record_recovered();
        let latency = match self.load(now) {
            // The wait for a slot follows from the load, and is not to be counted twice.
            Some(load) => latency.div_f64(load.queue_factor()),
            None => latency,
        };
        self.record_latency(route, latency, now);
    }

    fn record_latency(&mut self, route: &RouteName, latency: Duration, now: Instant) {
        if self.latencies.len() >= MAX_ROUTES && !self.latencies.contains_key(route) {
            self.latencies.clear();
        }
        let slowness = self.slowness(now);
        let latency = if slowness == 1.0 { latency } else { latency.div_f64(slowness) };
        self.latencies
            .entry(route.clone())
            .and_modify(|estimate| estimate.record(latency, now))
            .or_insert_with(|| RecentLatencies::new(latency, now));
    }

    /// Records an invalid answer, a server error or a lost connection. Other searchers are
    /// preferred for a while.
    pub fn record_failure(&mut self, now: Instant) {
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        self.avoided_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Records that the searcher cannot be reached or does not answer. It gets no requests until it
    /// answers a health request.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_failure(now);
        self.unreachable = true;
    }

    /// Records that an attempt sent at `sent` was abandoned without an answer. The elapsed time
    /// counts as its latency, which is a lower bound.
    pub fn record_unanswered(&mut self, route: Option<&RouteName>, sent: Instant, now: Instant) {
        if let Some(route) = route {
            self.record_latency(route, now.saturating_duration_since(sent), now);
        }
        self.stalled_at = Some(now);
        self.unanswered += 1;
        let since = *self.silent_since.get_or_insert(sent);
        let silent_long_enough = now.saturating_duration_since(since) >= MIN_SILENCE;
        if self.unanswered >= MIN_UNANSWERED && silent_long_enough {
            self.unanswered = 0;
            self.silent_since = None;
            self.record_unreachable(now);
        }
    }

    /// Returns whether the searcher is unreachable and gets no requests.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Returns whether the searcher is avoided after a recent failure or refusal.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Returns whether the searcher failed and has not answered since.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Records that the searcher refused a request because it was busy.
    pub fn record_busy(&mut self, now: Instant) {
        let until = now + BUSY_BACKOFF;
        self.avoided_until = Some(self.avoided_until.map_or(until, |known| known.max(until)));
    }

    /// Records that the searcher responds, though it runs no request. Requests that were cancelled
    /// meanwhile do not count as unanswered.
    pub fn record_responding(&mut self) {
        self.unanswered = 0;
        self.silent_since = None;
    }

    /// Records that the searcher has answered a request or reported that it is healthy.
    pub fn record_recovered(&mut self) {
        self.failures = 0;
        self.unanswered = 0;
        self.silent_since = None;
        self.stalled_at = None;
        self.unreachable = false;
        self.avoided_until = None;
    }

    /// Ends the backoff early, since the cause of the failures has ended.
    pub fn end_backoff(&mut self, now: Instant) {
        self.failures = self.failures.min(1);
        self.avoided_until = self.avoided_until.map(|until| until.min(now));
    }

    /// Returns whether the searcher failed and its backoff has ended, so that it should be probed.
    pub fn needs_probe(&self, now: Instant) -> bool {
        self.is_suspect() && !self.is_avoided(now)
    }

    /// Returns the typical latency of a route in seconds, or `None` while no latency is known.
    pub fn typical_latency(&self, route: &RouteName) -> Option<f64> {
        let slowness = self.load.as_ref().map_or(1.0, ObservedLoad::stated_slowness);
        self.latencies.get(route).map(|latencies| latencies.median() * slowness)
    }

    /// Returns the expected latency of one more attempt, in seconds, without the effect of pauses.
    pub fn expected_latency(&self, view: &ReplicaView<'_>, now: Instant) -> f64 {
        self.drawn_latency(view, EXPECTED_DRAW, now)
    }

    /// Returns the latency of one more attempt, in seconds, if `draw`, from 0.0 to 1.0, picks the number
    /// of requests that other hosts have at a searcher that states its load.
    fn drawn_latency(&self, view: &ReplicaView<'_>, draw: f64, now: Instant) -> f64 {
        let latency = self.unloaded_latency(view, now);
        match self.load(now) {
            Some(load) => latency + load.wait(self.running.len(), latency, draw, now),
            None => {
                let rounds_ahead =
                    (self.running.len() as f64 / f64::from(view.slots.max(1))).floor();
                latency * (1.0 + rounds_ahead)
            }
        }
    }

    /// Returns what delays a request that this host sends now, or the last one that it has sent, or
    /// `None` if the searcher has stated no load lately.
    pub fn queue(&self, view: &ReplicaView<'_>, now: Instant) -> Option<ExpectedQueue> {
        let load = self.load(now)?;
        let work = self.unloaded_latency(view, now);
        let own = self.running.len();
        Some(ExpectedQueue {
            work,
            next_wait: load.wait(own, work, EXPECTED_DRAW, now),
            last_wait: load.wait(own.saturating_sub(1), work, EXPECTED_DRAW, now),
            is_pausing: self.is_pausing(view, now),
        })
    }

    /// Returns the expected cost of one more attempt, in seconds. A lower cost is better.
    pub fn cost(&self, view: &ReplicaView<'_>, now: Instant) -> f64 {
        self.drawn_cost(view, EXPECTED_DRAW, now)
    }

    /// Returns the cost of one more attempt, in seconds, if `draw`, from 0.0 to 1.0, picks the number of
    /// requests that other hosts have at a searcher that states its load. Random draws keep the hosts
    /// from choosing the same searcher.
    pub fn drawn_cost(&self, view: &ReplicaView<'_>, draw: f64, now: Instant) -> f64 {
        let mut cost = self.drawn_latency(view, draw, now);
        if !view.local {
            cost += REMOTE_COST_SHARE * view.objective.as_secs_f64();
        }
        if self.is_pausing(view, now) || self.is_stalled(now) {
            cost += PAUSE_COST;
        }
        match self.is_avoided(now) {
            true => cost + AVOIDED_COST,
            false => cost,
        }
    }

    /// Returns whether the oldest running attempt takes so long that the searcher seems to pause.
    fn is_pausing(&self, view: &ReplicaView<'_>, now: Instant) -> bool {
        let Some(oldest_sent) = self.running.iter().min() else {
            return false;
        };
        let expected = match self.load(now) {
            Some(_) => self.expected_latency(view, now),
            None => self.unloaded_latency(view, now),
        };
        let age = now.saturating_duration_since(*oldest_sent).as_secs_f64();
        age > (expected * PAUSE_FACTOR).max(MIN_PAUSE_AGE.as_secs_f64())
    }

    /// Returns whether an attempt was abandoned recently and no answer has arrived since.
    fn is_stalled(&self, now: Instant) -> bool {
        self.stalled_at.is_some_and(|at| now.saturating_duration_since(at) < STALL_TTL)
    }

    /// Returns the expected latency of an attempt on an idle searcher, in seconds.
    fn unloaded_latency(&self, view: &ReplicaView<'_>, now: Instant) -> f64 {
        let slowness = self.slowness(now);
        let prior = view.prior * slowness;
        let Some(estimate) = self.latencies.get(view.route) else {
            return prior;
        };
        let latency = estimate.median() * slowness;
        // A searcher that was slow is tried again once its latencies are stale. A hedge limits the
        // cost of that trial.
        match estimate.is_stale(now) {
            true => latency.min(prior),
            false => latency,
        }
    }
}

/// What delays requests at a searcher that states its load. Times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedQueue {
    /// Time that a request takes once it runs.
    pub work: f64,
    /// Expected wait for a slot of a request that this host sends now.
    pub next_wait: f64,
    /// Expected wait for a slot of the last request that this host has sent, if it is still there.
    pub last_wait: f64,
    /// Whether the searcher seems to pause.
    pub is_pausing: bool,
}

/// Properties of a request and of a searcher that a choice considers in addition to its health.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaView<'a> {
    /// The route of the request.
    pub route: &'a RouteName,
    /// Latency assumed for the route at a searcher without known latencies, in seconds.
    pub prior: f64,
    /// Objective for the time in which the whole request is answered.
    pub objective: Duration,
    /// Whether the searcher is in the host's own availability zone.
    pub local: bool,
    /// Number of requests that the searcher runs concurrently.
    pub slots: u32,
}
