//! Decodes and validates the requests of callers.

use std::time::Duration;
use std::time::Instant;

use galenaloft_caller::DEADLINE_HEADER;
use hyper::HeaderMap;
use serde::de::DeserializeOwned;

/// Longest query, key, kind or ticket.
const MAX_FIELD_BYTES: usize = 4_096;

/// Longest time limit that a caller may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// A malformed request, with the reason.
#[derive(Debug, PartialEq, Eq)]
pub struct BadRequest(pub String);

/// Decodes a JSON body.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, BadRequest> {
    serde_json::from_slice(body).map_err(|e| BadRequest(format!("invalid JSON body: {e}")))
}

/// Checks that no value is longer than [`MAX_FIELD_BYTES`]. `fields` holds pairs of name and value.
pub fn check_lengths(fields: &[(&str, &String)]) -> Result<(), BadRequest> {
    for (name, value) in fields {
        if value.len() > MAX_FIELD_BYTES {
            let length = value.len();
            return Err(BadRequest(format!(
                "`{name}` has {length} bytes; at most {MAX_FIELD_BYTES} are allowed"
            )));
        }
    }
    Ok(())
}

/// Returns the deadline that the caller has set in the headers, if any.
pub fn read_deadline(headers: &HeaderMap, arrived: Instant) -> Result<Option<Instant>, BadRequest> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let timeout = millis.map(Duration::from_millis).filter(|timeout| *timeout <= MAX_TIMEOUT);
    match timeout {
        Some(timeout) => Ok(Some(arrived + timeout)),
        None => Err(BadRequest(format!(
            "invalid `{DEADLINE_HEADER}` {value:?}: expected whole milliseconds, at most 600000"
        ))),
    }
}
