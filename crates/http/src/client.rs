//! One client connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::IF_NONE_MATCH;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::HttpError;

/// Largest reply that is read, in bytes.
const MAX_REPLY: usize = 4 * 1024 * 1024;

/// One HTTP/1.1 connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    peer: SocketAddr,
}

impl Connection {
    /// Connects within `limit`.
    pub async fn connect(peer: SocketAddr, limit: Duration) -> Result<Self, HttpError> {
        let stream = timeout(limit, TcpStream::connect(peer))
            .await
            .map_err(|_| HttpError::Connect(format!("{peer} did not answer")))?
            .map_err(|e| HttpError::Connect(format!("{peer}: {e}")))?;
        stream.set_nodelay(true).map_err(|e| HttpError::Connect(format!("{peer}: {e}")))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| HttpError::Connect(format!("{peer}: {e}")))?;
        tokio::spawn(connection);
        Ok(Self { sender, peer })
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
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, HttpError> {
        self.sender.ready().await.map_err(|e| HttpError::NotSent(e.to_string()))?;
        let reply = self.sender.try_send_request(req).await.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let why = e.into_error().to_string();
            if unsent { HttpError::NotSent(why) } else { HttpError::Lost(why) }
        })?;
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
