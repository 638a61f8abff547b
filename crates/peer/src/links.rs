//! Connections to all peers, made when they are first used.

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

/// Deadline given to the transport, far beyond the time limit that each call has itself.
const TRANSPORT_DEADLINE: Duration = Duration::from_secs(3600);

/// How long an unused connection is kept.
const IDLE: Duration = Duration::from_secs(15);

/// A call to a peer that gave no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerError {
    /// Whether the peer may have received the call.
    pub verdict: Verdict,
}

/// Connections to peers by address.
#[derive(Debug)]
pub struct PeerLinks<C> {
    connector: C,
    clients: Mutex<BTreeMap<SocketAddr, Link>>,
}

/// One connection and when it was last used.
#[derive(Debug)]
struct Link {
    client: Arc<PeerClient>,
    used: Instant,
}

impl<C: Connector> PeerLinks<C> {
    /// Creates links without any connection.
    pub fn new(connector: C) -> Self {
        Self { connector, clients: Mutex::new(BTreeMap::new()) }
    }

    /// Makes one call to a peer within a time limit.
    ///
    /// A call that fails on an old connection is not made again here: only the caller knows
    /// whether it is idempotent.
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
            let result = call(client.clone(), far_context()).await;
            result.map_err(|_| {
                self.forget(address, &client);
                PeerError { verdict: Verdict::MayHaveRun }
            })
        };
        let lost = |_| PeerError { verdict: Verdict::MayHaveRun };
        timeout(limit, exchange).await.map_err(lost)?
    }

    /// Closes the connections that were not used for a while: in a large fleet each host probes
    /// every other one in turn, and must not keep a connection to all of them.
    pub fn close_idle(&self, now: Instant) {
        self.lock().retain(|_, link| {
            let idle = now.saturating_duration_since(link.used);
            idle < IDLE || Arc::strong_count(&link.client) > 1
        });
    }

    async fn client(&self, address: SocketAddr) -> Result<Arc<PeerClient>, PeerError> {
        let now = tokio::time::Instant::now().into_std();
        if let Some(link) = self.lock().get_mut(&address) {
            link.used = now;
            return Ok(link.client.clone());
        }
        let connected = self.connector.connect(address).await;
        let client = connected.map_err(|_| PeerError { verdict: Verdict::NotRun })?;
        let client = Arc::new(client);
        let link = Link { client, used: now };
        Ok(self.lock().entry(address).or_insert(link).client.clone())
    }

    fn forget(&self, address: SocketAddr, broken: &Arc<PeerClient>) {
        let mut clients = self.lock();
        if clients.get(&address).is_some_and(|link| Arc::ptr_eq(&link.client, broken)) {
            clients.remove(&address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Link>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn far_context() -> Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + TRANSPORT_DEADLINE;
    cx
}
