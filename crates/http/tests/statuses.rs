//! Answers whose status is no final status.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_http::Connection;
use galenaloft_http::HttpError;
use hyper::Method;

const PATIENCE: Duration = Duration::from_secs(2);

/// Sends a request to a server that answers with `status`, whole and in good order but for that.
async fn ask(status: &str) -> Result<u16, HttpError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = format!("HTTP/1.1 {status} Fine\r\nContent-Length: 4\r\n\r\nbody");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream.write_all(answer.as_bytes()).unwrap();
        // Keeps the connection open until the client closes it.
        let _ = stream.read(&mut request);
    });
    let mut connection = Connection::connect(address, PATIENCE).await.unwrap();
    let reply = connection.send(Method::POST, "/", "text/plain", Bytes::from_static(b"x"));
    let reply = tokio::time::timeout(PATIENCE, reply).await.unwrap();
    reply.map(|reply| reply.status().as_u16())
}

/// Guards against an answer of status 000, or of another one that is no final status, that is taken for
/// the answer to a request. All that this program reads by HTTP comes through `Connection`: answers to
/// single requests and parts, hedges, health checks, the store, the control plane, and the searchers of
/// `galenaloftd`.
#[tokio::test]
async fn answers_without_a_final_status_are_no_answers() {
    for status in ["000", "001", "099", "101", "600", "999", "0200", "20", "2x0", "-20"] {
        let reply = ask(status).await;
        let why = format!("{status}: {reply:?}");
        assert!(reply.is_err_and(|e| e.may_be_received()), "{why}");
    }
    for status in [200, 206, 299, 404, 500, 599] {
        assert_eq!(ask(&status.to_string()).await.unwrap(), status);
    }
}
