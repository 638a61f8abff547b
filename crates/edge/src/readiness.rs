//! The balancer's question whether the host takes new connections.

use std::sync::Arc;

use bytes::Bytes;
use galenaloft_adapter::caller::READINESS_PATH;
use galenaloft_http::Reply;
use galenaloft_http::text;
use hyper::Request;
use hyper::StatusCode;

use crate::host::Host;

/// Answers the balancer.
pub async fn answer(host: Arc<Host>, req: Request<Bytes>) -> Reply {
    match req.uri().path() == READINESS_PATH {
        true if host.is_ready() => text(StatusCode::OK, "ready"),
        true => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        false => text(StatusCode::NOT_FOUND, "no such page"),
    }
}
