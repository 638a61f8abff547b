//! Links between hosts: the real calls over channels that can be cut, held and broken.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use galenaloft_host::serve_peer;
use galenaloft_peer::Connector;
use galenaloft_peer::PeerClient;
use galenaloft_peer::tarpc::client::Config;
use galenaloft_peer::tarpc::transport::channel::unbounded;
use tokio::time::sleep;

use crate::world::Place;
use crate::world::ProcessId;
use crate::world::World;
use crate::world::host_at;

/// Longest wait for a connection over a cut link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub struct FakeConnector {
    pub world: World,
    pub process: ProcessId,
    pub host: usize,
}

impl Connector for FakeConnector {
    async fn connect(&self, address: SocketAddr) -> io::Result<PeerClient> {
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let to = host_at(address).ok_or_else(refused)?;
        let (from, to) = (Place::Host(self.host), Place::Host(to));
        sleep(crate::world::DELAY).await;
        if !self.world.lock().is_connected(from, to) {
            sleep(CONNECT_TIMEOUT).await;
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        self.connect_to(from, to).ok_or_else(refused)
    }
}

impl FakeConnector {
    fn connect_to(&self, from: Place, to: Place) -> Option<PeerClient> {
        let Place::Host(index) = to else { return None };
        let (peer, node) = {
            let inner = self.world.lock();
            let process = inner.processes.get(&index)?;
            (process.id, process.node.clone())
        };
        let (near_client, mut near) = unbounded();
        let (far_server, mut far) = unbounded();
        tokio::spawn(serve_peer(far_server, node));
        let (world, own) = (self.world.clone(), self.process);
        tokio::spawn(async move {
            let (mut near_tx, mut near_rx) = (&mut near).split();
            let (mut far_tx, mut far_rx) = (&mut far).split();
            let requests = async {
                while let Some(Ok(message)) = near_rx.next().await {
                    if !world.carry(own, from, to).await || far_tx.send(message).await.is_err() {
                        return;
                    }
                }
            };
            let replies = async {
                while let Some(Ok(message)) = far_rx.next().await {
                    if !world.carry(peer, to, from).await || near_tx.send(message).await.is_err() {
                        return;
                    }
                }
            };
            let broken = async {
                loop {
                    sleep(crate::world::HOLD).await;
                    let inner = world.lock();
                    if inner.dead.contains(&own) || inner.dead.contains(&peer) {
                        return;
                    }
                }
            };
            tokio::select! {
                biased;
                () = requests => {}
                () = replies => {}
                () = broken => {}
            }
        });
        Some(PeerClient::new(Config::default(), near_client).spawn())
    }
}
