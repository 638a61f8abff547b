//! The client side of the operator protocol.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_http::Connection;
use galenaloft_http::HttpError;
use hyper::Method;
use quick_error::quick_error;
use serde::de::DeserializeOwned;

use crate::paths::DRAIN_PATH;
use crate::paths::EXPLAIN_PATH;
use crate::paths::STATUS_PATH;
use crate::wire::Explanation;
use crate::wire::HostStatus;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Error of a call to an entry host.
    #[derive(Debug)]
    pub enum OperatorError {
        /// The HTTP exchange failed.
        Http(e: HttpError) {
            from()
            display("{}", e)
        }
        /// The host refused the request.
        Refused(status: u16, why: String) {
            display("status {}: {}", status, why)
        }
        /// The body of the reply cannot be decoded.
        Unreadable(why: String) {
            display("unreadable reply: {}", why)
        }
    }
}

/// One connection from an operator to an entry host.
#[derive(Debug)]
pub struct OperatorClient {
    connection: Connection,
}

impl OperatorClient {
    /// Connects to an entry host.
    pub async fn connect(host: SocketAddr) -> Result<Self, OperatorError> {
        Ok(Self { connection: Connection::connect(host, CONNECT_TIMEOUT).await? })
    }

    /// Reads the state of the host.
    pub async fn status(&mut self) -> Result<HostStatus, OperatorError> {
        decode(&self.call(Method::GET, STATUS_PATH).await?)
    }

    /// Reads the decisions of a recent request.
    pub async fn explain(&mut self, request_id: &str) -> Result<Explanation, OperatorError> {
        decode(&self.call(Method::GET, &format!("{EXPLAIN_PATH}{request_id}")).await?)
    }

    /// Starts a drain, the planned stop of the host.
    pub async fn drain(&mut self) -> Result<(), OperatorError> {
        self.call(Method::POST, DRAIN_PATH).await.map(drop)
    }

    async fn call(&mut self, method: Method, path: &str) -> Result<Bytes, OperatorError> {
        let reply = self.connection.send(method, path, "application/json", Bytes::new()).await?;
        if !reply.status().is_success() {
            let why = String::from_utf8_lossy(reply.body()).into_owned();
            return Err(OperatorError::Refused(reply.status().as_u16(), why));
        }
        Ok(reply.into_body())
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, OperatorError> {
    serde_json::from_slice(body).map_err(|e| OperatorError::Unreadable(e.to_string()))
}
