//! What a host meets outside of its process, with a real and a fake implementation each.

mod real;

use std::net::SocketAddr;
use std::time::Duration;

use galenaloft_http::HttpError;
use galenaloft_peer::Connector;
use galenaloft_platform::ListRead;
use galenaloft_platform::PlatformError;
use galenaloft_platform::Watched;
use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::ids::AttemptId;
use galenaloft_policy::ids::Revision;
use galenaloft_searcher::RanReply;
pub use real::RealEdges;
pub use real::RealPlatform;

/// Makes connections to searchers.
pub trait SearcherLink: Send + Sync + 'static {
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
    /// Returns whether the connection can carry a further attempt.
    fn is_open(&self) -> bool;

    /// Sends an attempt and waits for its reply.
    fn send(
        &mut self,
        req: &AttemptRequest,
    ) -> impl Future<Output = Result<RanReply, AttemptFailure>> + Send;

    /// Asks the searcher to drop an attempt that was sent on another connection.
    fn cancel(&mut self, attempt: AttemptId) -> impl Future<Output = Result<(), HttpError>> + Send;

    /// Asks whether the searcher is leaving.
    fn is_draining(&mut self) -> impl Future<Output = Result<bool, HttpError>> + Send;
}

/// Reads what the platform publishes.
pub trait PlatformLink: Send + Sync + 'static {
    /// Waits up to `wait` for a value of `key` above version `after`.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched, PlatformError>> + Send;

    /// Reads the host list unless its entity tag is still `tag`.
    fn hosts(&self, tag: &str) -> impl Future<Output = Result<ListRead, PlatformError>> + Send;
}

/// All edges of one host.
pub trait Edges: Send + Sync + 'static {
    /// Connections to peers.
    type Peers: Connector;
    /// Connections to searchers.
    type Searchers: SearcherLink;
    /// The platform.
    type Platform: PlatformLink;
}
