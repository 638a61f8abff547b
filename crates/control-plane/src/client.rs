//! Reading and watching the platform.

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
    /// No such value.
    Unchanged {
        /// Version that the platform has, 0 for none.
        version: Revision,
        /// Entity tag of the platform's value, which changes with its text.
        tag: String,
    },
}

/// What a read of the host list came to.
#[derive(Debug, Clone, PartialEq)]
pub enum ListRead {
    /// The list, with its entity tag.
    List(HostList, String),
    /// The list has the tag that was given.
    Unchanged,
}

/// One connection to the platform.
#[derive(Debug)]
pub struct PlatformClient {
    connection: Connection,
}

impl PlatformClient {
    /// Connects to the platform.
    pub async fn connect(address: SocketAddr) -> Result<Self, PlatformError> {
        Ok(Self { connection: Connection::connect(address, CONNECT_TIMEOUT).await? })
    }

    /// Waits up to `wait` for a value of `key` above version `after`.
    pub async fn watch(
        &mut self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, PlatformError> {
        let path = format!("{CONFIG_PATH}{key}?after={after}&wait_ms={}", wait.as_millis());
        let reply = self.get(&path, "", wait).await?;
        match reply.status() {
            StatusCode::OK => decode(reply.body()).map(Watched::Value),
            StatusCode::NOT_MODIFIED => {
                let tag = tag_of(&reply);
                let version = version_of(&tag);
                Ok(Watched::Unchanged { version, tag })
            }
            StatusCode::NOT_FOUND => Ok(Watched::Unchanged { version: 0, tag: String::new() }),
            other => Err(PlatformError::Status(other)),
        }
    }

    /// Reads the host list unless its entity tag is still `tag`.
    pub async fn hosts(&mut self, tag: &str) -> Result<ListRead, PlatformError> {
        let reply = self.get(HOSTS_PATH, tag, Duration::ZERO).await?;
        match reply.status() {
            StatusCode::OK => Ok(ListRead::List(decode(reply.body())?, tag_of(&reply))),
            StatusCode::NOT_MODIFIED => Ok(ListRead::Unchanged),
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

fn tag_of(reply: &Response<Bytes>) -> String {
    let tag = reply.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
    tag.unwrap_or_default().to_owned()
}

/// Returns the version at the start of an entity tag such as `"412.9f3a"`, or 0 without one.
fn version_of(tag: &str) -> Revision {
    let version = tag.trim_matches('"').split('.').next();
    version.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Unreadable(e.to_string()))
}
