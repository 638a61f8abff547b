//! The traits through which a host reaches other processes: peers, searchers and the platform.
//!
//! A deployed host uses TCP and HTTP; the tests implement the traits in memory.

mod tcp;

use std::net::SocketAddr;
use std::time::Duration;

use galenaloft_control_plane::ListRead;
use galenaloft_control_plane::PlatformError;
use galenaloft_control_plane::Watched;
use galenaloft_http::HttpError;
use galenaloft_peer::Connector;
use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::ids::AttemptId;
use galenaloft_policy::ids::Revision;
use galenaloft_searcher::RanReply;
pub use tcp::HttpPlatform;
pub use tcp::TcpNetwork;

/// Opens connections to searchers.
pub trait SearcherConnector: Send + Sync + 'static {
    /// A connection that carries one attempt at a time.
    type Conn: SearcherConn;

    /// Connects to the searcher at `address`.
    fn connect(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<Self::Conn, HttpError>> + Send;
}

/// One connection to a searcher.
pub trait SearcherConn: Send + 'static {
    /// Returns whether the connection can carry another attempt.
    fn is_open(&self) -> bool;

    /// Sends an attempt and waits for its reply.
    fn send(
        &mut self,
        req: &AttemptRequest,
    ) -> impl Future<Output = Result<RanReply, AttemptFailure>> + Send;

    /// Asks the searcher to drop an attempt that was sent on another connection.
    fn cancel(&mut self, attempt: AttemptId) -> impl Future<Output = Result<(), HttpError>> + Send;

    /// Asks the searcher whether it is draining.
    fn is_draining(&mut self) -> impl Future<Output = Result<bool, HttpError>> + Send;
}

/// Reads published values and the host list from the platform.
pub trait PlatformReader: Send + Sync + 'static {
    /// Waits up to `wait` for a version of `key` newer than `after`.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched, PlatformError>> + Send;

    /// Reads the host list, unless its entity tag still equals `tag`.
    fn hosts(&self, tag: &str) -> impl Future<Output = Result<ListRead, PlatformError>> + Send;
}

/// The types that a host uses to reach peers, searchers and the platform.
pub trait Network: Send + Sync + 'static {
    /// Opens connections to peers.
    type Peers: Connector;
    /// Opens connections to searchers.
    type Searchers: SearcherConnector;
    /// Reads from the platform.
    type Platform: PlatformReader;
}
