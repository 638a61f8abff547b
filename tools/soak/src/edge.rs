//! One edge host as a process.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::caller::Caller;
pub use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use tokio::time::timeout;

/// Longest wait for the answer to the balancer's question.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts so far: each has a settings file of its own, which goes with the process.
static STARTS: AtomicU32 = AtomicU32::new(1);

/// What is fixed about a host.
#[derive(Debug, Clone)]
pub struct Spec {
    /// The program.
    pub binary: PathBuf,
    /// Availability zone.
    pub zone: String,
    /// Number of the host: the last part of its address on loopback.
    pub number: u8,
    /// First of its ports, which hosts that know each other share.
    pub port: u16,
    /// Where it finds the store.
    pub store: SocketAddr,
    /// File that takes its log, if it is kept.
    pub log: Option<PathBuf>,
    /// Further lines of its settings, each with its line end.
    pub extra_settings: String,
}

/// An edge host. Dropping it kills the process.
#[derive(Debug)]
pub struct Edge {
    child: Option<Child>,
    settings: PathBuf,
    /// Where callers connect.
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

impl Edge {
    /// Writes the settings of a host and starts its process.
    pub fn start(spec: &Spec) -> io::Result<Self> {
        let ip = IpAddr::from([127, 0, 0, spec.number]);
        let at = |offset| SocketAddr::new(ip, spec.port + offset);
        let start = STARTS.fetch_add(1, Ordering::Relaxed);
        let name = format!("galenaloft-edge-{}-{}-{start}.yaml", spec.port, spec.number);
        let settings = std::env::temp_dir().join(name);
        let text = format!(
            "host: e{}\nzone: {}\nlisten:\n  callers: {}\n  readiness: {}\n  peers: {}\n  \
             metrics: {}\nstore: {}\nseeds: [\"127.0.0.1:1\", \"127.0.0.2:1\", \"127.0.0.3:1\"]\n\
             extra-requests: {{ ratio: 0.2, slack: 54, window-seconds: 10 }}\ngrace-seconds: 6\n{}",
            spec.number,
            spec.zone,
            at(0),
            at(1),
            at(2),
            at(3),
            spec.store,
            spec.extra_settings,
        );
        fs::write(&settings, text)?;
        let output = match &spec.log {
            Some(file) => append(file)?.into(),
            None => Stdio::null(),
        };
        let child = Command::new(&spec.binary)
            .arg("--settings")
            .arg(&settings)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { child: Some(child), settings, callers: at(0), readiness: at(1) })
    }

    /// Asks as the balancer does, who takes silence for a no.
    pub async fn is_ready(&self) -> bool {
        timeout(READY_TIMEOUT, self.ask_ready()).await.unwrap_or(false)
    }

    async fn ask_ready(&self) -> bool {
        let Ok(mut balancer) = Caller::connect(self.readiness).await else {
            return false;
        };
        let sent = balancer.send_bytes(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").await;
        sent.is_ok() && balancer.read(Instant::now()).await.is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the id of the process, unless it has ended and was waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, unless it has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let pid = i32::try_from(child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(pid), signal).map_err(io::Error::from)
    }

    /// Returns how the process ended, or `None` while it runs.
    pub fn try_exit(&mut self) -> io::Result<Option<ExitStatus>> {
        match &mut self.child {
            Some(child) => child.try_wait(),
            None => Ok(None),
        }
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended by itself, and both calls then have nothing to do.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(&self.settings);
    }
}

fn append(file: &Path) -> io::Result<fs::File> {
    fs::OpenOptions::new().create(true).append(true).open(file)
}
