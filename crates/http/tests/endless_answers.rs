//! A server that sends bytes without end, until the client closes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

use galenaloft_http::Connection;
use galenaloft_http::HttpError;
use tokio::time::timeout;

/// Time limit of the whole exchange, which every caller of a connection sets.
const TIME_LIMIT: Duration = Duration::from_millis(600);

/// Longest time until the server sees that the client has closed.
const CLOSE_TIME: Duration = Duration::from_secs(5);

/// Most bytes that the client may have taken from the server by then; those in the kernel's buffers
/// count too.
const MAX_BYTES: usize = 32 * 1024 * 1024;

/// Starts a server that answers one request with `start` and then with `rest` without end. Returns
/// how many bytes it has written when the client has closed.
fn serve_endlessly(start: &'static str, rest: &'static str) -> (SocketAddr, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, closed_rx) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let written = write_endlessly(&mut stream, start.as_bytes(), &rest.repeat(64));
        // The test may have ended already.
        let _ = closed.send(written);
    });
    (address, closed_rx)
}

fn write_endlessly(stream: &mut TcpStream, start: &[u8], rest: &str) -> usize {
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).unwrap();
    let mut written = 0;
    let mut next = start;
    while stream.write_all(next).is_ok() {
        written += next.len();
        next = rest.as_bytes();
    }
    written
}

#[tokio::test]
async fn bytes_without_end_cost_one_exchange_and_a_bounded_amount_of_memory() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        ("bytes that are no answer", "", "0123456789abcdef"),
        ("line ends", "", "\r\n"),
        ("a status line", "HTTP/1.1 200 ", "OK OK OK "),
        ("a header", "HTTP/1.1 200 OK\r\nx: ", "y"),
        ("headers", ok, "x: y\r\n"),
        ("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("a body", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"),
        ("chunks", chunked, "10\r\n0123456789abcdef\r\n"),
        ("a chunk extension", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1", ";x=y"),
        ("trailers", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n"),
    ];
    for (name, start, rest) in cases {
        let (address, closed) = serve_endlessly(start, rest);
        let mut connection = Connection::connect(address, TIME_LIMIT).await.unwrap();
        let reply = timeout(TIME_LIMIT, connection.get("/", "")).await;
        // The request was received, so that it may have run.
        let failed = match &reply {
            Ok(Ok(_)) => false,
            Ok(Err(e)) => matches!(e, HttpError::Lost(_) | HttpError::TooLarge(_)),
            Err(_) => true,
        };
        assert!(failed, "{name}: {reply:?}");
        drop(connection);
        // Lets the dropped connection's task end.
        tokio::task::yield_now().await;
        let written = closed.recv_timeout(CLOSE_TIME).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert!(written <= MAX_BYTES, "{name}: {written} bytes");
    }
}

#[tokio::test]
async fn other_connections_are_served_while_bytes_come_without_end() {
    let (address, _closed) = serve_endlessly("", "HTTP/1.1 100 Continue\r\n\r\n");
    let mut endless = Connection::connect(address, TIME_LIMIT).await.unwrap();
    let disturbed = tokio::spawn(async move { timeout(TIME_LIMIT, endless.get("/", "")).await });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        while stream.read(&mut request).is_ok_and(|size| size > 0) {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole").unwrap();
        }
    });
    let mut connection = Connection::connect(address, TIME_LIMIT).await.unwrap();
    for _ in 0..50 {
        let reply = timeout(TIME_LIMIT / 4, connection.get("/", "")).await.unwrap().unwrap();
        assert_eq!(&reply.body()[..], b"whole");
    }
    let reply = disturbed.await.unwrap();
    assert!(matches!(reply, Ok(Err(HttpError::Lost(_)))), "{reply:?}");
}
