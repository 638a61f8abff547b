//! A server that bounds connections, heads, bodies and the time they take.

use std::convert::Infallible;
use std::io;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use galenaloft_telemetry::log::Event;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::body::BodyError;
use crate::body::read_body;
use crate::budget::Budget;
use crate::budget::Connection;
use crate::respond::Reply;
use crate::respond::text;
use crate::stream::CallerStream;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// Smallest buffer for heads that the HTTP library accepts, in bytes.
const MIN_HEAD: usize = 8 * 1024;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a new connection waits for the descriptor of one that is closed in its favour.
const DESCRIPTOR_WAIT: Duration = Duration::from_secs(1);

/// Bounds on what clients may take up.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Open connections; a further one is closed at once.
    pub connections: usize,
    /// Size of a head, in bytes; the HTTP library takes no less than 8 KiB.
    pub head: usize,
    /// Size of a body, in bytes.
    pub body: usize,
    /// Time for a body to arrive, beyond what its bytes need at the minimum rate.
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
    budget: Budget,
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
        Self { listener, limits, error_reply, budget: Budget::unlimited() }
    }

    /// Creates a server whose own replies are in plain text.
    pub fn plain(listener: TcpListener, limits: Limits) -> Self {
        Self::new(listener, limits, |status, why| text(status, why))
    }

    /// Makes the connections take their memory out of a budget of the process.
    pub fn with_budget(mut self, budget: Budget) -> Self {
        self.budget = budget;
        self
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
        if let Some(size) = self.budget.socket_buffer() {
            bound_socket_buffers(&self.listener, size);
        }
        let spawn = |stream: TcpStream| {
            let permit = permits.clone().try_acquire_owned().ok();
            if permit.is_none() && !self.budget.close_longest_waiting() {
                self.budget.record_closed("too_many");
                return;
            }
            let Some(connection) = self.budget.connect() else {
                // The next connection finds room.
                self.budget.close_longest_waiting();
                return;
            };
            let limits = self.limits.borrow().clone();
            let serving = serve_connection(
                stream,
                limits,
                self.error_reply,
                handler.clone(),
                stop.clone(),
                connection.clone(),
            );
            let permits = permits.clone();
            tokio::spawn(async move {
                let permit = match permit {
                    Some(permit) => Some(permit),
                    None => match timeout(DESCRIPTOR_WAIT, permits.acquire_owned()).await {
                        Ok(permit) => permit.ok(),
                        Err(_) => None,
                    },
                };
                if permit.is_some() {
                    // A broken connection concerns its client only.
                    let _ = serving.await;
                }
                connection.disconnect();
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
    connection: Arc<Connection>,
) -> io::Result<()>
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    stream.set_nodelay(true)?;
    let (body_limit, read_timeout) = (limits.body, limits.read_timeout);
    let counted = connection.clone();
    let stopping = stop.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let handler = handler.clone();
        let first_on_connection = counted.record_started() == 1;
        req.extensions_mut().insert(Arrival { first_on_connection });
        let (counted, stopping) = (counted.clone(), stopping.clone());
        async move {
            let mut reply = match read_body(req, body_limit, read_timeout, &counted).await {
                Ok(req) => answer(handler, req, error_reply).await,
                Err(e) => refuse(&e, error_reply),
            };
            if *stopping.borrow() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            counted.record_ended(reply.body().size_hint().lower() as usize);
            Ok::<Reply, Infallible>(reply)
        }
    });
    let stream = CallerStream::new(stream, connection.clone());
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .auto_date_header(false)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.head.max(MIN_HEAD))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let next_request = async {
        // The sender is dropped only when the process ends, which counts as a stop too.
        let _ = stop.wait_for(|stopping| *stopping).await;
        connection.wait_for_next().await;
    };
    tokio::select! {
        biased;
        result = &mut serving => return result.map_err(io::Error::other),
        () = connection.close.notified() => return Ok(()),
        () = next_request => {}
    }
    // The answer to a request in progress asks the client to close the connection.
    serving.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        result = serving => result.map_err(io::Error::other),
        () = connection.close.notified() => Ok(()),
    }
}

/// Bounds the kernel's buffers of the sockets that a listener accepts.
fn bound_socket_buffers(listener: &TcpListener, size: usize) {
    let socket = SockRef::from(listener);
    let bounded = socket.set_recv_buffer_size(size).and(socket.set_send_buffer_size(size));
    if let Err(e) = bounded {
        Event::new("socket_buffer_not_bounded").with("why", e).warn();
    }
}

/// Builds the reply to a request whose body was not read. It is the last one on its connection.
fn refuse(e: &BodyError, error_reply: ErrorReply) -> Reply {
    let mut reply = error_reply(e.status, &e.why);
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    let seconds = e.retry_after.map(|time| format!("{:.3}", time.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
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
