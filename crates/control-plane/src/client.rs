//! HTTP client of the control plane.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_http::Connection;
use galenaloft_http::HttpError;
use galenaloft_policy::ids::Revision;
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

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for a reply, in addition to the wait time of a watch.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Error of a request to the control plane.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The HTTP exchange failed.
        Http(e: HttpError) {
            from()
            display("{}", e)
        }
        /// The reply did not arrive within the time limit.
        TimedOut {
            display("timed out waiting for a reply")
        }
        /// The status of the reply is unexpected.
        Status(status: StatusCode) {
            display("unexpected status {}", status)
        }
        /// The body of the reply cannot be decoded.
        Unreadable(why: String) {
            display("unreadable reply: {}", why)
        }
    }
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutcome {
    /// The value, with a version above the requested one.
    Value(ConfigValue),
    /// There is no newer value: the wait time ended or the key does not exist.
    Unchanged {
        /// Version that the control plane has, 0 if the key does not exist.
        version: Revision,
        /// Entity tag of the control plane's value, which changes with the text of the value; empty
        /// if the key does not exist.
        tag: String,
    },
}

/// Result of reading the host list.
#[derive(Debug, Clone, PartialEq)]
pub enum HostListRead {
    /// The host list and its entity tag.
    List(HostList, String),
    /// The list still has the entity tag of the request.
    Unchanged,
}

/// One connection to the control plane.
#[derive(Debug)]
pub struct PlatformClient {
    connection: Connection,
}

impl PlatformClient {
    /// Connects to the control plane.
    pub async fn connect(address: SocketAddr) -> Result<Self, PlatformError> {
        Ok(Self { connection: Connection::connect(address, CONNECT_TIMEOUT).await? })
    }

    /// Waits up to `wait` for a value of `key` above version `after`.
    pub async fn watch(
        &mut self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchOutcome, PlatformError> {
        let path = format!("{CONFIG_PATH}{key}?after={after}&wait_ms={}", wait.as_millis());
        let reply = self.get(&path, "", wait).await?;
        match reply.status() {
            StatusCode::OK => decode(reply.body()).map(WatchOutcome::Value),
            StatusCode::NOT_MODIFIED => {
                let tag = entity_tag(&reply);
                let version = version_from_tag(&tag);
                Ok(WatchOutcome::Unchanged { version, tag })
            }
            StatusCode::NOT_FOUND => Ok(WatchOutcome::Unchanged { version: 0, tag: String::new() }),
            other => Err(PlatformError::Status(other)),
        }
    }

    /// Reads the host list if its entity tag differs from `tag`.
    pub async fn hosts(&mut self, tag: &str) -> Result<HostListRead, PlatformError> {
        let reply = self.get(HOSTS_PATH, tag, Duration::ZERO).await?;
        match reply.status() {
            StatusCode::OK => Ok(HostListRead::List(decode(reply.body())?, entity_tag(&reply))),
            StatusCode::NOT_MODIFIED => Ok(HostListRead::Unchanged),
            other => Err(PlatformError::Status(other)),
        }
    }

    async fn get(
        &mut self,
        path: &str,
        tag: &str,
        wait: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        let exchange = self.connection.get(path, tag);
        let reply = timeout(wait + REPLY_TIMEOUT, exchange);
        Ok(reply.await.map_err(|_| PlatformError::TimedOut)??)
    }
}

fn entity_tag(reply: &Response<Bytes>) -> String {
    let tag = reply.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
    tag.unwrap_or_default().to_owned()
}

/// Returns the version at the start of an entity tag such as `"412.9f3a"`, or 0 without one.
fn version_from_tag(tag: &str) -> Revision {
    let version = tag.trim_matches('"').split('.').next();
    version.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Unreadable(e.to_string()))
}
