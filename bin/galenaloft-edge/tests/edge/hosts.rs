//! Real edge hosts as processes around an in-process stand-in of the platform.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::caller::Answer;
use galenaloft_platform_standin::caller::Call;
use galenaloft_platform_standin::caller::Caller;
use galenaloft_platform_standin::scene::HOST;
use galenaloft_platform_standin::scene::Scene;
use tokio::time::sleep;

/// Longest wait for an event that must come.
const PATIENCE: Duration = Duration::from_secs(15);

/// How often an awaited event is looked for.
const LOOK: Duration = Duration::from_millis(20);

static REQUESTS: AtomicU32 = AtomicU32::new(1);

/// One edge host.
pub struct Edge {
    child: Option<Child>,
    file: PathBuf,
    /// Where callers connect.
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

impl Edge {
    /// Starts a host of a zone on an address of loopback of its own; `port` is the first of its
    /// ports, which hosts that know each other share.
    pub fn start(scene: &Scene, zone: &str, host: u8, port: u16) -> Self {
        let ip = IpAddr::from([127, 0, 0, host]);
        let at = |offset| SocketAddr::new(ip, port + offset);
        let file = std::env::temp_dir().join(format!("galenaloft-edge-{port}-{host}.yaml"));
        let settings = format!(
            "host: e{host}\nzone: {zone}\nlisten:\n  callers: {}\n  readiness: {}\n  peers: {}\n  \
             metrics: {}\nstore: {}\nseeds: [\"127.0.0.1:1\", \"127.0.0.2:1\", \"127.0.0.3:1\"]\n\
             extra-requests: {{ ratio: 0.2, slack: 54, window-seconds: 10 }}\ngrace-seconds: 6\n",
            at(0),
            at(1),
            at(2),
            at(3),
            scene.store_address,
        );
        fs::write(&file, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_galenaloft-edge"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { child: Some(child), file, callers: at(0), readiness: at(1) }
    }

    /// Starts a host and waits until it is ready.
    pub async fn ready(scene: &Scene, zone: &str, host: u8, port: u16) -> Self {
        let edge = Self::start(scene, zone, host, port);
        eventually("the host is ready", || edge.is_ready()).await;
        edge
    }

    /// Asks as the balancer does.
    pub async fn is_ready(&self) -> bool {
        let Ok(mut balancer) = Caller::connect(self.readiness).await else {
            return false;
        };
        balancer.send_bytes(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        balancer.read(Instant::now()).await.is_ok_and(|answer| answer.status == 200)
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

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    /// Waits for the end of the process.
    pub async fn exit(&mut self) -> ExitStatus {
        let limit = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.as_mut().unwrap().try_wait().unwrap() {
                self.child = None;
                return status;
            }
            assert!(Instant::now() < limit, "the host does not end");
            sleep(LOOK).await;
        }
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(&self.file);
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
