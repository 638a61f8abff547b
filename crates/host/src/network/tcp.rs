//! Implements the network traits over TCP and HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use galenaloft_control_plane::ListRead;
use galenaloft_control_plane::PlatformClient;
use galenaloft_control_plane::PlatformError;
use galenaloft_control_plane::Watched;
use galenaloft_http::HttpError;
use galenaloft_peer::TcpConnector;
use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::ids::AttemptId;
use galenaloft_policy::ids::Revision;
use galenaloft_searcher::HttpLink;
use galenaloft_searcher::HttpSearcher;
use galenaloft_searcher::RanReply;

use crate::network::Network;
use crate::network::PlatformReader;
use crate::network::SearcherConn;
use crate::network::SearcherConnector;

/// TCP to peers, HTTP to searchers and to the platform.
#[derive(Debug)]
pub struct TcpNetwork;

impl Network for TcpNetwork {
    type Peers = TcpConnector;
    type Searchers = HttpLink;
    type Platform = HttpPlatform;
}

impl SearcherConnector for HttpLink {
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

/// Reads from the platform's HTTP service, over a new connection for each call.
#[derive(Debug, Clone, Copy)]
pub struct HttpPlatform {
    /// Address of the service.
    pub address: SocketAddr,
}

impl PlatformReader for HttpPlatform {
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
