//! The instruments of one process.

use std::fmt;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.07, 0.1, 0.15, 0.2, 0.28, 0.5, 1.0, 5.0];

/// Upper bounds of the coverage histogram's buckets, as shares of the whole.
const COVERAGE_BOUNDS: [f64; 10] = [0.0, 0.25, 0.5, 0.75, 0.8, 0.9, 0.95, 0.98, 0.99, 0.9999];

/// Upper bounds of the extra-load histogram's buckets, as extra attempts per first attempt.
const EXTRA_LOAD_BOUNDS: [f64; 8] = [0.0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0];

/// Why an attempt was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptRole {
    /// The first attempt on a shard.
    First,
    /// A second attempt because the first is slow.
    Hedge,
    /// Another attempt because one failed.
    Retry,
}

/// Instruments for requests, attempts and refusals.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Keeps the pipeline alive.
    _provider: SdkMeterProvider,
    latency: Histogram<f64>,
    coverage: Histogram<f64>,
    extra_load: Histogram<f64>,
    attempts: Counter<u64>,
    outcomes: Counter<u64>,
    invalid_notices: Counter<u64>,
    evacuated_zones: Gauge<u64>,
    store_era: Gauge<u64>,
    unreadable_items: Counter<u64>,
    store_reads_again: Counter<u64>,
    suspected_requests: Gauge<u64>,
    refusals: Counter<u64>,
    admitted_shares: Gauge<f64>,
    bodies_refused: Counter<u64>,
    connections_closed: Counter<u64>,
    meter: Meter,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("galenaloft");
        let histogram = |name: &'static str, bounds: &[f64]| {
            meter.f64_histogram(name).with_boundaries(bounds.to_vec()).build()
        };
        Self {
            latency: histogram("galenaloft_request_seconds", &LATENCY_BOUNDS),
            coverage: histogram("galenaloft_coverage_ratio", &COVERAGE_BOUNDS),
            extra_load: histogram("galenaloft_extra_load_ratio", &EXTRA_LOAD_BOUNDS),
            attempts: meter.u64_counter("galenaloft_attempts").build(),
            outcomes: meter.u64_counter("galenaloft_requests").build(),
            invalid_notices: meter.u64_counter("galenaloft_invalid_notices").build(),
            evacuated_zones: meter.u64_gauge("galenaloft_evacuated_zones").build(),
            store_era: meter.u64_gauge("galenaloft_store_era").build(),
            unreadable_items: meter.u64_counter("galenaloft_store_unreadable_items").build(),
            store_reads_again: meter.u64_counter("galenaloft_store_reads_again").build(),
            suspected_requests: meter.u64_gauge("galenaloft_suspected_requests").build(),
            refusals: meter.u64_counter("galenaloft_refusals").build(),
            admitted_shares: meter.f64_gauge("galenaloft_admitted_share").build(),
            bodies_refused: meter.u64_counter("galenaloft_bodies_refused").build(),
            connections_closed: meter.u64_counter("galenaloft_connections_closed").build(),
            meter,
            registry,
            _provider: provider,
        }
    }
}

impl Metrics {
    /// Records an answered search or fetch.
    pub fn answered(&self, kind: &str, rank: u8, latency: Duration, coverage: f64, extra: f64) {
        let labels = labels(kind, rank);
        self.latency.record(latency.as_secs_f64(), &labels);
        self.coverage.record(coverage, &labels);
        self.extra_load.record(extra, &labels);
    }

    /// Records a finished submission.
    pub fn submitted(&self, kind: &str, rank: u8, latency: Duration) {
        self.latency.record(latency.as_secs_f64(), &labels(kind, rank));
    }

    /// Counts attempts sent for one reason.
    pub fn attempts(&self, kind: &str, role: AttemptRole, count: u64) {
        let role = match role {
            AttemptRole::First => "first",
            AttemptRole::Hedge => "hedge",
            AttemptRole::Retry => "retry",
        };
        let labels = [KeyValue::new("kind", kind.to_owned()), KeyValue::new("role", role)];
        self.attempts.add(count, &labels);
    }

    /// Counts a request by its verdict and its status.
    pub fn outcome(&self, kind: &str, verdict: &'static str, status: u16) {
        let labels = [
            KeyValue::new("kind", kind.to_owned()),
            KeyValue::new("verdict", verdict),
            KeyValue::new("status", i64::from(status)),
        ];
        self.outcomes.add(1, &labels);
    }

    /// Counts a statement of a searcher about itself that cannot be decoded.
    pub fn invalid_notice(&self) {
        self.invalid_notices.add(1, &[]);
    }

    /// Records how many zones are evacuated.
    pub fn evacuated_zones(&self, count: usize) {
        self.evacuated_zones.record(count as u64, &[]);
    }

    /// Sets the era of the store.
    pub fn store_era(&self, era: u32) {
        self.store_era.record(u64::from(era), &[]);
    }

    /// Counts reads of the store that are repeated because its answers were of different eras.
    pub fn store_read_again(&self) {
        self.store_reads_again.add(1, &[]);
    }

    /// Counts items of the store that cannot be decoded.
    pub fn unreadable_items(&self, count: usize) {
        self.unreadable_items.add(count as u64, &[]);
    }

    /// Sets how many requests are suspected of crashing searchers, and how many are refused for it.
    pub fn suspected_requests(&self, suspected: usize, quarantined: usize) {
        for (state, count) in [("suspected", suspected), ("quarantined", quarantined)] {
            self.suspected_requests.record(count as u64, &[KeyValue::new("state", state)]);
        }
    }

    /// Sets the admitted share of the requests of a route.
    pub fn admitted_share(&self, searchers: &str, route: &str, rank: u8, share: f64) {
        let labels = [
            KeyValue::new("searchers", searchers.to_owned()),
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("rank", i64::from(rank)),
        ];
        self.admitted_shares.record(share, &labels);
    }

    /// Counts a request that was refused for a reason.
    pub fn refused(&self, reason: &'static str, rank: u8) {
        let labels = [KeyValue::new("reason", reason), KeyValue::new("rank", i64::from(rank))];
        self.refusals.add(1, &labels);
    }

    /// Counts a caller's body that was refused, by reason.
    pub fn body_refused(&self, reason: &'static str) {
        self.bodies_refused.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a caller's connection that the server closed, by reason.
    pub fn connection_closed(&self, reason: &'static str) {
        self.connections_closed.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Shows the bytes that callers hold, as `bytes` returns them.
    pub fn observe_caller_bytes(&self, bytes: impl Fn() -> u64 + Send + Sync + 'static) {
        let gauge = self.meter.u64_observable_gauge("galenaloft_caller_bytes");
        gauge.with_callback(move |observer| observer.observe(bytes(), &[])).build();
    }

    /// Returns every metric in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new().encode(&families, &mut buf).expect("writing to memory succeeds");
        buf
    }
}

fn labels(kind: &str, rank: u8) -> [KeyValue; 2] {
    [KeyValue::new("kind", kind.to_owned()), KeyValue::new("rank", i64::from(rank))]
}
