//! Edge hosts as processes that use a stand-in for the platform inside the test process.

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

/// Longest wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two checks for an expected event.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of the next request, which makes its id unique.
static NEXT_REQUEST: AtomicU32 = AtomicU32::new(1);

/// A running edge host.
pub struct Edge {
    process: edge::Edge,
    /// Address on which the host accepts callers.
    pub caller_address: SocketAddr,
}

impl Edge {
    /// Starts the host with number `host` in `zone`, on a loopback address of its own. `port` is
    /// the first of its ports; hosts of one cluster have the same.
    pub fn start(platform: &Scene, zone: &str, host: u8, port: u16) -> Self {
        Self::start_with(&Self::spec(platform, zone, host, port, ""))
    }

    /// Returns how a host is started with further lines of settings.
    pub fn spec(
        platform: &Scene,
        zone: &str,
        number: u8,
        port: u16,
        extra_settings: &str,
    ) -> edge::Spec {
        edge::Spec {
            binary: env!("CARGO_BIN_EXE_galenaloft-edge").into(),
            zone: zone.to_owned(),
            number,
            port,
            store: platform.store_address,
            log: None,
            extra_settings: extra_settings.to_owned(),
        }
    }

    /// Starts a host with other settings than the usual ones.
    pub fn start_with(spec: &edge::Spec) -> Self {
        let process = edge::Edge::start(spec).unwrap();
        Self { caller_address: process.callers, process }
    }

    /// Starts a host and waits until it is ready.
    pub async fn start_ready(platform: &Scene, zone: &str, host: u8, port: u16) -> Self {
        let edge = Self::start(platform, zone, host, port);
        wait_until("the host is ready", || edge.is_ready()).await;
        edge
    }

    /// Returns whether the readiness endpoint reports the host as ready.
    pub async fn is_ready(&self) -> bool {
        self.process.is_ready().await
    }

    /// Sends one GET request on a new connection.
    pub async fn get(&self, path: &str) -> Answer {
        self.call("GET", path, b"").await
    }

    /// Sends one request on a new connection, and returns its answer.
    pub async fn call(&self, method: &str, path: &str, body: &[u8]) -> Answer {
        let mut caller = Caller::connect(self.caller_address).await.unwrap();
        caller.call(&build_call(method, path, &request_id(), body)).await.unwrap()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal).unwrap();
    }

    /// Waits until the process exits.
    pub async fn exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            if let Some(status) = self.process.try_exit().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "the host did not exit in time");
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns an id that no other request of this test process has.
pub fn request_id() -> String {
    format!("{:016x}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed))
}

/// Builds a request with a deadline of one second.
pub fn build_call<'a>(method: &'a str, path: &'a str, id: &'a str, body: &'a [u8]) -> Call<'a> {
    Call { method, host: HOST, path, id, deadline: Duration::from_secs(1), body }
}

/// Waits until a condition holds, and panics if it does not in time.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        sleep(POLL_INTERVAL).await;
    }
}
