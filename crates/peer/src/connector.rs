//! Connecting to a peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client::Config;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::service::PeerClient;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens connections to peers.
pub trait Connector: Send + Sync + 'static {
    /// Connects to the peer at `address`.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<PeerClient>> + Send;
}

/// Opens TCP connections to peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    async fn connect(&self, address: SocketAddr) -> io::Result<PeerClient> {
        let connecting = TcpStream::connect(address);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await.map_err(io::Error::other)??;
        stream.set_nodelay(true)?;
        let transport = serde_transport::Transport::from((stream, Bincode::default()));
        Ok(PeerClient::new(Config::default(), transport).spawn())
    }
}
