//! Paths, headers and statuses of the protocol.

/// Where attempts are posted and, with their number appended, cancelled.
pub const ATTEMPTS_PATH: &str = "/v1/attempts";

/// Where a searcher tells whether it takes new work.
pub const HEALTH_PATH: &str = "/v1/health";

/// Header of a cancelled attempt: `true` if it had begun.
pub const BEGAN_HEADER: &str = "galenaloft-began";

/// Status of a cancelled attempt.
pub const CANCELLED_STATUS: u16 = 499;

/// Content type of every body.
pub const PROTOBUF: &str = "application/x-protobuf";
