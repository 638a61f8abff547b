//! The limit of one searcher, and what this host may send of it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::directory::SearcherRun;
use crate::ids::HostId;
use crate::ids::RequestRate;
use crate::ids::SearcherId;
use crate::ids::ZoneId;
use crate::notice::limit::LimitPart;
use crate::notice::limit::LimitReport;
use crate::notice::limit::LimitSharers;
use crate::notice::limit::demand::Demand;
use crate::notice::limit::division::Demands;
use crate::notice::limit::division::divide_limit;
use crate::notice::limit::division::divide_warmup_limit;
use crate::routing::rank_hosts;

/// Number of report intervals after which the demand of a silent host is unknown.
const REPORT_VALIDITY: u32 = 5;

/// How long the end of a limit is reported to other hosts.
const END_REPORT_TIME: Duration = Duration::from_secs(5);

/// Age of the last statement from which the searcher's health is checked to hear whether the limit
/// still holds. Without a part of the limit, no request would show that.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(2);

/// Number of report intervals by which each host checks later than the one before it, so that it has
/// heard by then what that one found.
const CHECK_DELAY_INTERVALS: u32 = 2;

/// Hosts of one zone that come before those of the next one in the order of health checks.
const CHECKERS_PER_ZONE: u32 = 2;

/// Longest wait for a part of the limit that is stated to callers.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Demand that a host or zone reported.
#[derive(Debug, Clone, Copy)]
struct Reported {
    demand: RequestRate,
    at: Instant,
}

/// Why a searcher has a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LimitCause {
    /// It has stated the limit.
    Stated,
    /// It warms up, and its service has a limit for that.
    Warmup,
}

/// The limit that a searcher stated last, the demand for it, and this host's part.
///
/// The part is spent like tokens: they accrue at its rate up to its burst, and each request takes one.
#[derive(Debug)]
pub struct SharedLimit {
    cause: LimitCause,
    /// The limit, or `None` if the searcher stated that it has none any more.
    limit: Option<RequestRate>,
    /// When the searcher stated that, to this host or another one.
    stated_at: Instant,
    demand: Demand,
    /// Demand of this host as reported last, with which all hosts divide the limit.
    reported_demand: RequestRate,
    /// Sum of the demand of the hosts that report to each other.
    zone_demand: RequestRate,
    hosts: BTreeMap<HostId, Reported>,
    /// Sums that hosts of other zones reported to this one.
    zones: BTreeMap<ZoneId, Reported>,
    /// Sums of other zones that hosts of this zone passed on.
    passed_on: BTreeMap<ZoneId, Reported>,
    part: LimitPart,
    /// Part of the last division if it may have been larger than what this host took of it.
    last_division: Option<LimitPart>,
    tokens: f64,
    refilled_at: Instant,
    /// When this host last checked the searcher's health to hear of the limit.
    checked_at: Option<Instant>,
    /// Number of hosts that check the searcher's health before this one.
    check_position: u32,
    report_interval: Duration,
}

impl SharedLimit {
    /// Creates a limit that a searcher stated at `stated_at`. This host may send one request until the
    /// limit is divided.
    pub fn new(limit: RequestRate, stated_at: Instant, now: Instant) -> Self {
        Self::with_cause(LimitCause::Stated, limit, stated_at, now)
    }

    /// Creates the limit of a searcher that warms up, which it stated at `stated_at`. This host may send
    /// nothing until the limit is divided: one request of each host would exceed it in a large fleet.
    pub fn for_warmup(limit: RequestRate, stated_at: Instant, now: Instant) -> Self {
        Self::with_cause(LimitCause::Warmup, limit, stated_at, now)
    }

    fn with_cause(cause: LimitCause, limit: RequestRate, stated_at: Instant, now: Instant) -> Self {
        let tokens = match cause {
            LimitCause::Stated => limit.min(1.0),
            LimitCause::Warmup => 0.0,
        };
        Self {
            cause,
            limit: Some(limit),
            stated_at,
            demand: Demand::default(),
            reported_demand: 0.0,
            zone_demand: 0.0,
            hosts: BTreeMap::new(),
            zones: BTreeMap::new(),
            passed_on: BTreeMap::new(),
            part: LimitPart { rate: 0.0, burst: 1.0 },
            last_division: None,
            tokens,
            refilled_at: now,
            checked_at: None,
            check_position: 0,
            report_interval: Duration::ZERO,
        }
    }

    /// Returns the limit, or `None` if it has ended.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Returns what this host may send.
    pub fn part(&self) -> LimitPart {
        self.part
    }

    /// Takes over a statement that the searcher made at `stated_at`, unless a later one is known.
    /// Returns whether the limit began or ended.
    pub fn update(&mut self, limit: Option<RequestRate>, stated_at: Instant, now: Instant) -> bool {
        if stated_at < self.stated_at || (limit.is_none() && self.limit.is_none()) {
            return false;
        }
        self.stated_at = stated_at;
        if limit == self.limit {
            return false;
        }
        let began_or_ended = self.limit.is_some() != limit.is_some();
        match (self.limit, limit) {
            // The part is kept in proportion until the next division.
            (Some(old), Some(new)) if old > 0.0 => {
                self.refill(now);
                self.part.rate *= new / old;
            }
            (None, Some(new)) => *self = Self::with_cause(self.cause, new, stated_at, now),
            (_, _) => {}
        }
        self.limit = limit;
        began_or_ended
    }

    /// Records that a request would be sent to the searcher if it had no limit.
    pub fn record_demand(&mut self, now: Instant) {
        self.demand.record(now);
    }

    /// Records what another host reported: its demand, and the sums of zones. A sum from its own zone
    /// counts more than one that a host of this zone passes on.
    pub fn record_report(&mut self, host: &HostId, report: &LimitReport, now: Instant) {
        self.hosts.insert(host.clone(), Reported { demand: report.demand, at: now });
        for (zone, demand) in &report.passed_on {
            self.passed_on.insert(zone.clone(), Reported { demand: *demand, at: now });
        }
        if let Some((zone, demand)) = &report.zone_demand {
            self.zones.insert(zone.clone(), Reported { demand: *demand, at: now });
        }
    }

    /// Returns when this host may send the next request, or `None` if it may send one now.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        self.limit?;
        let missing = 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return None;
        }
        let wait = Duration::try_from_secs_f64(missing / self.part.rate).unwrap_or(MAX_WAIT);
        Some(now + wait.min(MAX_WAIT))
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Returns whether the searcher's health should be checked now to hear whether the limit still
    /// holds, and counts that as a check. Hosts that come later in the order wait longer, so that
    /// usually only one of them checks.
    pub fn begin_check(&mut self, now: Instant) -> bool {
        let delay = self.report_interval * CHECK_DELAY_INTERVALS;
        let max_age = MAX_STATEMENT_AGE + delay.saturating_mul(self.check_position);
        let known_at = self.checked_at.map_or(self.stated_at, |at| at.max(self.stated_at));
        let is_due = self.limit.is_some() && now.saturating_duration_since(known_at) >= max_age;
        if is_due {
            self.checked_at = Some(now);
        }
        is_due
    }

    /// Returns whether nothing has to be kept or reported any more.
    pub fn is_over(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.stated_at);
        self.limit.is_none() && age >= END_REPORT_TIME
    }

    /// Divides the limit again after the demand of this host is taken for the next report. Reports
    /// follow each other by `report_interval`.
    pub fn divide(
        &mut self,
        searcher: &SearcherId,
        sharers: &LimitSharers,
        report_interval: Duration,
        now: Instant,
    ) {
        self.refill(now);
        self.report_interval = report_interval;
        self.reported_demand = self.demand.rate(now);
        let Some(limit) = self.limit else {
            return;
        };
        let validity = report_interval * REPORT_VALIDITY;
        let is_valid = |reported: &Reported| now.saturating_duration_since(reported.at) <= validity;
        self.hosts.retain(|_, reported| is_valid(reported));
        self.zones.retain(|_, reported| is_valid(reported));
        self.passed_on.retain(|_, reported| is_valid(reported));
        let mut hosts = demands(&self.hosts);
        hosts.insert(sharers.own.clone(), self.reported_demand);
        self.zone_demand = sharers.hosts.iter().filter_map(|host| hosts.get(host)).sum();
        let mut zones = demands(&self.passed_on);
        zones.append(&mut demands(&self.zones));
        self.part = match self.cause {
            LimitCause::Stated => divide_limit(limit, searcher, sharers, &hosts, &zones),
            LimitCause::Warmup => {
                let part = divide_warmup_limit(limit, searcher, sharers, &hosts, &zones);
                // A part grows one report later than it shrinks, since the host whose part shrinks in
                // return may not know of it yet.
                let last = self.last_division.replace(part).unwrap_or(part);
                LimitPart { rate: part.rate.min(last.rate), burst: part.burst.min(last.burst) }
            }
        };
        self.check_position = check_position(searcher, sharers);
    }

    /// Returns what this host reports to the others of its zone or, in a small fleet, to all.
    pub fn report(&self, run: &SearcherRun, now: Instant) -> LimitReport {
        LimitReport {
            run: run.clone(),
            limit: self.limit,
            age: now.saturating_duration_since(self.stated_at),
            demand: self.reported_demand,
            zone_demand: None,
            passed_on: demands(&self.zones).into_iter().collect(),
        }
    }

    /// Returns what this host reports to hosts of other zones in a large fleet.
    pub fn zone_report(&self, run: &SearcherRun, own_zone: &ZoneId, now: Instant) -> LimitReport {
        let zone_demand = Some((own_zone.clone(), self.zone_demand));
        LimitReport { zone_demand, passed_on: Vec::new(), ..self.report(run, now) }
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        (self.tokens + self.part.rate * elapsed).min(self.part.burst)
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }
}

fn demands(reports: &BTreeMap<HostId, Reported>) -> Demands {
    reports.iter().map(|(sharer, reported)| (sharer.clone(), reported.demand)).collect()
}

/// Returns how many hosts check a searcher's health before this one: its position among the hosts of
/// its zone, and that of its zone among all zones.
fn check_position(searcher: &SearcherId, sharers: &LimitSharers) -> u32 {
    let position = |sharers: Vec<&HostId>, own: &HostId| {
        let before = sharers.iter().take_while(|sharer| **sharer != own).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    };
    let zones = sharers.other_zones.iter().chain([&sharers.own_zone]);
    let zone = position(rank_hosts(searcher, zones), &sharers.own_zone);
    let host = position(rank_hosts(searcher, &sharers.hosts), &sharers.own);
    zone.saturating_mul(CHECKERS_PER_ZONE).saturating_add(host)
}
