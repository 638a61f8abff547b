//! One version of the configuration.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ConfigVersion;
use crate::ids::Rank;
use crate::ids::RouteName;
use crate::ids::ServiceId;

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight relative to the other services of the route.
    pub weight: f64,
}

/// How the parts of a query over many shards become one answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gather {
    /// The services that each hold one shard.
    pub shards: Vec<ServiceId>,
    /// Most records of the answer.
    pub top_records: usize,
    /// Least share of the shards that a success covers, from 0.0 to 1.0.
    pub min_coverage: f64,
}

impl Gather {
    /// Returns the fewest parts that make a success.
    pub fn min_parts(&self) -> usize {
        let exact = self.min_coverage * self.shards.len() as f64;
        // Shares such as 0.9 have no exact binary form: 0.9 of 20 shards is 18, not 19.
        ((exact - 1e-9).ceil().max(1.0)) as usize
    }
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// To one service.
    Service(ServiceId),
    /// To one of several services, in proportion to their weights.
    Weighted(Vec<WeightedService>),
    /// To every shard of an index.
    Gather(Gather),
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// Host that its requests name.
    pub host: String,
    /// What the path of its requests begins with.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Urgency; 0 goes first.
    pub rank: Rank,
    /// Most searchers that one request is sent to, for each shard.
    pub max_attempts: u32,
    /// Where its requests go.
    pub target: Target,
}

/// What is configured of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Path that tells whether a searcher is healthy.
    pub health_path: String,
    /// Most connections that a searcher of the service accepts from all hosts together.
    pub max_connections: u32,
}

/// What a caller may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration, with routes in the order in which they match.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version.
    pub version: ConfigVersion,
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Creates a version from its routes.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, ServiceSpec>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        Self { version, routes: by_host, services, limits }
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
