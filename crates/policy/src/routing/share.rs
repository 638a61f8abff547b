//! How the hosts share the connections that a searcher accepts.

/// Part of a searcher's connections that the hosts of its own zone share out when all hosts together
/// cannot have one each. The rest serves hosts of other zones that need it for one request.
const OWN_ZONE_PART: f64 = 0.9;

/// Hosts that share a searcher's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharers {
    /// Hosts of all zones.
    pub all: usize,
    /// Hosts of one zone.
    pub in_zone: usize,
}

/// What one host may use of a searcher's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Connections to a searcher of the own zone.
    pub own_zone: usize,
    /// Connections to a searcher of another zone.
    pub other_zone: usize,
    /// Whether connections to other zones are kept for later requests.
    pub keeps_other_zone: bool,
}

impl ConnectionShare {
    /// Shares out `max_connections` of one searcher.
    pub fn new(max_connections: usize, sharers: Sharers) -> Self {
        let each = max_connections / sharers.all.max(1);
        if each >= 1 {
            return Self { own_zone: each, other_zone: each, keeps_other_zone: true };
        }
        let own = max_connections as f64 * OWN_ZONE_PART / sharers.in_zone.max(1) as f64;
        Self { own_zone: (own as usize).max(1), other_zone: 1, keeps_other_zone: false }
    }

    /// Returns how many connections the host may have to a searcher.
    pub fn limit(&self, own_zone: bool) -> usize {
        if own_zone { self.own_zone } else { self.other_zone }
    }

    /// Returns whether a connection to a searcher is kept for later requests.
    pub fn keeps(&self, own_zone: bool) -> bool {
        own_zone || self.keeps_other_zone
    }
}
