//! Calls to other hosts.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::ids::Capacity;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::route::Route;
use galenaloft_policy::routing::ReplicaView;
use galenaloft_policy::routing::SearcherHealth;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use tarpc::client::Config;
use tarpc::context;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::peers::Aggregator;
use crate::peers::GroupQuery;
use crate::peers::GroupReply;
use crate::peers::StoreView;
use crate::peers::service::EdgePeerClient;

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The library's own deadline is set so far away that only the host's own limits count.
const LIBRARY_DEADLINE: Duration = Duration::from_secs(3_600);

/// How many times as long as the fastest one a peer may take before it gets fewer shards.
const USUAL_SPREAD: f64 = 2.0;

/// Queries that a peer is expected to run at a time without making them wait.
const PEER_SLOTS: u32 = 8;

/// Connections to peers and what was observed of them.
#[derive(Debug, Default)]
pub struct Relays {
    clients: Mutex<BTreeMap<SocketAddr, EdgePeerClient>>,
    health: Mutex<BTreeMap<HostId, SearcherHealth>>,
    /// When each peer last answered.
    answered: Mutex<BTreeMap<HostId, Instant>>,
}

/// A peer that was chosen for a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    host: HostId,
    address: SocketAddr,
}

impl Relay {
    /// Returns the name of the host.
    pub fn name(&self) -> &HostId {
        &self.host
    }
}

impl From<Aggregator> for Relay {
    fn from(gatherer: Aggregator) -> Self {
        Self { host: gatherer.host, address: gatherer.address }
    }
}

impl Relays {
    /// Returns what each gatherer can be expected to do now: nothing if it failed a moment ago, less
    /// than it has if it takes far longer than the fastest one.
    pub fn usable_capacities(
        &self,
        gatherers: &[Aggregator],
        route: &Route,
        now: Instant,
    ) -> Vec<Capacity> {
        let health = lock(&self.health);
        let typical = |host: &HostId| health.get(host)?.typical(&route.name);
        let latencies = gatherers.iter().filter_map(|gatherer| typical(&gatherer.host));
        let fastest = latencies.min_by(f64::total_cmp);
        let capacity = |gatherer: &Aggregator| {
            let observed = health.get(&gatherer.host);
            if observed.is_some_and(|health| health.is_avoided(now)) {
                return 0;
            }
            let slowness = match (observed, fastest) {
                (Some(health), Some(fastest)) if fastest > 0.0 => {
                    health.expected(&view(route, fastest), now) / fastest
                }
                _ => 1.0,
            };
            match slowness > USUAL_SPREAD {
                true => (f64::from(gatherer.capacity) / slowness).max(1.0) as Capacity,
                false => gatherer.capacity,
            }
        };
        gatherers.iter().map(capacity).collect()
    }

    /// Chooses the host that is expected to answer first, unless all failed just now.
    pub fn choose(
        &self,
        hosts: impl Iterator<Item = (HostId, SocketAddr)>,
        route: &Route,
        prior: f64,
        now: Instant,
    ) -> Option<Relay> {
        let health = lock(&self.health);
        let view = view(route, prior);
        let cost = |host: &HostId| match health.get(host) {
            Some(health) if health.is_avoided(now) => None,
            Some(health) => Some(health.cost(&view, now)),
            None => Some(prior),
        };
        let usable = hosts.filter_map(|found| cost(&found.0).map(|cost| (cost, found)));
        let (_, (host, address)) = usable.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(Relay { host, address })
    }

    /// Returns whether the peer has answered since `then`.
    pub fn answered_since(&self, relay: &Relay, then: Option<Instant>) -> bool {
        let answered = lock(&self.answered).get(&relay.host).copied();
        answered.is_some_and(|answered| then.is_none_or(|then| answered >= then))
    }

    /// Asks a peer for the parts of some shards.
    pub async fn gather(
        &self,
        relay: &Relay,
        route: &Route,
        query: GroupQuery,
    ) -> Result<GroupReply, &'static str> {
        let began = now();
        let running = Running::begin(self, &relay.host, began);
        let limit = query.time_left;
        let reply = timeout(limit, async {
            let client = self.client(relay.address).await.ok()?;
            client.gather(long_deadline(), query).await.ok()
        })
        .await;
        drop(running);
        let present = now();
        let mut health = lock(&self.health);
        let health = health.entry(relay.host.clone()).or_default();
        match reply {
            Ok(Some(Some(reply))) => {
                let latency = present.saturating_duration_since(began);
                lock(&self.answered).insert(relay.host.clone(), present);
                health.note_answer(&route.name, latency, present);
                Ok(reply)
            }
            Ok(Some(None)) => Err("too few shards of the peer answered"),
            Ok(None) => {
                health.note_failure(present);
                lock(&self.clients).remove(&relay.address);
                Err("the peer cannot be reached")
            }
            Err(_) => {
                health.note_failure(present);
                Err("the peer is silent")
            }
        }
    }

    /// Notes that a peer did not answer in time, so that others are asked for a while.
    pub fn note_overdue(&self, relay: &Relay, now: Instant) {
        lock(&self.health).entry(relay.host.clone()).or_default().note_failure(now);
    }

    /// Asks a peer for what it knows of the store.
    pub async fn fetch_store_view(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Option<StoreView> {
        let ask = async {
            let client = self.client(address).await.ok()?;
            client.knowledge(long_deadline()).await.ok()?
        };
        match timeout(limit, ask).await {
            Ok(knowledge) => knowledge,
            Err(_) => {
                lock(&self.clients).remove(&address);
                None
            }
        }
    }

    async fn client(&self, address: SocketAddr) -> io::Result<EdgePeerClient> {
        if let Some(client) = lock(&self.clients).get(&address) {
            return Ok(client.clone());
        }
        let connecting = TcpStream::connect(address);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await.map_err(io::Error::other)??;
        galenaloft_http::prepare(&stream)?;
        let transport = Transport::from((stream, Bincode::default()));
        let client = EdgePeerClient::new(Config::default(), transport).spawn();
        lock(&self.clients).insert(address, client.clone());
        Ok(client)
    }
}

/// Counts a call as running at a peer until it ends or is dropped.
struct Running<'a> {
    relays: &'a Relays,
    host: &'a HostId,
    began: Instant,
}

impl<'a> Running<'a> {
    fn begin(relays: &'a Relays, host: &'a HostId, began: Instant) -> Self {
        lock(&relays.health).entry(host.clone()).or_default().note_sent(began);
        Self { relays, host, began }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if let Some(health) = lock(&self.relays.health).get_mut(self.host) {
            health.note_ended(self.began);
        }
    }
}

/// Describes a peer as one that may be asked; `prior` is the latency of one of which nothing is known.
fn view(route: &Route, prior: f64) -> ReplicaView<'_> {
    ReplicaView {
        route: &route.name,
        prior,
        objective: route.target_latency,
        local: true,
        slots: PEER_SLOTS,
    }
}

fn long_deadline() -> Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + LIBRARY_DEADLINE;
    cx
}
