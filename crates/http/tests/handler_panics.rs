//! Requests whose handler panics.

use std::time::Duration;

use bytes::Bytes;
use galenaloft_http::Connection;
use galenaloft_http::Limits;
use galenaloft_http::Server;
use galenaloft_http::hyper::Request;
use galenaloft_http::hyper::StatusCode;
use galenaloft_http::text;
use tokio::net::TcpListener;
use tokio::sync::watch;

const LIMITS: Limits = Limits {
    connections: 8,
    head: 8 * 1024,
    body: 1_024,
    read_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
};

/// Guards against a panic that closes a caller's connection without an answer.
#[tokio::test]
async fn a_panic_costs_one_answer_and_not_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stop, stop_rx) = watch::channel(false);
    let server = Server::plain(listener, LIMITS);
    let answer = |req: Request<Bytes>| async move {
        assert_eq!(req.uri().path(), "/good", "a fault of the handler");
        text(StatusCode::OK, "whole")
    };
    tokio::spawn(server.serve(answer, stop_rx));
    let mut connection = Connection::connect(address, Duration::from_secs(1)).await.unwrap();
    let mut statuses = Vec::new();
    for path in ["/good", "/bad", "/good"] {
        statuses.push(connection.get(path, "").await.unwrap().status().as_u16());
    }
    assert_eq!(statuses, [200, 500, 200]);
}
