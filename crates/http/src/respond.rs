//! Building replies.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

/// A whole reply.
pub type Reply = Response<Full<Bytes>>;

/// Builds a JSON reply.
pub fn json(status: StatusCode, body: Vec<u8>) -> Reply {
    reply(status, "application/json", body)
}

/// Builds a plain text reply.
pub fn text(status: StatusCode, body: impl Into<Vec<u8>>) -> Reply {
    reply(status, "text/plain; charset=utf-8", body.into())
}

fn reply(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}
