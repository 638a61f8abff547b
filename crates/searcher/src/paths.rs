//! HTTP paths, headers, statuses and content type of the searcher protocol.

/// `POST` runs an attempt; `DELETE` on `{path}/{attempt id in hexadecimal}` cancels it.
pub const ATTEMPTS_PATH: &str = "/v1/attempts";

/// `GET` returns 503 while the searcher is draining and accepts no new work.
pub const HEALTH_PATH: &str = "/v1/health";

/// Reply header of a cancelled attempt: `true` if it had started, `false` if not.
pub const BEGAN_HEADER: &str = "galenaloft-began";

/// Status of a cancelled attempt.
pub const CANCELLED_STATUS: u16 = 499;

/// Content type of all bodies.
pub const PROTOBUF: &str = "application/x-protobuf";
