//! Admission at one host, from its own outcomes and the shares that other hosts report.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::admission::by_cost::CapacityController;
use crate::admission::by_cost::Lane;
use crate::admission::by_cost::RouteShares;
use crate::admission::by_cost::shares::grown;
use crate::ids::HostId;
use crate::ids::Rank;
use crate::ids::RouteName;
use crate::ids::ServiceId;

/// Most groups of searchers, and most hosts with reports. The maps are cleared when they are full,
/// which bounds their memory.
const MAX_ENTRIES: usize = 256;

/// The shares that a host reported for one group of searchers.
#[derive(Debug)]
struct Report {
    shares: Vec<RouteShares>,
    reported_at: Instant,
}

/// Admission of the work that passes through one host.
///
/// Each group of searchers, which is the shards of an index or a service, has a controller of its
/// own: more work than one group can do says nothing about another. A group is named by a service,
/// for an index by the least one of its shards.
#[derive(Debug, Default)]
pub struct HostAdmission {
    controllers: BTreeMap<ServiceId, CapacityController>,
    reports: BTreeMap<HostId, BTreeMap<ServiceId, Report>>,
}

impl HostAdmission {
    /// Returns the controller of a group of searchers.
    pub fn controller(&mut self, searchers: &ServiceId, now: Instant) -> &mut CapacityController {
        if self.controllers.len() >= MAX_ENTRIES && !self.controllers.contains_key(searchers) {
            self.controllers.clear();
        }
        self.controllers.entry(searchers.clone()).or_insert_with(|| CapacityController::new(now))
    }

    /// Records the shares that a host reported; routes without one are all admitted.
    pub fn record_report(
        &mut self,
        host: &HostId,
        searchers: &ServiceId,
        shares: Vec<RouteShares>,
        now: Instant,
    ) {
        if shares.is_empty() {
            if let Some(reports) = self.reports.get_mut(host) {
                reports.remove(searchers);
            }
            return;
        }
        if self.reports.len() >= MAX_ENTRIES && !self.reports.contains_key(host) {
            self.reports.clear();
        }
        let reports = self.reports.entry(host.clone()).or_default();
        if reports.len() >= MAX_ENTRIES {
            reports.clear();
        }
        reports.insert(searchers.clone(), Report { shares, reported_at: now });
    }

    /// Returns an estimate of the share that a host admits now. Without a report it is 1.0.
    pub fn reported_share(
        &self,
        host: &HostId,
        searchers: &ServiceId,
        route: &RouteName,
        lane: Lane,
        now: Instant,
    ) -> f64 {
        let report = self.reports.get(host).and_then(|reports| reports.get(searchers));
        let Some(report) = report else {
            return 1.0;
        };
        let age = now.saturating_duration_since(report.reported_at);
        let shares = report.shares.iter().find(|shares| shares.route == *route);
        shares.map_or(1.0, |shares| grown(shares.share(lane), age))
    }

    /// Returns the admitted share of each class of work that this host sends to searchers, without
    /// the requests that are expected to be late.
    pub fn shares(&mut self, now: Instant) -> Vec<(ServiceId, Rank, RouteName, f64)> {
        let mut shares = Vec::new();
        for (searchers, controller) in &mut self.controllers {
            for (rank, route, share) in controller.shares(now) {
                shares.push((searchers.clone(), rank, route, share));
            }
        }
        shares
    }
}
