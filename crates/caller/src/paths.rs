//! Paths and headers of the protocol.

/// Searches a collection.
pub const SEARCH_PATH: &str = "/v1/search";

/// Fetches one entry.
pub const FETCH_PATH: &str = "/v1/fetch";

/// Issues a ticket.
pub const TICKETS_PATH: &str = "/v1/tickets";

/// Files a submission.
pub const FILE_PATH: &str = "/v1/file";

/// Makes a reservation.
pub const RESERVE_PATH: &str = "/v1/reserve";

/// Request header: milliseconds until the caller stops waiting; it can only shorten a deadline.
pub const DEADLINE_HEADER: &str = "galenaloft-deadline-ms";

/// Reply header: the verdict, as in the body.
pub const VERDICT_HEADER: &str = "galenaloft-verdict";

/// Reply header of a refusal: milliseconds after which a retry may succeed.
pub const RETRY_AFTER_MS_HEADER: &str = "galenaloft-retry-after-ms";
