//! HTTP paths and headers of the caller protocol. Every path expects `POST`.

/// Path that searches a collection.
pub const SEARCH_PATH: &str = "/v1/search";

/// Path that fetches one entry.
pub const FETCH_PATH: &str = "/v1/fetch";

/// Path that issues a ticket.
pub const TICKETS_PATH: &str = "/v1/tickets";

/// Path that submits a filing.
pub const FILE_PATH: &str = "/v1/file";

/// Path that submits a reservation.
pub const RESERVE_PATH: &str = "/v1/reserve";

/// Request header: milliseconds until the caller stops waiting. It can shorten the request's
/// deadline but not extend it.
pub const DEADLINE_HEADER: &str = "galenaloft-deadline-ms";

/// Reply header: the same verdict as in the body.
pub const VERDICT_HEADER: &str = "galenaloft-verdict";

/// Reply header of a refusal: milliseconds after which a retry may succeed.
pub const RETRY_AFTER_MS_HEADER: &str = "galenaloft-retry-after-ms";
