//! Reading the body of a request.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use galenaloft_policy::memory::body_deadline;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::sleep_until;

use crate::budget::Connection;
use crate::segments::BodyBuffer;
use crate::segments::hold;

/// Time between two records of progress, so that bodies in small pieces cost little.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// Why a body was not read.
#[derive(Debug)]
pub(crate) struct BodyError {
    /// Status of the reply.
    pub(crate) status: StatusCode,
    /// Text of the reply.
    pub(crate) why: String,
    /// When the caller may come back, if there was no memory.
    pub(crate) retry_after: Option<Duration>,
}

impl BodyError {
    fn new(status: StatusCode, why: String) -> Self {
        Self { status, why, retry_after: None }
    }

    fn too_large(limit: usize) -> Self {
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, format!("the body exceeds {limit} bytes"))
    }

    fn no_memory(retry_after: Duration) -> Self {
        let why = "there is no memory for the body at present".to_owned();
        Self { retry_after: Some(retry_after), ..Self::new(StatusCode::SERVICE_UNAVAILABLE, why) }
    }

    fn too_slow() -> Self {
        let why = "the body arrived too slowly while others needed its memory".to_owned();
        Self::new(StatusCode::REQUEST_TIMEOUT, why)
    }

    fn timed_out(timeout: Duration) -> Self {
        let why = format!("the body did not arrive within {timeout:?}");
        Self::new(StatusCode::REQUEST_TIMEOUT, why)
    }
}

/// Releases the bytes of a body that is being read, also when its task is dropped.
struct Reading(Arc<Connection>);

impl Drop for Reading {
    fn drop(&mut self) {
        self.0.end_body();
    }
}

/// Reads the body of a request into one buffer, which grows with what arrives.
pub(crate) async fn read_body(
    req: Request<Incoming>,
    limit: usize,
    read_timeout: Duration,
    connection: &Arc<Connection>,
) -> Result<Request<Bytes>, BodyError> {
    let (head, body) = req.into_parts();
    if body.is_end_stream() {
        return Ok(Request::from_parts(head, Bytes::new()));
    }
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(BodyError::too_large(limit));
    }
    connection.admits_body(declared).map_err(|retry_after| {
        connection.budget().record_refused("no_memory");
        BodyError::no_memory(retry_after)
    })?;
    let reading = Reading(connection.clone());
    let result = tokio::select! {
        biased;
        () = connection.refuse_body.notified() => Err(BodyError::too_slow()),
        result = collect(body, declared, limit, read_timeout, connection) => result,
    };
    let result = result.and_then(|buf| {
        let whole = buf.into_whole();
        let held = connection.finish_body(whole.capacity()).ok_or_else(BodyError::too_slow)?;
        Ok(hold(whole, held))
    });
    drop(reading);
    match result {
        Ok(body) => Ok(Request::from_parts(head, body)),
        Err(e) => {
            let reason = match e.status {
                StatusCode::SERVICE_UNAVAILABLE => "no_memory",
                StatusCode::REQUEST_TIMEOUT => "too_slow",
                StatusCode::PAYLOAD_TOO_LARGE => "too_large",
                _ => "broken",
            };
            connection.budget().record_refused(reason);
            Err(e)
        }
    }
}

async fn collect(
    mut body: Incoming,
    declared: usize,
    limit: usize,
    read_timeout: Duration,
    connection: &Connection,
) -> Result<BodyBuffer, BodyError> {
    let began = Instant::now();
    let (mut last_progress, mut recorded) = (began, began);
    let mut received = 0;
    let mut buf = BodyBuffer::new(connection.budget().segments());
    // The length of a body without a declared one is known only as it arrives.
    let most = if declared > 0 { declared } else { limit };
    let mut deadline = std::pin::pin!(sleep_until((began + read_timeout).into()));
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut deadline => {
                let later = body_deadline(began, last_progress, received, read_timeout);
                if later <= Instant::now() {
                    return Err(BodyError::timed_out(read_timeout));
                }
                deadline.as_mut().reset(later.into());
                continue;
            }
        };
        let frame = match frame {
            None => return Ok(buf),
            Some(Ok(frame)) => frame,
            Some(Err(e)) => {
                let why = format!("the body is broken: {e}");
                return Err(BodyError::new(StatusCode::BAD_REQUEST, why));
            }
        };
        let Ok(data) = frame.into_data() else {
            // Trailers are not passed on.
            continue;
        };
        let needed = received + data.len();
        if needed > limit {
            return Err(BodyError::too_large(limit));
        }
        last_progress = Instant::now();
        if needed > buf.capacity() {
            let capacity = buf.capacity_for(needed, most);
            connection.grow_body(capacity, needed, last_progress).map_err(BodyError::no_memory)?;
            buf.grow(capacity);
            recorded = last_progress;
        } else if last_progress.duration_since(recorded) >= PROGRESS_INTERVAL {
            connection.record_progress(needed, last_progress);
            recorded = last_progress;
        }
        buf.push(&data);
        received = needed;
    }
}
