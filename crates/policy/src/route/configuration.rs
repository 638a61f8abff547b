//! Model of the operator's configuration.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ConfigVersion;
use crate::ids::Rank;
use crate::ids::RequestRate;
use crate::ids::RouteName;
use crate::ids::ServiceId;

/// A service with its weight among the services of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Id of the service.
    pub service: ServiceId,
    /// Its weight relative to the other services of the route.
    pub weight: f64,
}

/// Scatter-gather settings of a route: the shards and how their parts are merged into one answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gather {
    /// Services that serve the shards, one service for each shard.
    pub shards: Vec<ServiceId>,
    /// Maximum number of records in the answer.
    pub top_records: usize,
    /// Coverage floor: the minimum share of the shards that a successful answer covers, from 0.0 to
    /// 1.0.
    pub min_coverage: f64,
}

impl Gather {
    /// Returns the minimum number of parts of a successful answer.
    pub fn min_parts(&self) -> usize {
        let exact = self.min_coverage * self.shards.len() as f64;
        // A coverage such as 0.9 has no exact binary form. Without the tolerance, rounding errors
        // could raise the floor of 0.9 of 20 shards from 18 to 19.
        ((exact - 1e-9).ceil().max(1.0)) as usize
    }
}

/// Target of the requests of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// One service.
    Service(ServiceId),
    /// One of several services, in proportion to their weights.
    Weighted(Vec<WeightedService>),
    /// Every shard of an index.
    Gather(Gather),
}

/// Rule that maps requests for a host and a path prefix to a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host name of the matching requests.
    pub host: String,
    /// Prefix of the path of the matching requests.
    pub prefix: String,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Maximum time in which a request is answered.
    pub timeout: Duration,
    /// Objective for the time to the answer. A later answer loses value.
    pub target_latency: Duration,
    /// Priority of the requests, of which 0 is the most urgent.
    pub rank: Rank,
    /// Maximum number of searchers to which one request is sent, for each shard.
    pub max_attempts: u32,
    /// Target of the requests.
    pub target: Target,
}

/// Warm-up of the searchers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmupSpec {
    /// Usual time after its start for which a searcher warms up. What a searcher states itself holds.
    pub duration: Duration,
    /// Requests a second that a searcher takes from all hosts together while it warms up.
    pub rate: RequestRate,
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Path of the health endpoint of its searchers.
    pub health_path: String,
    /// Maximum number of connections that each searcher accepts from all hosts together.
    pub max_connections: u32,
    /// Bound on requests while a searcher warms up; `None` if there is none.
    pub warmup: Option<WarmupSpec>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number.
    pub version: ConfigVersion,
    /// Routes by lower-case host name, those with the longest prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Creates a version of the configuration from its parts.
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

    /// Returns the route of `host` whose prefix is the longest one that matches `path`. Host names
    /// are compared without regard to case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
