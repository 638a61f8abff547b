//! Reading callers' requests.

use std::time::Duration;
use std::time::Instant;

use galenaloft_caller::DEADLINE_HEADER;
use hyper::HeaderMap;
use serde::de::DeserializeOwned;

/// Longest query, key, kind or ticket, in bytes.
const MAX_FIELD: usize = 4_096;

/// Longest wait that a caller may ask for.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Why a request cannot be read.
#[derive(Debug, PartialEq, Eq)]
pub struct BadRequest(pub String);

/// Reads a JSON body.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, BadRequest> {
    serde_json::from_slice(body)
        .map_err(|e| BadRequest(format!("the body is not the JSON expected here: {e}")))
}

/// Checks the lengths of named fields.
pub fn check_lengths(fields: &[(&str, &String)]) -> Result<(), BadRequest> {
    for (name, value) in fields {
        if value.len() > MAX_FIELD {
            let length = value.len();
            return Err(BadRequest(format!("`{name}` has {length} bytes, more than {MAX_FIELD}")));
        }
    }
    Ok(())
}

/// Reads when the caller stops waiting, if it says so.
pub fn read_deadline(headers: &HeaderMap, present: Instant) -> Result<Option<Instant>, BadRequest> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let limit = millis.map(Duration::from_millis).filter(|limit| *limit <= MAX_WAIT);
    match limit {
        Some(limit) => Ok(Some(present + limit)),
        None => Err(BadRequest(format!(
            "`{DEADLINE_HEADER}` is {value:?}; give a number of milliseconds up to 600000"
        ))),
    }
}
