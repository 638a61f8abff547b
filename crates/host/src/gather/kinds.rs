//! The hedging, retry budget and statistics of each kind of work on this host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use galenaloft_config::sheet::Kind;
use galenaloft_operator::wire::KindStatus;
use galenaloft_policy::ids::KindName;
use galenaloft_policy::routing::HedgePolicy;
use galenaloft_policy::routing::RetryBudget;
use galenaloft_runtime::sync::lock;
use hdrhistogram::Histogram;

/// Hedging, retry budget and statistics of one kind.
#[derive(Debug)]
pub struct KindState {
    /// Decides when to hedge.
    pub hedge: HedgePolicy,
    /// Limits the retries.
    pub retry: RetryBudget,
    rank: u8,
    answered: u32,
    refused: u32,
    incomplete: u32,
    /// Latency of answered requests in microseconds, up to 10 minutes.
    latency: Histogram<u32>,
}

impl KindState {
    fn new(kind: &Kind, now: Instant) -> Self {
        Self {
            hedge: HedgePolicy::new(kind.extra_load, now),
            retry: RetryBudget::new(kind.retries),
            rank: kind.rank,
            answered: 0,
            refused: 0,
            incomplete: 0,
            latency: Histogram::new_with_max(600_000_000, 2)
                .expect("the range and the precision are valid"),
        }
    }

    /// Counts an answered request.
    pub fn record_answer(&mut self, latency: Duration, complete: bool) {
        self.answered += 1;
        self.incomplete += u32::from(!complete);
        self.latency.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
    }

    /// Counts a request that was refused or failed.
    pub fn record_refusal(&mut self) {
        self.refused += 1;
    }

    fn status(&self, kind: &KindName) -> KindStatus {
        let millis = |quantile| (self.latency.value_at_quantile(quantile) / 1_000) as u32;
        KindStatus {
            kind: kind.to_string(),
            rank: u32::from(self.rank),
            answered: self.answered,
            refused: self.refused,
            incomplete: self.incomplete,
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
        }
    }
}

/// State of every kind that has been requested.
#[derive(Debug, Default)]
pub struct KindTable {
    kinds: Mutex<BTreeMap<KindName, Arc<Mutex<KindState>>>>,
}

impl KindTable {
    /// Returns the state of a kind, which is created on first use. Updates its rank and its hedge
    /// ratio (`extra_load`) to those of `kind`; its retry ratio stays as it was at creation.
    pub fn get(&self, name: &KindName, kind: &Kind, now: Instant) -> Arc<Mutex<KindState>> {
        let mut kinds = lock(&self.kinds);
        let state = kinds
            .entry(name.clone())
            .or_insert_with(|| Arc::new(Mutex::new(KindState::new(kind, now))))
            .clone();
        let mut state_guard = lock(&state);
        state_guard.hedge.set_ratio(kind.extra_load);
        state_guard.rank = kind.rank;
        drop(state_guard);
        state
    }

    /// Returns the statistics of every kind.
    pub fn status(&self) -> Vec<KindStatus> {
        lock(&self.kinds).iter().map(|(name, state)| lock(state).status(name)).collect()
    }
}
