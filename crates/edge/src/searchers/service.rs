//! One service and the choice of one of its searchers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::route::Route;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_policy::routing::ExtraRequestBudget;
use galenaloft_policy::routing::max_outstanding;
use galenaloft_runtime::sync::lock;

use crate::searchers::Searcher;
use crate::searchers::waiting::Waiting;

/// One service: its searchers, and this host's budget of extra requests to it.
#[derive(Debug, Default)]
pub struct Service {
    pub(super) searchers: Mutex<Vec<Arc<Searcher>>>,
    /// Budget of hedges and retries, the requests beyond the first attempt.
    pub budget: Mutex<ExtraRequestBudget>,
    /// Requests that wait until some searcher has room for them.
    pub waiting: Waiting,
}

/// Zones whose searchers can be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneScope {
    /// All zones.
    All,
    /// Only this host's zone, since it is cut off from the others.
    OwnZone,
}

/// Restricts which searchers of a service may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidates<'a> {
    /// Searchers that may be asked; empty for all that are listed.
    pub allowed: &'a [SearcherId],
    /// Searchers that were asked already.
    pub tried: &'a [SearcherId],
    /// Zones whose searchers can be asked.
    pub zone_scope: ZoneScope,
}

impl Candidates<'_> {
    fn contains(&self, searcher: &Searcher) -> bool {
        let id = &searcher.entry.id;
        let allowed = self.allowed.is_empty() || self.allowed.contains(id);
        let in_scope = self.zone_scope == ZoneScope::All || searcher.local;
        allowed && in_scope && !self.tried.contains(id)
    }
}

/// Bound on the requests that this host has outstanding at a searcher.
#[derive(Debug, Clone, Copy)]
pub enum OutstandingBound {
    /// Only the connections bound them.
    None,
    /// The aggregators divide what each searcher works on at a time.
    Shared {
        /// Number of aggregators in the zone of this host.
        aggregators_in_zone: usize,
    },
}

impl OutstandingBound {
    fn allows(self, searcher: &Searcher) -> bool {
        let Self::Shared { aggregators_in_zone } = self else {
            return true;
        };
        let max = max_outstanding(searcher.entry.slots, aggregators_in_zone, searcher.local);
        lock(&searcher.health).outstanding() < max
    }
}

/// Result of choosing a searcher.
#[derive(Debug, Clone)]
pub enum Choice {
    /// The searcher with the least expected cost.
    Searcher(Arc<Searcher>),
    /// There are usable candidates, but this host has used up its connections to each of them.
    AllAtLimit,
    /// There are usable candidates, but none of them takes requests from this host before this time.
    Closed(Instant),
    /// There is no usable candidate.
    NoSearcher,
}

impl Service {
    /// Returns the searchers of the service.
    pub fn searchers(&self) -> Vec<Arc<Searcher>> {
        lock(&self.searchers).clone()
    }

    /// Returns when some usable searcher takes requests from this host again, or `None` if one does
    /// now or there is no usable one.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        let searchers = lock(&self.searchers);
        let mut earliest: Option<Instant> = None;
        for searcher in searchers.iter().filter(|searcher| searcher.is_usable()) {
            let at = searcher.opens_at(now)?;
            earliest = Some(earliest.map_or(at, |known| known.min(at)));
        }
        earliest
    }

    /// Returns the lowest expected latency of a usable searcher that takes requests from this host
    /// now, in seconds, or `None` if there is no such searcher. `prior` is the expected latency of
    /// searchers without observations.
    pub fn best_expected_latency(&self, route: &Route, prior: f64, now: Instant) -> Option<f64> {
        let searchers = lock(&self.searchers);
        let usable = searchers.iter().filter(|s| s.is_usable() && s.opens_at(now).is_none());
        usable.map(|searcher| searcher.expected_latency(route, prior, now)).min_by(f64::total_cmp)
    }

    /// Returns the availability zone of each searcher that is usable and has not failed since its
    /// last answer.
    pub fn healthy_zones(&self) -> Vec<ZoneId> {
        let searchers = lock(&self.searchers);
        let healthy = searchers.iter().filter(|s| s.is_usable() && !s.is_suspect());
        healthy.map(|searcher| searcher.entry.zone.clone()).collect()
    }

    /// Returns whether some searcher is neither leaving nor in an evacuated zone. Other hosts may reach
    /// one that this host does not.
    pub fn has_permitted_searcher(&self) -> bool {
        lock(&self.searchers).iter().any(|searcher| searcher.is_permitted())
    }

    /// Returns whether some searcher in this host's zone is usable.
    pub fn has_local_searcher(&self) -> bool {
        lock(&self.searchers).iter().any(|searcher| searcher.local && searcher.is_usable())
    }

    /// Records that a request would be sent to the searcher with the least expected cost if it takes
    /// requests only up to a limit.
    pub fn record_demand(&self, route: &Route, prior: f64, now: Instant) {
        let searchers = lock(&self.searchers);
        if searchers.iter().all(|searcher| !lock(&searcher.gate).is_limited(now)) {
            return;
        }
        let usable = searchers.iter().filter(|searcher| searcher.is_usable());
        let costs = usable.map(|searcher| (searcher.cost(route, prior, now), searcher));
        let preferred = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, searcher)) = preferred {
            lock(&searcher.gate).record_demand(now);
        }
    }

    /// Chooses the candidate with the least expected cost among the usable searchers that take
    /// requests from this host and to which it may use a connection. `prior` is the expected latency, in seconds, without
    /// observations.
    pub fn choose(
        &self,
        route: &Route,
        prior: f64,
        candidates: Candidates<'_>,
        share: ConnectionShare,
        bound: OutstandingBound,
        now: Instant,
    ) -> Choice {
        let searchers = lock(&self.searchers);
        let mut best: Option<(f64, &Arc<Searcher>)> = None;
        let mut any_at_limit = false;
        let mut opens_at: Option<Instant> = None;
        for searcher in searchers.iter() {
            if !searcher.is_usable() || !candidates.contains(searcher) {
                continue;
            }
            let has_room =
                searcher.has_free_connection(share.limit(searcher.local)) && bound.allows(searcher);
            if !has_room {
                any_at_limit = true;
                continue;
            }
            if let Some(at) = searcher.opens_at(now) {
                opens_at = Some(opens_at.map_or(at, |earliest| earliest.min(at)));
                continue;
            }
            let cost = searcher.cost(route, prior, now);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, searcher));
            }
        }
        match (best, opens_at) {
            (Some((_, searcher)), _) => Choice::Searcher(searcher.clone()),
            (None, _) if any_at_limit => Choice::AllAtLimit,
            (None, Some(at)) => Choice::Closed(at),
            (None, None) => Choice::NoSearcher,
        }
    }
}
