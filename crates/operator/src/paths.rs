//! Paths of the protocol.

/// 200 while the balancer may send callers, 503 otherwise.
pub const READY_PATH: &str = "/ready";

/// State of the host as JSON.
pub const STATUS_PATH: &str = "/status";

/// Metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";

/// `POST` starts a planned stop.
pub const DRAIN_PATH: &str = "/drain";

/// Prefix of `/explain/{request id}`: the decisions of a recent request.
pub const EXPLAIN_PATH: &str = "/explain/";
