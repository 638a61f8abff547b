//! Requests that reach a server around the begin of a planned stop.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use galenaloft_http::Limits;
use galenaloft_http::Server;
use galenaloft_http::hyper::StatusCode;
use galenaloft_http::text;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

const LIMITS: Limits = Limits {
    connections: 64,
    head: 8 * 1024,
    body: 1_024,
    read_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
};

const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n";

/// Time for the server to accept a connection, or to see that it has to stop.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Longest time that a stop may take here: every request is answered at once.
const STOP_TIME: Duration = Duration::from_secs(2);

struct Scene {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
}

impl Scene {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stop_rx) = watch::channel(false);
        let server = Server::plain(listener, LIMITS);
        let answer = |_| async { text(StatusCode::OK, "whole") };
        let server = tokio::spawn(server.serve(answer, stop_rx));
        Self { address, stop, server }
    }

    /// Connects without giving the server a turn.
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(STOP_TIME)).unwrap();
        stream
    }

    async fn stopped(self) {
        timeout(STOP_TIME, self.server).await.unwrap().unwrap();
    }
}

/// Reads until the server closes the connection.
async fn read_to_end(mut stream: TcpStream) -> String {
    let read = move || {
        let mut reply = String::new();
        stream.read_to_string(&mut reply).map(|_| reply).unwrap_or_else(|e| format!("cut: {e}"))
    };
    tokio::task::spawn_blocking(read).await.unwrap()
}

fn assert_answered(reply: &str) {
    assert!(reply.starts_with("HTTP/1.1 200 OK\r\n"), "{reply}");
    assert!(reply.contains("connection: close\r\n"), "{reply}");
    assert!(reply.ends_with("whole"), "{reply}");
}

/// Sends the first `sent_before` bytes of a request before the stop begins and the others after it.
async fn assert_answered_across_the_stop(sent_before: usize) {
    let scene = Scene::start().await;
    let mut stream = scene.connect();
    stream.write_all(&REQUEST[..sent_before]).unwrap();
    sleep(SETTLE_TIME).await;
    scene.stop.send_replace(true);
    sleep(SETTLE_TIME).await;
    stream.write_all(&REQUEST[sent_before..]).unwrap();
    assert_answered(&read_to_end(stream).await);
    scene.stopped().await;
}

#[tokio::test]
async fn first_request_of_an_accepted_connection_is_answered_after_the_stop_began() {
    assert_answered_across_the_stop(0).await;
}

#[tokio::test]
async fn half_a_head_that_was_read_before_the_stop_is_completed_and_answered() {
    assert_answered_across_the_stop(9).await;
}

#[tokio::test]
async fn connections_in_the_listen_queue_are_answered_when_the_stop_begins() {
    let scene = Scene::start().await;
    sleep(SETTLE_TIME).await;
    let streams: Vec<TcpStream> = (0..16)
        .map(|_| {
            let mut stream = scene.connect();
            stream.write_all(REQUEST).unwrap();
            stream
        })
        .collect();
    scene.stop.send_replace(true);
    for stream in streams {
        assert_answered(&read_to_end(stream).await);
    }
    scene.stopped().await;
}

#[tokio::test]
async fn request_that_crosses_the_stop_on_an_idle_connection_is_answered() {
    let scene = Scene::start().await;
    let mut stream = scene.connect();
    stream.write_all(REQUEST).unwrap();
    sleep(SETTLE_TIME).await;
    let mut first = [0; 512];
    let size = stream.read(&mut first).unwrap();
    assert!(first[..size].ends_with(b"whole"));
    scene.stop.send_replace(true);
    sleep(SETTLE_TIME).await;
    stream.write_all(REQUEST).unwrap();
    assert_answered(&read_to_end(stream).await);
    scene.stopped().await;
}

#[tokio::test]
async fn connections_without_a_request_do_not_hold_up_the_stop() {
    let scene = Scene::start().await;
    let stream = scene.connect();
    sleep(SETTLE_TIME).await;
    scene.stop.send_replace(true);
    scene.stopped().await;
    assert_eq!(read_to_end(stream).await, "");
}
