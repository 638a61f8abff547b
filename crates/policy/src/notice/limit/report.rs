//! What hosts tell each other about the limit of a searcher.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::directory::SearcherRun;
use crate::ids::RequestRate;
use crate::ids::ZoneId;

/// Shortest time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(600);

/// Time between two reports for each host that gets them, so that what a host sends and receives does
/// not grow with the fleet.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(40);

/// Returns the time between two reports of a host if `hosts` hosts report their demand to each other.
pub fn report_interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    (INTERVAL_PER_HOST * hosts).max(MIN_INTERVAL)
}

/// Limit of a searcher and demand for it, as known to one host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LimitReport {
    /// The searcher that stated the limit.
    pub run: SearcherRun,
    /// The limit that it stated last; `None` if it stated that it has none any more.
    pub limit: Option<RequestRate>,
    /// Time since it stated that.
    pub age: Duration,
    /// Requests a second that the reporting host would like to send.
    pub demand: RequestRate,
    /// Sum of the demand of the reporting host's zone, in a report to another zone of a large fleet.
    pub zone_demand: Option<(ZoneId, RequestRate)>,
    /// Such sums that the reporting host got from other zones, in a report to its own zone.
    pub passed_on: Vec<(ZoneId, RequestRate)>,
}
