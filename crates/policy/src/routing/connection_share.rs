//! How the hosts share the connections that a searcher accepts.

/// Part of a searcher's connections that the gatherers of its own zone share out when all hosts
/// together cannot have one each.
const OWN_ZONE_PART: f64 = 0.6;

/// Part that the gatherers of other zones share out then. The rest serves hosts that need a
/// connection for one request.
const OTHER_ZONES_PART: f64 = 0.3;

/// Hosts that share a searcher's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingHosts {
    /// Hosts of all zones.
    pub all: usize,
    /// Hosts that gather wide queries for the others, of all zones.
    pub aggregators: usize,
    /// Those of the own zone.
    pub aggregators_in_zone: usize,
    /// Whether this host is one of them.
    pub is_aggregator: bool,
}

/// Who has connections to a searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Holders {
    /// Every host.
    All,
    /// Hosts that gather for the others, of which this is one.
    Gatherers,
    /// Hosts that gather for this one.
    Others,
}

/// What one host may use of a searcher's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    holders: Holders,
    /// Connections to a searcher of the own zone.
    own_zone: usize,
    /// Connections to a searcher of another zone.
    other_zone: usize,
}

impl ConnectionShare {
    /// Shares out `max_connections` of one searcher.
    pub fn new(max_connections: usize, sharers: SharingHosts) -> Self {
        let each = max_connections / sharers.all.max(1);
        if each >= 1 {
            return Self { holders: Holders::All, own_zone: each, other_zone: each };
        }
        if !sharers.is_aggregator {
            return Self { holders: Holders::Others, own_zone: 1, other_zone: 1 };
        }
        let part = |share: f64, hosts: usize| {
            let connections = max_connections as f64 * share / hosts.max(1) as f64;
            (connections as usize).max(1)
        };
        let outside = sharers.aggregators.saturating_sub(sharers.aggregators_in_zone);
        Self {
            holders: Holders::Gatherers,
            own_zone: part(OWN_ZONE_PART, sharers.aggregators_in_zone),
            other_zone: part(OTHER_ZONES_PART, outside),
        }
    }

    /// Returns how many connections the host may have to a searcher.
    pub fn limit(&self, own_zone: bool) -> usize {
        if own_zone { self.own_zone } else { self.other_zone }
    }

    /// Returns whether a connection to a searcher is kept for later requests.
    pub fn keeps_connections(&self) -> bool {
        self.holders != Holders::Others
    }

    /// Returns whether connections to a searcher are opened before they are needed.
    pub fn preconnects(&self, own_zone: bool) -> bool {
        match self.holders {
            Holders::All => true,
            Holders::Gatherers => own_zone,
            Holders::Others => false,
        }
    }

    /// Returns whether some hosts gather for the others.
    pub fn uses_aggregators(&self) -> bool {
        self.holders != Holders::All
    }
}
