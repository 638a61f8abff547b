//! Start and planned stop of the host.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use galenaloft_config::edge::EdgeSettings;
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

use crate::error::ServeError;
use crate::front;
use crate::host::Host;
use crate::peers;
use crate::probe;
use crate::readiness;
use crate::store;

/// How long the balancer may send new connections after the host is no longer ready: it asks each
/// second and takes two misses.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Part of the time to stop that is kept back to write the last answers.
const LAST_ANSWERS: Duration = Duration::from_millis(900);

/// Bounds on those who ask whether the host is ready.
const READINESS_LIMITS: Limits = Limits {
    connections: 32,
    head: 8 * 1024,
    body: 0,
    read_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
};

/// Serves until a signal asks for a stop.
pub async fn serve(settings: EdgeSettings, file: PathBuf) -> Result<(), ServeError> {
    // A SIGHUP that comes before its handler would end the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(ServeError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(ServeError::Signals)?;
    let mut reload = signal(SignalKind::hangup()).map_err(ServeError::Signals)?;
    let callers = bind(settings.listen.callers).await?;
    let ready = bind(settings.listen.readiness).await?;
    let metrics = bind(settings.listen.metrics).await?;
    let calls = bind(settings.listen.peers).await?;
    let datagrams = UdpSocket::bind(settings.listen.peers)
        .await
        .map_err(|e| ServeError::Listen(settings.listen.peers, e))?;
    Event::new("started").with("host", &settings.host).with("zone", &settings.zone).info();
    let grace = settings.grace;
    let incarnation = rand::random::<u32>();
    let host = Arc::new(Host::new(settings, generation(incarnation)));
    let (stop, stop_rx) = watch::channel(false);
    let front = tokio::spawn(serve_callers(callers, host.clone(), stop_rx.clone()));
    tokio::spawn(serve_readiness(ready, host.clone()));
    tokio::spawn(serve_metrics(metrics, host.clone()));
    let (heard, heard_rx) = mpsc::unbounded_channel();
    tokio::spawn(store::follow(host.clone(), heard_rx));
    tokio::spawn(peers::run(host.clone(), datagrams, heard));
    tokio::spawn(peers::serve(host.clone(), calls));
    tokio::spawn(probe::run(host.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reload_settings(&host, &file),
        }
    }
    host.stopping.store(true, Ordering::Relaxed);
    host.peers.leave();
    let running = host.in_progress.load(Ordering::Relaxed);
    Event::new("stopping").with("in_progress", running).info();
    let rest = grace.saturating_sub(LAST_ANSWERS);
    let lag = BALANCER_LAG.min(rest / 2);
    tokio::time::sleep(lag).await;
    stop.send_replace(true);
    let cut = timeout(rest.saturating_sub(lag), front).await.is_err();
    let running = host.in_progress.load(Ordering::Relaxed);
    Event::new("stopped").with("cut", cut).with("in_progress", running).info();
    Ok(())
}

/// Takes over from the settings what may change while the process runs: the seeds.
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
    let (_open, never) = watch::channel(false);
    let server = Server::plain(listener, READINESS_LIMITS);
    let answer = move |_| {
        let page = host.metrics.encode();
        async move { text(StatusCode::OK, page) }
    };
    server.serve(answer, never).await;
}

async fn serve_callers(listener: TcpListener, host: Arc<Host>, stop: watch::Receiver<bool>) {
    let limits = host.limits.subscribe();
    let server = Server::with_changing_limits(listener, limits, |status, why| text(status, why));
    server.serve(move |req| front::answer(host.clone(), req), stop).await;
}

async fn serve_readiness(listener: TcpListener, host: Arc<Host>) {
    let (_open, never) = watch::channel(false);
    let server = Server::plain(listener, READINESS_LIMITS);
    server.serve(move |req| readiness::answer(host.clone(), req), never).await;
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).await.map_err(|e| ServeError::Listen(address, e))
}

/// Returns the first generation of this run of the host, which follows those of earlier runs as
/// long as the time of day does. Peers ask a host with an older one to choose a newer one.
fn generation(random: u32) -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let seconds = since_epoch.map_or(0, |since| since.as_secs());
    (seconds << 20) | u64::from(random & 0xf_ffff)
}
