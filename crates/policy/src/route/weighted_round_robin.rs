//! Distribution of a route's requests over weighted services.

use std::collections::BTreeMap;

use crate::ids::ServiceId;
use crate::route::WeightedService;

/// Smooth weighted round robin. While the weights stay the same, the number of requests to each
/// service differs from its share by less than the number of services.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    /// Number of requests by which each service is behind its share; negative if it is ahead.
    credit: BTreeMap<ServiceId, f64>,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request, or `None` if no weight is positive.
    pub fn next(&mut self, services: &[WeightedService]) -> Option<ServiceId> {
        let total: f64 = services.iter().map(|weighted| weighted.weight).sum();
        if total <= 0.0 {
            return None;
        }
        self.credit
            .retain(|service, _| services.iter().any(|weighted| weighted.service == *service));
        for weighted in services {
            *self.credit.entry(weighted.service.clone()).or_default() += weighted.weight / total;
        }
        let candidates = services.iter().filter(|weighted| weighted.weight > 0.0);
        let chosen = candidates
            .max_by(|a, b| self.credit[&a.service].total_cmp(&self.credit[&b.service]))?;
        *self.credit.get_mut(&chosen.service)? -= 1.0;
        Some(chosen.service.clone())
    }
}
