//! Calls to other hosts, and the choice of an aggregator by the health observed in earlier calls.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::ids::Capacity;
use galenaloft_policy::ids::ConfigVersion;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::quarantine::SuspectedRequest;
use galenaloft_policy::route::Configuration;
use galenaloft_policy::route::Route;
use galenaloft_policy::routing::ReplicaView;
use galenaloft_policy::routing::SearcherHealth;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use tarpc::client::Config;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::peers::Aggregator;
use crate::peers::GroupQuery;
use crate::peers::GroupReply;
use crate::peers::GroupResult;
use crate::peers::StoreView;
use crate::peers::service::EdgePeerClient;

/// Longest time for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Deadline of calls in the RPC library: so far away that only the timeouts set here take effect.
const RPC_DEADLINE: Duration = Duration::from_secs(3_600);

/// A peer whose latency is more than this many times that of the fastest one gets fewer shards.
const SLOW_PEER_FACTOR: f64 = 2.0;

/// Queries that a peer is assumed to run at a time without queueing.
const PEER_SLOTS: u32 = 8;

/// Connections to peers, and the health observed in calls to them.
#[derive(Debug, Default)]
pub struct Relays {
    clients: Mutex<BTreeMap<SocketAddr, EdgePeerClient>>,
    health: Mutex<BTreeMap<HostId, SearcherHealth>>,
    /// When each peer last answered a query.
    last_answers: Mutex<BTreeMap<HostId, Instant>>,
}

/// Why an aggregator returned no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupFailure {
    /// The query was not sent to it; holds the reason.
    NotRun(&'static str),
    /// It may have sent the query to searchers; holds the reason.
    MayHaveRun(&'static str),
}

impl Relays {
    /// Returns for each aggregator the capacity to assume now: 0 if it failed a moment ago, less than
    /// its own if it takes much longer than the fastest one.
    pub fn usable_capacities(
        &self,
        aggregators: &[Aggregator],
        route: &Route,
        now: Instant,
    ) -> Vec<Capacity> {
        let health = lock(&self.health);
        let typical_latency = |host: &HostId| health.get(host)?.typical_latency(&route.name);
        let latencies =
            aggregators.iter().filter_map(|aggregator| typical_latency(&aggregator.host));
        let fastest = latencies.min_by(f64::total_cmp);
        let capacity = |aggregator: &Aggregator| {
            let observed = health.get(&aggregator.host);
            if observed.is_some_and(|health| health.is_avoided(now)) {
                return 0;
            }
            let slowness = match (observed, fastest) {
                (Some(health), Some(fastest)) if fastest > 0.0 => {
                    health.expected_latency(&peer_view(route, fastest), now) / fastest
                }
                _ => 1.0,
            };
            match slowness > SLOW_PEER_FACTOR {
                true => (f64::from(aggregator.capacity) / slowness).max(1.0) as Capacity,
                false => aggregator.capacity,
            }
        };
        aggregators.iter().map(capacity).collect()
    }

    /// Returns whether the peer has answered a query since `then`, or at any time if that is
    /// `None`.
    pub fn answered_since(&self, aggregator: &Aggregator, then: Option<Instant>) -> bool {
        let last_answer = lock(&self.last_answers).get(&aggregator.host).copied();
        last_answer.is_some_and(|answered| then.is_none_or(|then| answered >= then))
    }

    /// Has a peer run a query over a group of shards. Returns its merged answers or why there are
    /// none.
    pub async fn gather(
        &self,
        aggregator: &Aggregator,
        route: &Route,
        query: GroupQuery,
    ) -> Result<GroupReply, GroupFailure> {
        let started_at = now();
        let running = RunningCall::begin(self, &aggregator.host, started_at);
        let Ok(client) = self.client(aggregator.address).await else {
            lock(&self.health).entry(aggregator.host.clone()).or_default().record_failure(now());
            return Err(GroupFailure::NotRun("the peer cannot be connected to"));
        };
        let time_left = query.time_left.saturating_sub(now().saturating_duration_since(started_at));
        let reply = timeout(time_left, client.gather(long_deadline(), query)).await;
        drop(running);
        let ended_at = now();
        let mut health = lock(&self.health);
        let health = health.entry(aggregator.host.clone()).or_default();
        match reply {
            Ok(Ok(Some(reply))) => {
                let latency = ended_at.saturating_duration_since(started_at);
                lock(&self.last_answers).insert(aggregator.host.clone(), ended_at);
                // A refusal takes no time at the searchers, so it says nothing about latency.
                if let GroupResult::Merged(_) = reply.result {
                    health.record_answer(&route.name, latency, ended_at);
                }
                Ok(reply)
            }
            Ok(Ok(None)) => Err(GroupFailure::NotRun("the peer cannot handle the query")),
            Ok(Err(_)) => {
                health.record_failure(ended_at);
                lock(&self.clients).remove(&aggregator.address);
                Err(GroupFailure::MayHaveRun("the connection to the peer failed"))
            }
            Err(_) => {
                health.record_failure(ended_at);
                Err(GroupFailure::MayHaveRun("the peer did not answer in time"))
            }
        }
    }

    /// Records that a peer did not answer in time, so that other hosts are chosen for a while.
    pub fn record_overdue(&self, aggregator: &Aggregator, now: Instant) {
        lock(&self.health).entry(aggregator.host.clone()).or_default().record_failure(now);
    }

    /// Requests what a peer knows of the store. Returns `None` if it knows nothing or fails to
    /// answer within `limit`.
    pub async fn fetch_store_view(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Option<StoreView> {
        self.ask(address, limit, async |client| client.knowledge(long_deadline()).await).await?
    }

    /// Requests a peer's configuration if it is newer than `version`. Returns `None` if it is not, or
    /// if the peer fails to answer within `limit`.
    pub async fn fetch_newer_configuration(
        &self,
        address: SocketAddr,
        version: ConfigVersion,
        limit: Duration,
    ) -> Option<Configuration> {
        let call = async |client: EdgePeerClient| {
            client.newer_configuration(long_deadline(), version).await
        };
        self.ask(address, limit, call).await?
    }

    /// Requests the requests that a peer suspects of crashing searchers. Returns `None` if it fails to
    /// answer within `limit`.
    pub async fn fetch_suspected_requests(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Option<Vec<SuspectedRequest>> {
        self.ask(address, limit, async |client| client.suspected_requests(long_deadline()).await)
            .await
    }

    /// Calls a peer. Returns `None` if it fails to answer within `limit`; the next call to it opens a
    /// new connection.
    async fn ask<T>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl AsyncFnOnce(EdgePeerClient) -> Result<T, RpcError>,
    ) -> Option<T> {
        let request = async { call(self.client(address).await.ok()?).await.ok() };
        let reply = timeout(limit, request).await.ok().flatten();
        if reply.is_none() {
            lock(&self.clients).remove(&address);
        }
        reply
    }

    /// Returns the client for the peer at an address, connected first if there is none yet.
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

/// Counts a call in the peer's health as running until it ends or is dropped.
struct RunningCall<'a> {
    relays: &'a Relays,
    host: &'a HostId,
    started_at: Instant,
}

impl<'a> RunningCall<'a> {
    fn begin(relays: &'a Relays, host: &'a HostId, started_at: Instant) -> Self {
        lock(&relays.health).entry(host.clone()).or_default().record_sent(started_at);
        Self { relays, host, started_at }
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        if let Some(health) = lock(&self.relays.health).get_mut(self.host) {
            health.record_ended(self.started_at);
        }
    }
}

/// Describes a peer for the estimate of its cost. `prior` is the expected latency, in seconds, of a
/// peer without observations.
fn peer_view(route: &Route, prior: f64) -> ReplicaView<'_> {
    ReplicaView {
        route: &route.name,
        prior,
        objective: route.target_latency,
        local: true,
        slots: PEER_SLOTS,
    }
}

/// Returns a call context without an effective deadline.
fn long_deadline() -> Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + RPC_DEADLINE;
    cx
}

#[cfg(test)]
mod tests;
