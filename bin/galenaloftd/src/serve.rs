//! Serving until a planned stop.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use galenaloft_config::settings::LogLevel;
use galenaloft_config::settings::Settings;
use galenaloft_host::Identity;
use galenaloft_host::Node;
use galenaloft_host::Phase;
use galenaloft_host::api::handle_caller;
use galenaloft_host::api::handle_operator;
use galenaloft_host::api::server_error_reply;
use galenaloft_host::network::HttpPlatform;
use galenaloft_host::network::TcpNetwork;
use galenaloft_host::serve_peers;
use galenaloft_http::Budget;
use galenaloft_http::Limits;
use galenaloft_http::Server;
use galenaloft_http::max_caller_connections;
use galenaloft_peer::TcpConnector;
use galenaloft_searcher::HttpConnector;
use galenaloft_telemetry::log;
use galenaloft_telemetry::log::Event;
use galenaloft_telemetry::log::Level;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::error::DaemonError;

/// Connections from operators.
const OPERATOR_CONNECTIONS: usize = 64;

/// Size of a caller's request head, in bytes.
const CALLER_HEAD: usize = 16 * 1024;

/// Size of an operator's request head, in bytes.
const OPERATOR_HEAD: usize = 16 * 1024;

/// Size of an operator's request body, in bytes.
const OPERATOR_BODY: usize = 4_096;

/// Memory of the machine if the settings do not state it, in MB.
const DEFAULT_MEMORY_MB: u32 = 1_024;

/// Memory of an idle process with a thread for each core, in MB. Callers hold a part of the rest.
const IDLE_MEMORY_MB: u32 = 24;

/// Least memory of which callers hold a part, in MB.
const MIN_MEMORY_MB: u32 = 16;

/// How long the last replies may take to be written after the planned stop.
const LAST_REPLIES: Duration = Duration::from_secs(1);

type RealNode = Arc<Node<TcpNetwork>>;

/// Serves until a signal or an operator asks for a stop.
pub fn serve(settings: Settings) -> Result<ExitCode, DaemonError> {
    log::init(level_of(settings.log))?;
    Runtime::new()?.block_on(serve_async(settings))
}

async fn serve_async(settings: Settings) -> Result<ExitCode, DaemonError> {
    let callers = bind(settings.listen.callers).await?;
    let peers = bind(settings.listen.peers).await?;
    let operators = bind(settings.listen.operators).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let limits = caller_limits(&settings);
    let memory_mb = settings.limits.memory_mb;
    let memory_mb = memory_mb.map(|mb| mb.saturating_sub(IDLE_MEMORY_MB).max(MIN_MEMORY_MB));
    let platform = HttpPlatform { address: settings.platform };
    let node = Node::new(settings, Identity::random(), TcpConnector, HttpConnector, platform);
    let (stop, stop_rx) = watch::channel(false);
    tokio::spawn(serve_peers(peers, node.clone()));
    let budget = Budget::for_machine(memory_mb, DEFAULT_MEMORY_MB, node.metrics());
    tokio::spawn(serve_operators(operators, node.clone(), stop_rx, budget.clone()));
    let front = tokio::spawn(serve_callers(callers, limits, node.clone(), budget));
    let tasks = node.start();

    let mut phase = node.phase();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = phase.wait_for(|phase| *phase >= Phase::Draining) => {}
    }
    let cut = tokio::select! {
        cut = node.drain() => cut,
        cut = second_signal(&node, &mut terminate, &mut interrupt) => cut,
    };
    stop.send_replace(true);
    let _ = timeout(LAST_REPLIES, front).await;
    drop(tasks);
    Ok(if cut == 0 { ExitCode::SUCCESS } else { ExitCode::from(2) })
}

/// Waits for a second signal, which cuts what still runs. Returns how much that is.
async fn second_signal(node: &RealNode, terminate: &mut Signal, interrupt: &mut Signal) -> u32 {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let cut = node.requests_in_progress();
    Event::new("drain_cut_short").with("cut", cut).warn();
    cut
}

/// Serves callers until the host closes to them, then until their last request has ended.
async fn serve_callers(listener: TcpListener, limits: Limits, node: RealNode, budget: Budget) {
    let (close, stop) = watch::channel(false);
    let mut phase = node.phase();
    tokio::spawn(async move {
        // The node outlives its servers.
        let _ = phase.wait_for(|phase| *phase == Phase::Stopping).await;
        close.send_replace(true);
    });
    let server = Server::new(listener, limits, server_error_reply).with_budget(budget);
    server.serve(move |req| handle_caller(node.clone(), req), stop).await;
}

async fn serve_operators(
    listener: TcpListener,
    node: RealNode,
    stop: watch::Receiver<bool>,
    budget: Budget,
) {
    let limits = Limits {
        connections: OPERATOR_CONNECTIONS,
        head: OPERATOR_HEAD,
        body: OPERATOR_BODY,
        read_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(5),
    };
    let server = Server::plain(listener, limits).with_budget(budget);
    server.serve(move |req| handle_operator(node.clone(), req), stop).await;
}

async fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|e| DaemonError::Listen(address, e))
}

fn caller_limits(settings: &Settings) -> Limits {
    let max_connections = max_caller_connections(settings.limits.descriptors);
    Limits {
        connections: (settings.limits.connections as usize).min(max_connections),
        head: CALLER_HEAD,
        body: settings.limits.body as usize,
        read_timeout: settings.limits.read_timeout,
        idle_timeout: settings.limits.read_timeout,
    }
}

fn level_of(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warn => Level::Warn,
        LogLevel::Error => Level::Error,
    }
}
