//! Choice among the replicas of a shard by their observed latency, load and failures.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::SearcherId;

/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Latency assumed for a searcher without observations, in seconds.
const DEFAULT_LATENCY: f64 = 0.005;

/// How long a failure raises the cost of a searcher.
const FAILURE_PENALTY_TIME: Duration = Duration::from_secs(2);

/// How long a searcher is skipped after its owner reported that it is draining. After that time the
/// owner is asked again.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Factor by which a recent failure raises the cost of a searcher.
const FAILURE_PENALTY: f64 = 20.0;

/// Additional latency of a round trip to another zone, in seconds.
const REMOTE_LATENCY: f64 = 0.003;

/// Estimated latency of an abandoned attempt, as a multiple of the time until it was abandoned. It
/// would have taken longer than that.
const ABANDONED_FACTOR: f64 = 4.0;

/// Time in which the difference between the observed and the default latency halves, so that a
/// searcher that was slow is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(20);

/// Observed latency, load and failures of one searcher.
#[derive(Debug, Clone)]
pub struct ReplicaLoad {
    /// Moving average of the latency, in seconds.
    latency: f64,
    /// When the latency was last observed.
    observed_at: Option<Instant>,
    /// Number of attempts that were sent and have not ended.
    in_flight: u32,
    /// End of the penalty for the last failure.
    penalized_until: Option<Instant>,
    /// Time until which the searcher counts as draining.
    draining_until: Option<Instant>,
}

impl Default for ReplicaLoad {
    fn default() -> Self {
        Self {
            latency: DEFAULT_LATENCY,
            observed_at: None,
            in_flight: 0,
            penalized_until: None,
            draining_until: None,
        }
    }
}

impl ReplicaLoad {
    /// Returns the expected cost of one more attempt, in seconds.
    fn cost(&self, local: bool, now: Instant) -> f64 {
        let mut cost = self.expected_latency(now) * f64::from(self.in_flight + 1);
        if self.penalized_until.is_some_and(|until| now < until) {
            cost *= FAILURE_PENALTY;
        }
        if !local {
            cost += REMOTE_LATENCY;
        }
        cost
    }

    /// Returns the moving average, which decays towards the default latency, in seconds.
    fn expected_latency(&self, now: Instant) -> f64 {
        let Some(observed_at) = self.observed_at else {
            return self.latency;
        };
        let age = now.saturating_duration_since(observed_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64());
        DEFAULT_LATENCY + weight * (self.latency - DEFAULT_LATENCY)
    }

    fn observe(&mut self, latency: f64, now: Instant) {
        let current = self.expected_latency(now);
        self.latency = current + LATENCY_WEIGHT * (latency - current);
        self.observed_at = Some(now);
    }

    fn is_draining(&self, now: Instant) -> bool {
        self.draining_until.is_some_and(|until| now < until)
    }
}

/// What one host has observed about every searcher that it uses.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    loads: BTreeMap<SearcherId, ReplicaLoad>,
}

impl ReplicaTable {
    /// Returns the replica with the lowest expected cost, or `None` if there is none. Each replica
    /// comes with a flag that says whether it is in the host's own zone.
    ///
    /// Draining replicas are left out.
    pub fn choose<'a>(
        &self,
        replicas: impl IntoIterator<Item = (&'a SearcherId, bool)>,
        now: Instant,
    ) -> Option<&'a SearcherId> {
        let default_load = ReplicaLoad::default();
        replicas
            .into_iter()
            .map(|(id, local)| (id, local, self.loads.get(id).unwrap_or(&default_load)))
            .filter(|(_, _, load)| !load.is_draining(now))
            .map(|(id, local, load)| (load.cost(local, now), id))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id)
    }

    /// Records that an attempt is sent.
    pub fn record_sent(&mut self, id: &SearcherId) {
        self.load(id).in_flight += 1;
    }

    /// Records that an attempt ran, with its latency.
    pub fn record_ran(&mut self, id: &SearcherId, latency: Duration, now: Instant) {
        let load = self.load(id);
        load.in_flight = load.in_flight.saturating_sub(1);
        load.observe(latency.as_secs_f64(), now);
        load.penalized_until = None;
    }

    /// Records that an attempt failed for a reason that lies with the searcher.
    pub fn record_failed(&mut self, id: &SearcherId, now: Instant) {
        let load = self.load(id);
        load.in_flight = load.in_flight.saturating_sub(1);
        load.penalized_until = Some(now + FAILURE_PENALTY_TIME);
    }

    /// Records that an attempt ended without information about the searcher's latency.
    pub fn record_ended(&mut self, id: &SearcherId) {
        let load = self.load(id);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Records that an attempt was abandoned after `waited` while it was running.
    pub fn record_abandoned(&mut self, id: &SearcherId, waited: Duration, now: Instant) {
        let load = self.load(id);
        load.in_flight = load.in_flight.saturating_sub(1);
        let estimate = waited.as_secs_f64() * ABANDONED_FACTOR;
        if estimate > load.expected_latency(now) {
            load.observe(estimate, now);
        }
    }

    /// Records that a searcher was reported to be draining.
    pub fn record_draining(&mut self, id: &SearcherId, now: Instant) {
        self.load(id).draining_until = Some(now + DRAIN_TIME);
    }

    /// Returns whether the searcher counts as draining.
    pub fn is_draining(&self, id: &SearcherId, now: Instant) -> bool {
        self.loads.get(id).is_some_and(|load| load.is_draining(now))
    }

    fn load(&mut self, id: &SearcherId) -> &mut ReplicaLoad {
        self.loads.entry(id.clone()).or_default()
    }
}
