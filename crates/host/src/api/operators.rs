//! Handles the requests of operators.

use std::sync::Arc;

use bytes::Bytes;
use galenaloft_http::Reply;
use galenaloft_http::json;
use galenaloft_http::text;
use galenaloft_operator::DRAIN_PATH;
use galenaloft_operator::EXPLAIN_PATH;
use galenaloft_operator::METRICS_PATH;
use galenaloft_operator::READY_PATH;
use galenaloft_operator::STATUS_PATH;
use galenaloft_operator::wire::Explanation;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Serialize;

use crate::network::Network;
use crate::node::Node;

/// Handles one request of an operator.
pub async fn handle_operator<N: Network>(node: Arc<Node<N>>, req: Request<Bytes>) -> Reply {
    let path = req.uri().path();
    match (req.method(), path) {
        (&Method::GET, READY_PATH) => ready(&node),
        (&Method::GET, STATUS_PATH) => json_reply(&node.status()),
        (&Method::GET, METRICS_PATH) => text(StatusCode::OK, node.metrics.encode()),
        (&Method::POST, DRAIN_PATH) => drain(&node),
        (&Method::GET, _) if path.starts_with(EXPLAIN_PATH) => {
            explain(&node, &path[EXPLAIN_PATH.len()..])
        }
        (method, _) => text(StatusCode::NOT_FOUND, format!("no such endpoint: {method} {path}\n")),
    }
}

fn ready<N: Network>(node: &Node<N>) -> Reply {
    match node.is_ready() {
        true => text(StatusCode::OK, "ready\n"),
        false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

fn drain<N: Network>(node: &Node<N>) -> Reply {
    match node.start_drain() {
        true => text(StatusCode::ACCEPTED, "draining\n"),
        false => text(StatusCode::ACCEPTED, "already draining\n"),
    }
}

fn explain<N: Network>(node: &Node<N>, request_id: &str) -> Reply {
    match node.explain.get(request_id) {
        Some(decisions) => {
            json_reply(&Explanation { request_id: request_id.to_owned(), decisions })
        }
        None => text(
            StatusCode::NOT_FOUND,
            format!("no decisions are stored for request `{request_id}`\n"),
        ),
    }
}

fn json_reply(body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).expect("wire types always serialize to JSON");
    json(StatusCode::OK, body)
}
