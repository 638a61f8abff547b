//! Startup and graceful shutdown of the host.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use galenaloft_config::edge::EdgeSettings;
use galenaloft_http::Budget;
use galenaloft_http::Limits;
use galenaloft_http::Server;
use galenaloft_http::text;
use galenaloft_telemetry::log::Event;
use hyper::StatusCode;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::api;
use crate::error::ServeError;
use crate::host::Host;
use crate::peers;
use crate::probe;
use crate::readiness;
use crate::store;

/// How long the load balancer may keep sending new connections after the host reports that it is
/// not ready: it checks readiness every second and drops a host after two failed checks. The time
/// beyond these 2 s is a margin.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Part of the shutdown grace period that is reserved for writing the last answers.
const LAST_ANSWERS_RESERVE: Duration = Duration::from_millis(900);

/// Memory of the machine if the settings do not state it, in MB: that of the largest hosts.
const DEFAULT_MEMORY_MB: u32 = 512;

/// Limits on connections to the readiness and metrics endpoints.
const MONITORING_LIMITS: Limits = Limits {
    connections: 32,
    head: 8 * 1024,
    body: 0,
    read_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
};

/// Serves callers and peers until SIGTERM or SIGINT, then shuts down gracefully. SIGHUP reloads the
/// settings in `file`.
pub async fn serve(settings: EdgeSettings, file: PathBuf) -> Result<(), ServeError> {
    // Installed before anything else: a signal such as SIGHUP that arrives before its handler is
    // installed would end the process.
    let mut sigterm = signal(SignalKind::terminate()).map_err(ServeError::Signals)?;
    let mut sigint = signal(SignalKind::interrupt()).map_err(ServeError::Signals)?;
    let mut sighup = signal(SignalKind::hangup()).map_err(ServeError::Signals)?;
    let caller_listener = bind(settings.listen.callers).await?;
    let readiness_listener = bind(settings.listen.readiness).await?;
    let metrics_listener = bind(settings.listen.metrics).await?;
    let peer_listener = bind(settings.listen.peers).await?;
    let gossip_socket = UdpSocket::bind(settings.listen.peers)
        .await
        .map_err(|e| ServeError::Listen(settings.listen.peers, e))?;
    Event::new("started").with("host", &settings.host).with("zone", &settings.zone).info();
    let grace = settings.grace;
    let random_bits = rand::random::<u32>();
    let host = Arc::new(Host::new(settings, new_incarnation(random_bits)));
    let (stop_tx, stop_rx) = watch::channel(false);
    let api_task = tokio::spawn(serve_callers(caller_listener, host.clone(), stop_rx.clone()));
    tokio::spawn(serve_readiness(readiness_listener, host.clone()));
    tokio::spawn(serve_metrics(metrics_listener, host.clone()));
    let (peer_notices_tx, peer_notices_rx) = mpsc::unbounded_channel();
    tokio::spawn(store::follow(host.clone(), peer_notices_rx));
    tokio::spawn(peers::run(host.clone(), gossip_socket, peer_notices_tx));
    tokio::spawn(peers::serve(host.clone(), peer_listener));
    tokio::spawn(probe::run(host.clone()));
    loop {
        tokio::select! {
            _ = sigterm.recv() => break,
            _ = sigint.recv() => break,
            _ = sighup.recv() => reload_settings(&host, &file),
        }
    }
    host.stopping.store(true, Ordering::Relaxed);
    host.peers.leave();
    let running = host.in_progress.load(Ordering::Relaxed);
    Event::new("stopping").with("in_progress", running).info();
    let shutdown_time = grace.saturating_sub(LAST_ANSWERS_RESERVE);
    let balancer_lag = BALANCER_LAG.min(shutdown_time / 2);
    tokio::time::sleep(balancer_lag).await;
    stop_tx.send_replace(true);
    let cut_short = timeout(shutdown_time.saturating_sub(balancer_lag), api_task).await.is_err();
    let running = host.in_progress.load(Ordering::Relaxed);
    Event::new("stopped").with("cut", cut_short).with("in_progress", running).info();
    Ok(())
}

/// Reloads the settings file and applies the seeds, the only settings that may change at run time.
fn reload_settings(host: &Host, file: &Path) {
    match EdgeSettings::load(file) {
        Ok(settings) => {
            Event::new("reloaded").with("seeds", settings.seeds.len()).info();
            host.peers.set_seeds(&settings);
        }
        Err(e) => Event::new("reload_refused").with("why", e).error(),
    }
}

async fn serve_metrics(listener: TcpListener, host: Arc<Host>) {
    let (_stop_tx, never_stop) = watch::channel(false);
    let server = Server::plain(listener, MONITORING_LIMITS);
    let answer = move |_| {
        host.record_admitted_shares();
        host.record_suspected_requests();
        let page = host.metrics.encode();
        async move { text(StatusCode::OK, page) }
    };
    server.serve(answer, never_stop).await;
}

/// Serves callers until `stop` turns true and running requests have ended.
async fn serve_callers(listener: TcpListener, host: Arc<Host>, stop: watch::Receiver<bool>) {
    let limits = host.limits.subscribe();
    let memory_mb = host.settings.memory_mb;
    let budget = Budget::for_machine(memory_mb, DEFAULT_MEMORY_MB, &host.metrics);
    let server = Server::with_changing_limits(listener, limits, |status, why| text(status, why))
        .with_budget(budget);
    server.serve(move |req| api::answer(host.clone(), req), stop).await;
}

async fn serve_readiness(listener: TcpListener, host: Arc<Host>) {
    let (_stop_tx, never_stop) = watch::channel(false);
    let server = Server::plain(listener, MONITORING_LIMITS);
    server.serve(move |req| readiness::answer(host.clone(), req), never_stop).await;
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).await.map_err(|e| ServeError::Listen(address, e))
}

/// Returns the incarnation of this run of the host, which is also its first membership generation:
/// the time in seconds, followed by 20 random bits. The incarnation names this run; the generation
/// starts at it and grows later. Both are greater than those of runs that started in an earlier
/// second, unless the system clock was set back: then peers ask the host to choose a newer
/// generation.
fn new_incarnation(random_bits: u32) -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let seconds = since_epoch.map_or(0, |since| since.as_secs());
    (seconds << 20) | u64::from(random_bits & 0xf_ffff)
}
