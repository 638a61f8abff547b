//! What is fixed about a request when it arrives.

use std::sync::Arc;
use std::time::Instant;

use galenaloft_adapter::caller::CallerRequest;
use galenaloft_policy::route::Configuration;
use galenaloft_policy::route::Route;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_policy::routing::SharingHosts;

/// One request with its route under the configuration that it began with.
#[derive(Debug)]
pub struct Plan {
    /// The request.
    pub call: CallerRequest,
    /// Its route.
    pub route: Arc<Route>,
    /// The configuration that the route belongs to.
    pub config: Arc<Configuration>,
    /// When it arrived.
    pub arrived: Instant,
    /// Latest time for an answer.
    pub deadline: Instant,
    /// Whether searchers crashed while they ran it: it is sent to one at a time.
    pub suspected: bool,
}

impl Plan {
    /// Plans a request that arrived at `arrived`.
    pub fn new(
        call: CallerRequest,
        route: Arc<Route>,
        config: Arc<Configuration>,
        arrived: Instant,
    ) -> Self {
        let patience = call.patience.unwrap_or(route.timeout).min(route.timeout);
        Self { call, route, config, arrived, deadline: arrived + patience, suspected: false }
    }

    /// Returns what one host may use of the connections to a searcher of the service.
    pub fn connections(&self, service: &str, sharers: SharingHosts) -> ConnectionShare {
        let spec = self.config.services.get(service);
        let all = spec.map_or(sharers.all, |spec| spec.max_connections as usize);
        ConnectionShare::new(all, sharers)
    }
}
