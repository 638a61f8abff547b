//! Reading and watching the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_http::Connection;
use galenaloft_http::HttpError;
use galenaloft_policy::ids::Revision;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::ETAG;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::paths::CONFIG_PATH;
use crate::paths::HOSTS_PATH;
use crate::wire::ConfigValue;
use crate::wire::HostList;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a reply beyond the time that a watch asks for.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Why the platform gave no value.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The exchange failed.
        Http(e: HttpError) {
            from()
            display("{}", e)
        }
        /// No reply in time.
        TimedOut {
            display("no reply in time")
        }
        /// The reply has an unexpected status.
        Status(status: StatusCode) {
            display("status {}", status)
        }
        /// The reply cannot be read.
        Unreadable(why: String) {
            display("unreadable reply: {}", why)
        }
    }
}

/// What a watch came to.
#[derive(Debug, Clone, PartialEq)]
pub enum Watched {
    /// A value above the version that was asked for.
    Value(ConfigValue),
    /// No such value; the platform has this version, 0 for none.
    Unchanged(Revision),
}

/// One connection to the platform.
#[derive(Debug)]
pub struct PlatformClient {
    connection: Connection,
}

impl PlatformClient {
    /// Connects to the platform.
    pub async fn connect(address: SocketAddr) -> Result<Self, PlatformError> {
        Ok(Self {
            connection: Connection::connect(address, CONNECT_TIMEOUT).await?,
        })
    }

    /// Waits up to `wait` for a value of `key` above version `after`.
    pub async fn watch(
        &mut self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, PlatformError> {
        let path = format!(
            "{CONFIG_PATH}{key}?after={after}&wait_ms={}",
            wait.as_millis()
        );
        let reply = self.get(&path, wait).await?;
        match reply.status() {
            StatusCode::OK => decode(reply.body()).map(Watched::Value),
            StatusCode::NOT_MODIFIED => Ok(Watched::Unchanged(version_of(&reply))),
            StatusCode::NOT_FOUND => Ok(Watched::Unchanged(0)),
            other => Err(PlatformError::Status(other)),
        }
    }

    /// Reads the host list.
    pub async fn hosts(&mut self) -> Result<HostList, PlatformError> {
        let reply = self.get(HOSTS_PATH, Duration::ZERO).await?;
        match reply.status() {
            StatusCode::OK => decode(reply.body()),
            other => Err(PlatformError::Status(other)),
        }
    }

    async fn get(&mut self, path: &str, wait: Duration) -> Result<Response<Bytes>, PlatformError> {
        let exchange = self
            .connection
            .send(Method::GET, path, "application/json", Bytes::new());
        let reply = timeout(wait + REPLY_TIMEOUT, exchange);
        Ok(reply.await.map_err(|_| PlatformError::TimedOut)??)
    }
}

/// Returns the version in the reply's entity tag, or 0 without a readable one.
fn version_of(reply: &Response<Bytes>) -> Revision {
    let tag = reply.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
    tag.and_then(|tag| tag.trim_matches('"').parse().ok())
        .unwrap_or(0)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Unreadable(e.to_string()))
}
