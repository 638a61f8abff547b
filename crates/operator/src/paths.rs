//! HTTP paths of the operator protocol.

/// `GET` returns 200 while the load balancer may send callers to the host, 503 otherwise.
pub const READY_PATH: &str = "/ready";

/// `GET` returns the state of the host as JSON.
pub const STATUS_PATH: &str = "/status";

/// `GET` returns metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";

/// `POST` starts a drain, the planned stop of the host.
pub const DRAIN_PATH: &str = "/drain";

/// Prefix of `/explain/{request id}`, where `GET` returns the decisions of a recent request.
pub const EXPLAIN_PATH: &str = "/explain/";
