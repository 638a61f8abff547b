//! Distribution of a route's requests over weighted services.

use std::collections::BTreeMap;

use crate::ids::ServiceId;
use crate::route::WeightedService;

/// Smooth weighted round robin: after any number of requests each service is within one request
/// of its share.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    /// How far each service is ahead of its share.
    credit: BTreeMap<ServiceId, f64>,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request, or `None` without a positive weight.
    pub fn next(&mut self, parts: &[WeightedService]) -> Option<ServiceId> {
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        self.credit.retain(|service, _| parts.iter().any(|part| part.service == *service));
        for part in parts {
            *self.credit.entry(part.service.clone()).or_default() += part.weight / total;
        }
        let usable = parts.iter().filter(|part| part.weight > 0.0);
        let chosen =
            usable.max_by(|a, b| self.credit[&a.service].total_cmp(&self.credit[&b.service]))?;
        *self.credit.get_mut(&chosen.service)? -= 1.0;
        Some(chosen.service.clone())
    }
}
