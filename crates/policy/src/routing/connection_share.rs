//! Division of the connections that a searcher accepts among the hosts.

/// Share of a searcher's connections for the aggregators of its own zone, if there are too few
/// connections for every host to have one.
const OWN_ZONE_SHARE: f64 = 0.6;

/// Share for the aggregators of all other zones in that case. The rest is left for hosts that need
/// a connection for a single request.
const OTHER_ZONES_SHARE: f64 = 0.3;

/// Numbers of hosts that share a searcher's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingHosts {
    /// Number of hosts in all zones.
    pub all: usize,
    /// Number of aggregators in all zones. They query searchers on behalf of other hosts.
    pub aggregators: usize,
    /// Number of aggregators in the zone of this host.
    pub aggregators_in_zone: usize,
    /// Whether this host is an aggregator.
    pub is_aggregator: bool,
}

/// Hosts that keep connections to a searcher, seen from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Holders {
    /// Every host keeps connections.
    All,
    /// Only aggregators keep connections, and this host is one.
    Aggregators,
    /// Only aggregators keep connections, and this host is none.
    OtherHosts,
}

/// Share of one host in the connections of each searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    holders: Holders,
    /// Maximum number of connections to a searcher in the own zone.
    own_zone: usize,
    /// Maximum number of connections to a searcher in another zone.
    other_zone: usize,
}

impl ConnectionShare {
    /// Divides the `max_connections` of a searcher among the hosts. If there is at least one for
    /// each host, all hosts get an equal share. Otherwise the aggregators of the own zone and those
    /// of the other zones divide fixed parts, and any other host may open one connection for one
    /// request.
    pub fn new(max_connections: usize, hosts: SharingHosts) -> Self {
        let equal_share = max_connections / hosts.all.max(1);
        if equal_share >= 1 {
            return Self { holders: Holders::All, own_zone: equal_share, other_zone: equal_share };
        }
        if !hosts.is_aggregator {
            return Self { holders: Holders::OtherHosts, own_zone: 1, other_zone: 1 };
        }
        let per_host = |share: f64, host_count: usize| {
            let connections = max_connections as f64 * share / host_count.max(1) as f64;
            (connections as usize).max(1)
        };
        let aggregators_outside = hosts.aggregators.saturating_sub(hosts.aggregators_in_zone);
        Self {
            holders: Holders::Aggregators,
            own_zone: per_host(OWN_ZONE_SHARE, hosts.aggregators_in_zone),
            other_zone: per_host(OTHER_ZONES_SHARE, aggregators_outside),
        }
    }

    /// Returns the maximum number of connections to a searcher in the own or in another zone.
    pub fn limit(&self, own_zone: bool) -> usize {
        if own_zone { self.own_zone } else { self.other_zone }
    }

    /// Returns whether this host keeps connections open for later requests.
    pub fn keeps_connections(&self) -> bool {
        self.holders != Holders::OtherHosts
    }

    /// Returns whether this host opens connections before a request needs them.
    pub fn preconnects(&self, own_zone: bool) -> bool {
        match self.holders {
            Holders::All => true,
            Holders::Aggregators => own_zone,
            Holders::OtherHosts => false,
        }
    }

    /// Returns whether only aggregators keep connections and query searchers for other hosts.
    pub fn uses_aggregators(&self) -> bool {
        self.holders != Holders::All
    }
}
