//! Choice among the replicas of a shard by what was observed of them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::SearcherId;

/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Latency assumed of a searcher that was never seen, in seconds.
const UNKNOWN_LATENCY: f64 = 0.005;

/// How long a failure counts against a searcher.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);

/// How long a searcher is passed over after its owner said that it is leaving; the owner itself is
/// asked again after that.
const DRAIN_MEMORY: Duration = Duration::from_secs(2);

/// Factor by which a recent failure makes a searcher look slower.
const FAILURE_PENALTY: f64 = 20.0;

/// What the way to another zone and back adds, in seconds.
const REMOTE_LATENCY: f64 = 0.003;

/// An attempt that was given up would have taken longer; this factor stands for how much.
const ABANDONED_FACTOR: f64 = 4.0;

/// Time in which half of what is known of a searcher's latency is forgotten, so that one that was
/// slow is tried again.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// What was observed of one searcher.
#[derive(Debug, Clone)]
pub struct ReplicaLoad {
    /// Moving average of the latency, in seconds.
    latency: f64,
    /// When the latency was last observed.
    seen: Option<Instant>,
    /// Attempts sent and not yet answered.
    in_flight: u32,
    /// Until when a failure counts.
    failed_until: Option<Instant>,
    /// Until when it is taken as leaving.
    draining_until: Option<Instant>,
}

impl Default for ReplicaLoad {
    fn default() -> Self {
        Self {
            latency: UNKNOWN_LATENCY,
            seen: None,
            in_flight: 0,
            failed_until: None,
            draining_until: None,
        }
    }
}

impl ReplicaLoad {
    /// Returns the expected cost of one more attempt, in seconds.
    fn cost(&self, local: bool, now: Instant) -> f64 {
        let mut cost = self.expected_latency(now) * f64::from(self.in_flight + 1);
        if self.failed_until.is_some_and(|until| now < until) {
            cost *= FAILURE_PENALTY;
        }
        if !local {
            cost += REMOTE_LATENCY;
        }
        cost
    }

    fn expected_latency(&self, now: Instant) -> f64 {
        let Some(seen) = self.seen else {
            return self.latency;
        };
        let age = now.saturating_duration_since(seen).as_secs_f64();
        let kept = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        UNKNOWN_LATENCY + kept * (self.latency - UNKNOWN_LATENCY)
    }

    fn observe(&mut self, latency: f64, now: Instant) {
        let present = self.expected_latency(now);
        self.latency = present + LATENCY_WEIGHT * (latency - present);
        self.seen = Some(now);
    }

    fn is_draining(&self, now: Instant) -> bool {
        self.draining_until.is_some_and(|until| now < until)
    }
}

/// What one host has observed of every searcher that it uses.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    loads: BTreeMap<SearcherId, ReplicaLoad>,
}

impl ReplicaTable {
    /// Returns the best of `replicas`, each with whether it is in the home zone.
    ///
    /// Replicas that are draining are left out.
    pub fn choose<'a>(
        &self,
        replicas: impl IntoIterator<Item = (&'a SearcherId, bool)>,
        now: Instant,
    ) -> Option<&'a SearcherId> {
        let unknown = ReplicaLoad::default();
        replicas
            .into_iter()
            .map(|(id, local)| (id, local, self.loads.get(id).unwrap_or(&unknown)))
            .filter(|(_, _, load)| !load.is_draining(now))
            .map(|(id, local, load)| (load.cost(local, now), id))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id)
    }

    /// Notes an attempt that is being sent.
    pub fn note_sent(&mut self, id: &SearcherId) {
        self.load(id).in_flight += 1;
    }

    /// Notes an attempt that ran.
    pub fn note_ran(&mut self, id: &SearcherId, latency: Duration, now: Instant) {
        let load = self.load(id);
        load.in_flight = load.in_flight.saturating_sub(1);
        load.observe(latency.as_secs_f64(), now);
        load.failed_until = None;
    }

    /// Notes an attempt that failed for a reason that speaks against the searcher.
    pub fn note_failed(&mut self, id: &SearcherId, now: Instant) {
        let load = self.load(id);
        load.in_flight = load.in_flight.saturating_sub(1);
        load.failed_until = Some(now + FAILURE_MEMORY);
    }

    /// Notes an attempt that ended without a word about the searcher's latency.
    pub fn note_ended(&mut self, id: &SearcherId) {
        let load = self.load(id);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Notes an attempt that was given up while it was running.
    pub fn note_abandoned(&mut self, id: &SearcherId, waited: Duration, now: Instant) {
        let load = self.load(id);
        load.in_flight = load.in_flight.saturating_sub(1);
        let least = waited.as_secs_f64() * ABANDONED_FACTOR;
        if least > load.expected_latency(now) {
            load.observe(least, now);
        }
    }

    /// Notes that a searcher says it is leaving.
    pub fn note_draining(&mut self, id: &SearcherId, now: Instant) {
        self.load(id).draining_until = Some(now + DRAIN_MEMORY);
    }

    /// Returns whether the searcher is taken as leaving.
    pub fn is_draining(&self, id: &SearcherId, now: Instant) -> bool {
        self.loads.get(id).is_some_and(|load| load.is_draining(now))
    }

    fn load(&mut self, id: &SearcherId) -> &mut ReplicaLoad {
        self.loads.entry(id.clone()).or_default()
    }
}
