//! One client connection.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::ext::on_informational;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::IF_NONE_MATCH;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::error::HttpError;

/// Largest reply that is read, in bytes.
const MAX_REPLY: usize = 4 * 1024 * 1024;

/// Read buffer of a connection, in bytes. Most replies fit, and many connections are idle at a time.
const READ_BUFFER: usize = 2 * 1024;

/// Idle time after which the kernel probes a connection, in seconds resolution of the kernel.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection counts as lost.
const KEEPALIVE_PROBES: u32 = 2;

/// How long written bytes may stay unacknowledged before the connection counts as lost.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// Most interim answers (1xx) before an answer.
const MAX_INTERIM_ANSWERS: u32 = 16;

/// Statuses that an answer may have; those from 100 to 199 are interim ones.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The interim answers to one request.
#[derive(Debug, Default)]
struct InterimAnswers {
    count: AtomicU32,
    too_many: Notify,
}

impl InterimAnswers {
    /// Counts the interim answers to a request that is about to be sent.
    fn count_on(req: &mut Request<Full<Bytes>>) -> Arc<Self> {
        let answers = Arc::new(Self::default());
        let counted = answers.clone();
        on_informational(req, move |_| {
            if counted.count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
                counted.too_many.notify_one();
            }
        });
        answers
    }

    /// Returns once there are too many.
    async fn too_many(&self) {
        self.too_many.notified().await;
    }
}

/// One HTTP/1.1 connection that carries one request at a time. Dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    peer: SocketAddr,
    /// Drives the connection; dropping the set ends the task.
    _driver: JoinSet<Result<(), hyper::Error>>,
}

/// Sets the options of a connection that this process opened: it sends at once and is lost when the
/// other side falls silent.
pub fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

impl Connection {
    /// Connects within `limit`.
    pub async fn connect(peer: SocketAddr, limit: Duration) -> Result<Self, HttpError> {
        let stream = timeout(limit, TcpStream::connect(peer))
            .await
            .map_err(|_| HttpError::Connect(format!("{peer} did not answer")))?
            .map_err(|e| HttpError::Connect(format!("{peer}: {e}")))?;
        prepare(&stream).map_err(|e| HttpError::Connect(format!("{peer}: {e}")))?;
        let (sender, connection) = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER))
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| HttpError::Connect(format!("{peer}: {e}")))?;
        let mut driver = JoinSet::new();
        driver.spawn(connection);
        Ok(Self { sender, peer, _driver: driver })
    }

    /// Returns whether the connection can still carry a request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads the whole reply.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        kind: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, HttpError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.peer.to_string())
            .header(CONTENT_TYPE, kind)
            .body(Full::new(body))
            .map_err(|e| HttpError::NotSent(e.to_string()))?;
        self.send_request(req).await
    }

    /// Reads a path unless its entity tag is still `tag`; an empty tag always reads.
    pub async fn get(&mut self, path: &str, tag: &str) -> Result<Response<Bytes>, HttpError> {
        let mut req = Request::builder().uri(path).header(HOST, self.peer.to_string());
        if !tag.is_empty() {
            req = req.header(IF_NONE_MATCH, tag);
        }
        let req = req.body(Full::new(Bytes::new()));
        self.send_request(req.map_err(|e| HttpError::NotSent(e.to_string()))?).await
    }

    /// Sends a prepared request and reads the whole reply.
    pub async fn send_request(
        &mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, HttpError> {
        self.sender.ready().await.map_err(|e| HttpError::NotSent(e.to_string()))?;
        let interim_answers = InterimAnswers::count_on(&mut req);
        let reply = tokio::select! {
            biased;
            () = interim_answers.too_many() => {
                let why = format!("more than {MAX_INTERIM_ANSWERS} interim answers");
                return Err(HttpError::Lost(why));
            }
            reply = self.sender.try_send_request(req) => reply,
        };
        let reply = reply.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let why = e.into_error().to_string();
            if unsent { HttpError::NotSent(why) } else { HttpError::Lost(why) }
        })?;
        // The parser takes three digits from 100 on, and 101 ends the use of the connection for HTTP.
        if !FINAL_STATUSES.contains(&reply.status().as_u16()) {
            return Err(HttpError::NoFinalStatus(reply.status()));
        }
        let (head, body) = reply.into_parts();
        let body = Limited::new(body, MAX_REPLY).collect().await.map_err(|e| {
            if e.is::<http_body_util::LengthLimitError>() {
                return HttpError::TooLarge(MAX_REPLY);
            }
            HttpError::Lost(e.to_string())
        })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}
