//! Real edge hosts as processes around an in-process stand-in of the platform.

use std::net::SocketAddr;
use std::process::ExitStatus;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::caller::Answer;
use galenaloft_platform_standin::caller::Call;
use galenaloft_platform_standin::caller::Caller;
use galenaloft_platform_standin::scene::HOST;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_soak::edge;
use galenaloft_soak::edge::Signal;
use tokio::time::sleep;

/// Longest wait for an event that must come.
const PATIENCE: Duration = Duration::from_secs(15);

/// How often an awaited event is looked for.
const LOOK: Duration = Duration::from_millis(20);

static REQUESTS: AtomicU32 = AtomicU32::new(1);

/// One edge host.
pub struct Edge {
    process: edge::Edge,
    /// Where callers connect.
    pub callers: SocketAddr,
}

impl Edge {
    /// Starts a host of a zone on an address of loopback of its own; `port` is the first of its
    /// ports, which hosts that know each other share.
    pub fn start(scene: &Scene, zone: &str, host: u8, port: u16) -> Self {
        let spec = edge::Spec {
            binary: env!("CARGO_BIN_EXE_galenaloft-edge").into(),
            zone: zone.to_owned(),
            number: host,
            port,
            store: scene.store_address,
            log: None,
        };
        let process = edge::Edge::start(&spec).unwrap();
        Self { callers: process.callers, process }
    }

    /// Starts a host and waits until it is ready.
    pub async fn ready(scene: &Scene, zone: &str, host: u8, port: u16) -> Self {
        let edge = Self::start(scene, zone, host, port);
        eventually("the host is ready", || edge.is_ready()).await;
        edge
    }

    /// Asks as the balancer does.
    pub async fn is_ready(&self) -> bool {
        self.process.is_ready().await
    }

    /// Sends one request on a connection of its own.
    pub async fn get(&self, path: &str) -> Answer {
        self.call("GET", path, b"").await
    }

    /// Sends one request on a connection of its own.
    pub async fn call(&self, method: &str, path: &str, body: &[u8]) -> Answer {
        let mut caller = Caller::connect(self.callers).await.unwrap();
        caller.call(&call(method, path, &request_id(), body)).await.unwrap()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal).unwrap();
    }

    /// Waits for the end of the process.
    pub async fn exit(&mut self) -> ExitStatus {
        let limit = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.process.try_exit().unwrap() {
                return status;
            }
            assert!(Instant::now() < limit, "the host does not end");
            sleep(LOOK).await;
        }
    }
}

/// Returns an id that no other request has.
pub fn request_id() -> String {
    format!("{:016x}", REQUESTS.fetch_add(1, Ordering::Relaxed))
}

/// Builds a request with a second to answer it.
pub fn call<'a>(method: &'a str, path: &'a str, id: &'a str, body: &'a [u8]) -> Call<'a> {
    Call { method, host: HOST, path, id, deadline: Duration::from_secs(1), body }
}

/// Waits until something holds.
pub async fn eventually<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let limit = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < limit, "not in time: {what}");
        sleep(LOOK).await;
    }
}
