//! Connections to peers, opened on first use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::verdict::Verdict;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use tokio::time::timeout;

use crate::connector::Connector;
use crate::service::PeerClient;

/// Deadline passed to tarpc. It must never expire first, because [`PeerConnections::call`] enforces
/// the time limit of each call itself.
const TARPC_DEADLINE: Duration = Duration::from_secs(3600);

/// How long an unused connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Error of a call to a peer that returned no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerError {
    /// Whether the call may have run on the peer.
    pub verdict: Verdict,
}

/// At most one connection to each peer, by address.
#[derive(Debug)]
pub struct PeerConnections<C> {
    connector: C,
    connections: Mutex<BTreeMap<SocketAddr, CachedConnection>>,
}

/// One connection and when it was last used.
#[derive(Debug)]
struct CachedConnection {
    client: Arc<PeerClient>,
    last_used: Instant,
}

impl<C: Connector> PeerConnections<C> {
    /// Creates the table without opening a connection.
    pub fn new(connector: C) -> Self {
        Self { connector, connections: Mutex::new(BTreeMap::new()) }
    }

    /// Makes one call to a peer within a time limit.
    ///
    /// A call that fails on an open connection is not retried here, because only the caller knows
    /// whether it is idempotent. The connection is discarded.
    pub async fn call<R, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl FnOnce(Arc<PeerClient>, Context) -> F,
    ) -> Result<R, PeerError>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        let exchange = async {
            let client = self.client(address).await?;
            let result = call(client.clone(), tarpc_context()).await;
            result.map_err(|_| {
                self.discard(address, &client);
                PeerError { verdict: Verdict::MayHaveRun }
            })
        };
        let timed_out = |_| PeerError { verdict: Verdict::MayHaveRun };
        timeout(limit, exchange).await.map_err(timed_out)?
    }

    /// Closes connections that have been unused for [`IDLE_TIMEOUT`] and have no call in progress.
    ///
    /// Each host probes all its peers in turn, so without this a host of a large fleet would keep a
    /// connection to every other one.
    pub fn close_idle(&self, now: Instant) {
        self.lock().retain(|_, connection| {
            let idle = now.saturating_duration_since(connection.last_used);
            idle < IDLE_TIMEOUT || Arc::strong_count(&connection.client) > 1
        });
    }

    async fn client(&self, address: SocketAddr) -> Result<Arc<PeerClient>, PeerError> {
        let now = tokio::time::Instant::now().into_std();
        if let Some(connection) = self.lock().get_mut(&address) {
            connection.last_used = now;
            return Ok(connection.client.clone());
        }
        let connected = self.connector.connect(address).await;
        let client = connected.map_err(|_| PeerError { verdict: Verdict::NotRun })?;
        let client = Arc::new(client);
        let connection = CachedConnection { client, last_used: now };
        Ok(self.lock().entry(address).or_insert(connection).client.clone())
    }

    fn discard(&self, address: SocketAddr, broken: &Arc<PeerClient>) {
        let mut connections = self.lock();
        if connections
            .get(&address)
            .is_some_and(|connection| Arc::ptr_eq(&connection.client, broken))
        {
            connections.remove(&address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, CachedConnection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn tarpc_context() -> Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + TARPC_DEADLINE;
    cx
}
