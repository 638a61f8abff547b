//! The readiness endpoint, by which the load balancer decides whether the host gets new
//! connections.

use std::sync::Arc;

use bytes::Bytes;
use galenaloft_adapter::caller::READINESS_PATH;
use galenaloft_http::Reply;
use galenaloft_http::text;
use galenaloft_runtime::clock::now;
use hyper::Request;
use hyper::StatusCode;

use crate::host::Host;

/// Answers a readiness request of the load balancer.
pub async fn answer(host: Arc<Host>, req: Request<Bytes>) -> Reply {
    if req.uri().path() != READINESS_PATH {
        return text(StatusCode::NOT_FOUND, "no such page");
    }
    host.update_cut_off(now());
    let not_ready = host.not_ready();
    host.record_readiness(not_ready);
    match not_ready {
        None => text(StatusCode::OK, "ready"),
        Some(why) => text(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {why:?}")),
    }
}
