//! HTTP client of a searcher.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_http::Connection;
use galenaloft_http::HttpError;
use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::ids::AttemptId;
use hyper::Method;
use hyper::StatusCode;
use prost::Message;

use crate::convert::RanReply;
use crate::convert::read_reply;
use crate::convert::request_to_wire;
use crate::paths::ATTEMPTS_PATH;
use crate::paths::HEALTH_PATH;
use crate::paths::PROTOBUF;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens HTTP connections to searchers.
#[derive(Debug, Clone, Copy, Default)]
pub struct HttpConnector;

impl HttpConnector {
    /// Connects to a searcher.
    pub async fn connect(&self, address: SocketAddr) -> Result<SearcherClient, HttpError> {
        let connection = Connection::connect(address, CONNECT_TIMEOUT).await?;
        Ok(SearcherClient { connection })
    }
}

/// One connection to a searcher.
#[derive(Debug)]
pub struct SearcherClient {
    connection: Connection,
}

impl SearcherClient {
    /// Returns whether the connection can be used for another attempt.
    pub fn is_open(&self) -> bool {
        self.connection.is_open()
    }

    /// Sends an attempt and waits for its reply.
    pub async fn send(&mut self, req: &AttemptRequest) -> Result<RanReply, AttemptFailure> {
        let body = Bytes::from(request_to_wire(req).encode_to_vec());
        let reply = self
            .connection
            .send(Method::POST, ATTEMPTS_PATH, PROTOBUF, body)
            .await
            .map_err(|e| failure_from_http_error(&e))?;
        read_reply(req, reply.status(), reply.headers(), reply.body())
    }

    /// Cancels an attempt that was sent on another connection.
    pub async fn cancel(&mut self, attempt: AttemptId) -> Result<(), HttpError> {
        let path = format!("{ATTEMPTS_PATH}/{attempt:x}");
        self.connection.send(Method::DELETE, &path, PROTOBUF, Bytes::new()).await.map(drop)
    }

    /// Reads from the health endpoint whether the searcher is draining.
    pub async fn is_draining(&mut self) -> Result<bool, HttpError> {
        let reply = self.connection.send(Method::GET, HEALTH_PATH, PROTOBUF, Bytes::new()).await?;
        Ok(reply.status() == StatusCode::SERVICE_UNAVAILABLE)
    }
}

fn failure_from_http_error(e: &HttpError) -> AttemptFailure {
    match e {
        HttpError::Connect(_) | HttpError::NotSent(_) => {
            AttemptFailure::not_run(FailureReason::ConnectFailed)
        }
        HttpError::Lost(_) => AttemptFailure::may_have_run(FailureReason::ConnectionLost),
        HttpError::NoFinalStatus(_) | HttpError::TooLarge(_) => {
            AttemptFailure::may_have_run(FailureReason::BadReply(e.to_string()))
        }
    }
}
