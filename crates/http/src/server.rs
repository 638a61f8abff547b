//! A server that bounds connections, heads, bodies and the time they take.

use std::convert::Infallible;
use std::io;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use galenaloft_telemetry::log::Event;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::respond::Reply;
use crate::respond::text;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// Smallest buffer for heads that the HTTP library accepts, in bytes.
const MIN_HEAD: usize = 8 * 1024;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection without any request yet stays open after a planned stop began, so that a
/// client that has just connected gets its first request answered.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// How long an idle connection stays open after a planned stop began. A request that was sent
/// before that is read and answered.
const NEXT_REQUEST_WAIT: Duration = Duration::from_millis(100);

/// Bounds on what clients may take up.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Open connections; a further one is closed at once.
    pub connections: usize,
    /// Size of a head, in bytes; the HTTP library takes no less than 8 KiB.
    pub head: usize,
    /// Size of a body, in bytes.
    pub body: usize,
    /// Time for a body to arrive.
    pub read_timeout: Duration,
    /// Time for the next head to arrive, idle time included.
    pub idle_timeout: Duration,
}

/// What the server knows of the connection that a request came on; an extension of the request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Whether it is the first request of its connection.
    pub first_on_connection: bool,
}

/// Builds the reply to a request that the server ends itself: its body was refused, so that it has not
/// run, or its handler panicked (status 500), so that it may have run.
pub type ErrorReply = fn(StatusCode, &str) -> Reply;

/// Serves HTTP/1.1 on one listener.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    limits: watch::Receiver<Limits>,
    error_reply: ErrorReply,
}

impl Server {
    /// Creates a server; `error_reply` builds the replies to requests that it ends itself.
    pub fn new(listener: TcpListener, limits: Limits, error_reply: ErrorReply) -> Self {
        Self::with_changing_limits(listener, watch::channel(limits).1, error_reply)
    }

    /// Creates a server whose limits may change; each connection keeps those it began with.
    pub fn with_changing_limits(
        listener: TcpListener,
        limits: watch::Receiver<Limits>,
        error_reply: ErrorReply,
    ) -> Self {
        Self { listener, limits, error_reply }
    }

    /// Creates a server whose own replies are in plain text.
    pub fn plain(listener: TcpListener, limits: Limits) -> Self {
        Self::new(listener, limits, |status, why| text(status, why))
    }

    /// Accepts connections until `stop` turns true, then waits until running requests have ended.
    /// Connections that are in the listen queue by then are accepted and served.
    pub async fn serve<H, F>(self, handler: H, stop: watch::Receiver<bool>)
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let connections = self.limits.borrow().connections;
        let permits = Arc::new(Semaphore::new(connections));
        let spawn = |stream: TcpStream| {
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                return;
            };
            let limits = self.limits.borrow().clone();
            let connection =
                serve_connection(stream, limits, self.error_reply, handler.clone(), stop.clone());
            tokio::spawn(async move {
                // A broken connection concerns its client only.
                let _ = connection.await;
                drop(permit);
            });
        };
        let mut stopping = stop.clone();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stopping.wait_for(|stopping| *stopping) => break,
            };
            match accepted {
                Ok((stream, _)) => spawn(stream),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        // Lets the event loop see connections that arrived since its last turn.
        tokio::task::yield_now().await;
        while let Some(Ok((stream, _))) = self.listener.accept().now_or_never() {
            spawn(stream);
        }
        drop(self.listener);
        let all = u32::try_from(connections).unwrap_or(u32::MAX);
        // The semaphore is never closed, so this only waits.
        let _ = permits.acquire_many(all).await;
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: Limits,
    error_reply: ErrorReply,
    handler: H,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()>
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    stream.set_nodelay(true)?;
    let (body_limit, read_timeout) = (limits.body, limits.read_timeout);
    let requests = Arc::new(Requests::default());
    let counted = requests.clone();
    let stopping = stop.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let handler = handler.clone();
        let first_on_connection = counted.record_started() == 1;
        req.extensions_mut().insert(Arrival { first_on_connection });
        let (counted, stopping) = (counted.clone(), stopping.clone());
        async move {
            let mut reply = match read_body(req, body_limit, read_timeout).await {
                Ok(req) => answer(handler, req, error_reply).await,
                Err((status, why)) => error_reply(status, &why),
            };
            if *stopping.borrow() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            counted.record_ended();
            Ok::<Reply, Infallible>(reply)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .auto_date_header(false)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.head.max(MIN_HEAD))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let next_request = async {
        // The sender is dropped only when the process ends, which counts as a stop too.
        let _ = stop.wait_for(|stopping| *stopping).await;
        requests.wait_for_next().await;
    };
    tokio::select! {
        biased;
        result = &mut connection => return result.map_err(io::Error::other),
        () = next_request => {}
    }
    // The answer to a request in progress asks the client to close the connection.
    connection.as_mut().graceful_shutdown();
    connection.await.map_err(io::Error::other)
}

/// Requests that were read on one connection.
#[derive(Debug, Default)]
struct Requests {
    started: AtomicU64,
    ended: AtomicU64,
    /// Signalled when a request was read.
    request_read: Notify,
}

impl Requests {
    /// Counts a request that was read, and returns their number.
    fn record_started(&self) -> u64 {
        self.request_read.notify_one();
        self.started.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Counts a request that was answered.
    fn record_ended(&self) {
        self.ended.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns at once while a request is in progress; otherwise waits for the next one, for as
    /// long as one may be under way.
    async fn wait_for_next(&self) {
        let started = self.started.load(Ordering::Relaxed);
        if started > self.ended.load(Ordering::Relaxed) {
            return;
        }
        let limit = if started == 0 { FIRST_REQUEST_WAIT } else { NEXT_REQUEST_WAIT };
        let next_read = async {
            while self.started.load(Ordering::Relaxed) == started {
                self.request_read.notified().await;
            }
        };
        // Without a further request the connection is idle, and is closed.
        let _ = timeout(limit, next_read).await;
    }
}

/// Has the handler answer a request. A panic concerns that request only: it is answered 500 and its
/// connection goes on.
async fn answer<H, F>(handler: H, req: Request<Bytes>, error_reply: ErrorReply) -> Reply
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Reply>,
{
    let uri = req.uri().clone();
    // What the handler shares with other tasks is behind locks that a panic does not leave unusable.
    let reply = AssertUnwindSafe(async { handler(req).await }).catch_unwind().await;
    reply.unwrap_or_else(|_| {
        Event::new("request_panicked").with("path", uri.path()).error();
        error_reply(StatusCode::INTERNAL_SERVER_ERROR, "the request could not be handled")
    })
}

async fn read_body(
    req: Request<Incoming>,
    limit: usize,
    read_timeout: Duration,
) -> Result<Request<Bytes>, (StatusCode, String)> {
    let (head, body) = req.into_parts();
    let too_large = || (StatusCode::PAYLOAD_TOO_LARGE, format!("the body exceeds {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let collected = timeout(read_timeout, Limited::new(body, limit).collect()).await;
    let collected = collected.map_err(|_| {
        let why = format!("the body did not arrive within {read_timeout:?}");
        (StatusCode::REQUEST_TIMEOUT, why)
    })?;
    match collected {
        Ok(body) => Ok(Request::from_parts(head, body.to_bytes())),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Err(e) => Err((StatusCode::BAD_REQUEST, format!("the body is broken: {e}"))),
    }
}
