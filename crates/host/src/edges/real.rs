//! The edges of a real process.

use std::net::SocketAddr;
use std::time::Duration;

use galenaloft_http::HttpError;
use galenaloft_peer::TcpConnector;
use galenaloft_platform::ListRead;
use galenaloft_platform::PlatformClient;
use galenaloft_platform::PlatformError;
use galenaloft_platform::Watched;
use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::ids::AttemptId;
use galenaloft_policy::ids::Revision;
use galenaloft_searcher::HttpLink;
use galenaloft_searcher::HttpSearcher;
use galenaloft_searcher::RanReply;

use crate::edges::Edges;
use crate::edges::PlatformLink;
use crate::edges::SearcherConn;
use crate::edges::SearcherLink;

/// TCP to peers, HTTP to searchers and to the platform.
#[derive(Debug)]
pub struct RealEdges;

impl Edges for RealEdges {
    type Peers = TcpConnector;
    type Searchers = HttpLink;
    type Platform = RealPlatform;
}

impl SearcherLink for HttpLink {
    type Conn = HttpSearcher;

    async fn connect(&self, address: SocketAddr) -> Result<HttpSearcher, HttpError> {
        HttpLink::connect(self, address).await
    }
}

impl SearcherConn for HttpSearcher {
    fn is_open(&self) -> bool {
        HttpSearcher::is_open(self)
    }

    async fn send(&mut self, req: &AttemptRequest) -> Result<RanReply, AttemptFailure> {
        HttpSearcher::send(self, req).await
    }

    async fn cancel(&mut self, attempt: AttemptId) -> Result<(), HttpError> {
        HttpSearcher::cancel(self, attempt).await
    }

    async fn is_draining(&mut self) -> Result<bool, HttpError> {
        HttpSearcher::is_draining(self).await
    }
}

/// The platform's service at one address.
#[derive(Debug, Clone, Copy)]
pub struct RealPlatform {
    /// Where the service listens.
    pub address: SocketAddr,
}

impl PlatformLink for RealPlatform {
    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, PlatformError> {
        PlatformClient::connect(self.address).await?.watch(key, after, wait).await
    }

    async fn hosts(&self, tag: &str) -> Result<ListRead, PlatformError> {
        PlatformClient::connect(self.address).await?.hosts(tag).await
    }
}
