//! Builds the replies to callers.

use std::time::Duration;

use galenaloft_caller::RETRY_AFTER_MS_HEADER;
use galenaloft_caller::VERDICT_HEADER;
use galenaloft_caller::wire;
use galenaloft_http::Reply;
use galenaloft_http::json;
use galenaloft_policy::verdict::Verdict;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Serialize;

/// Builds a JSON reply that also carries the verdict in a header.
pub fn reply(status: u16, verdict: Verdict, body: &impl Serialize) -> Reply {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::to_vec(body).expect("wire types always serialize to JSON");
    let mut reply = json(status, body);
    let value = HeaderValue::from_static(verdict_name(verdict));
    reply.headers_mut().insert(VERDICT_HEADER, value);
    reply
}

/// Builds the reply to a failed request. If `retry_after` is zero, the retry-after headers are
/// omitted.
pub fn failure(status: u16, verdict: Verdict, error: &str, retry_after: Duration) -> Reply {
    failure_with_ticket(status, verdict, error, retry_after, String::new())
}

/// Builds the reply to a failed request. `ticket` is the ticket for a retry, or empty.
pub fn failure_with_ticket(
    status: u16,
    verdict: Verdict,
    error: &str,
    retry_after: Duration,
    ticket: String,
) -> Reply {
    let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
    let body = wire::Failure {
        verdict: wire_verdict(verdict).into(),
        error: error.to_owned(),
        retry_after_ms,
        ticket,
    };
    let mut reply = reply(status, verdict, &body);
    if retry_after_ms > 0 {
        let headers = reply.headers_mut();
        headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(retry_after_ms));
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_ms.div_ceil(1_000)));
    }
    reply
}

/// Builds the reply to a request that the HTTP server ended itself: its body was rejected before it was
/// fully read, or (status 500) the work on it panicked.
pub fn server_error_reply(status: StatusCode, reason: &str) -> Reply {
    let verdict = match status {
        StatusCode::INTERNAL_SERVER_ERROR => Verdict::MayHaveRun,
        _ => Verdict::NotRun,
    };
    failure(status.as_u16(), verdict, reason, Duration::ZERO)
}

/// Returns the wire form of a verdict.
pub fn wire_verdict(verdict: Verdict) -> wire::Verdict {
    match verdict {
        Verdict::Ran => wire::Verdict::Ran,
        Verdict::NotRun => wire::Verdict::NotRun,
        Verdict::MayHaveRun => wire::Verdict::MayHaveRun,
    }
}

/// Returns the wire name of a verdict.
pub fn verdict_name(verdict: Verdict) -> &'static str {
    wire_verdict(verdict).as_str_name()
}

#[cfg(test)]
mod tests;
