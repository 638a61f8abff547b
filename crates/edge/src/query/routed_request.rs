//! A caller's request together with what is fixed about it when it arrives.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Instant;

use galenaloft_adapter::caller::CallerRequest;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::quarantine::Fingerprint;
use galenaloft_policy::quarantine::QuarantineStatus;
use galenaloft_policy::quarantine::fingerprint;
use galenaloft_policy::route::Configuration;
use galenaloft_policy::route::Route;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_policy::routing::SharingHosts;
use galenaloft_runtime::sync::lock;

use crate::host::Host;

/// A request with its route, under the configuration that was current when it arrived.
#[derive(Debug)]
pub struct RoutedRequest {
    /// The request as the caller sent it.
    pub inbound: CallerRequest,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Configuration that the route belongs to.
    pub config: Arc<Configuration>,
    /// Time at which the request arrived.
    pub arrived_at: Instant,
    /// Latest time for an answer: the caller's deadline, bounded by the timeout of the route.
    pub deadline: Instant,
    /// Latest time at which the parts have to be here for an answer that meets the objective.
    pub objective: Instant,
    /// Whether a searcher crashed while it ran the request. Such a request is sent to one searcher
    /// at a time.
    pub crash_suspect: bool,
    /// Searchers of the index that is queried, named by the least of its shards. `None` for a
    /// request to one service.
    pub index: Option<ServiceId>,
    /// Fingerprint, computed when it is first needed.
    fingerprint: OnceLock<Fingerprint>,
}

impl RoutedRequest {
    /// Creates a request that arrived at `arrived_at` and that is not suspected of causing crashes.
    pub fn new(
        inbound: CallerRequest,
        route: Arc<Route>,
        config: Arc<Configuration>,
        arrived_at: Instant,
    ) -> Self {
        let timeout = inbound.patience.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived_at + timeout;
        let objective = arrived_at + route.target_latency;
        Self {
            inbound,
            route,
            config,
            arrived_at,
            deadline,
            objective,
            crash_suspect: false,
            index: None,
            fingerprint: OnceLock::new(),
        }
    }

    /// Returns the fingerprint by which the request is recognized when it is sent again.
    pub fn fingerprint(&self) -> Fingerprint {
        let inbound = &self.inbound;
        let compute = || {
            let path = inbound.uri.to_string();
            fingerprint(inbound.method.as_str(), &inbound.host, &path, &inbound.body)
        };
        *self.fingerprint.get_or_init(compute)
    }

    /// Returns how to treat the request, given the searchers that crashed while they ran it.
    pub fn quarantine_status(&self, host: &Host, now: Instant) -> QuarantineStatus {
        let quarantine = lock(&host.quarantine);
        match quarantine.is_empty() {
            true => QuarantineStatus::Clear,
            false => quarantine.status(self.fingerprint(), now),
        }
    }

    /// Records that the request would be sent to each of these services if their searchers had no
    /// limits.
    pub fn record_demand<'a>(
        &self,
        host: &Host,
        services: impl IntoIterator<Item = &'a ServiceId>,
        now: Instant,
    ) {
        if !host.fleet.has_limits() {
            return;
        }
        let prior = host.latency_estimate(&self.route).median();
        for service in services {
            host.fleet.service(service).record_demand(&self.route, prior, now);
        }
    }

    /// Returns this host's share of the connections to each searcher of the service.
    pub fn connection_share(&self, service: &str, sharing_hosts: SharingHosts) -> ConnectionShare {
        let spec = self.config.services.get(service);
        // Without a configured limit, each host may use one connection.
        let max_connections = spec.map_or(sharing_hosts.all, |spec| spec.max_connections as usize);
        ConnectionShare::new(max_connections, sharing_hosts)
    }
}
