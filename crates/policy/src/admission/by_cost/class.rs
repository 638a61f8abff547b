//! One class of work: the requests of one route, with the outcomes of their parts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Rank;
use crate::ids::RouteName;

/// Part of the objective that a part is assumed to take before the first one has been answered.
const INITIAL_LATENCY_SHARE: f64 = 1.0 / 8.0;

/// Time constant of the mean of the offered work, in seconds. It spans a few intervals of 100 ms,
/// so that the end of a flood is noticed within a second.
const OFFERED_TIME_CONSTANT: f64 = 0.3;

/// Factor by which the usual latency may grow in a second while the searchers keep up.
const USUAL_GROWTH: f64 = 1.05;

/// Factor by which the usual latency may grow in a second while work is refused. Queueing must not
/// become usual within a flood, but searchers that stay slow must not be refused work for ever.
const USUAL_GROWTH_LIMITED: f64 = 1.01;

/// Weight of one latency in the mean. A least latency instead of a mean would count as a wait what
/// the host itself needs to read the parts of a query, up to an eighth of the objective on average.
const LATENCY_WEIGHT: f64 = 0.02;

/// Outcome of a part that waited for half of its objective or longer, where a rejected part counts
/// as 1. It bounds the effect of single searchers that are slow or pause.
pub(super) const MAX_WAIT_OUTCOME: f64 = 0.5;

/// Share of the outcomes that is kept at the end of an interval. The slowest parts of a query often
/// end in another interval than its other parts, and must not decide alone.
const OUTCOME_DECAY: f64 = 0.6;

/// Bound of the capacity that is left for a lane as a share of what it offers. It bounds the time
/// until a lane gives way.
pub(super) const MAX_COVERAGE: f64 = 2.0;

/// Shortest usual latency, in seconds. Avoids divisions by zero.
const MIN_USUAL_LATENCY: f64 = 1e-5;

/// Which requests of a class a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lane {
    /// It is expected to be answered in time.
    Timely,
    /// It is expected to be answered after its deadline.
    Late,
}

impl Lane {
    /// Lanes in the order in which they keep work: what would be late gives way first.
    pub(super) const ALL: [Self; 2] = [Self::Timely, Self::Late];
}

/// What the admission of a request depends on.
#[derive(Debug, Clone, Copy)]
pub struct Work<'a> {
    /// Route of the request.
    pub route: &'a RouteName,
    /// Rank of the route; 0 is the most urgent.
    pub rank: Rank,
    /// Objective for the time in which the whole request is answered.
    pub objective: Duration,
    /// Number of searchers that the request is sent to.
    pub parts: usize,
    /// Time until the caller gives up.
    pub time_left: Duration,
}

/// State of one class of work at one host. Work is measured in seconds of a searcher's time.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) route: RouteName,
    pub(super) rank: Rank,
    objective: f64,
    /// Mean latency of parts while they do not wait, in seconds: the least recent mean. `None` before
    /// the first answer.
    usual: Option<f64>,
    /// Mean of the last latencies of answered parts, in seconds.
    recent: Option<f64>,
    /// Mean latency of the parts in the last interval that had any.
    mean_latency: f64,
    /// Work of one request at this host.
    pub(super) work_per_request: f64,
    /// Work offered in the current interval, by lane.
    offered: [f64; 2],
    /// Mean work offered in a second, by lane.
    pub(super) offered_rate: [f64; 2],
    /// Work admitted and work answered in the current interval.
    admitted: f64,
    answered: f64,
    /// Capacity that is left for a lane, as a share of what it offers above its floor.
    pub(super) coverage: [f64; 2],
    /// Admitted share, by lane.
    pub(super) shares: [f64; 2],
    /// Sum and number of the outcomes of the current interval.
    pub(super) signal_sum: f64,
    pub(super) signal_count: f64,
    latency_sum: f64,
    latency_count: u32,
}

/// What one interval of a class amounted to.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Interval {
    pub(super) signal_sum: f64,
    pub(super) signal_count: f64,
    pub(super) admitted: f64,
    pub(super) answered: f64,
    /// Mean time that the parts waited, in seconds.
    pub(super) mean_wait: f64,
}

impl Class {
    pub(super) fn new(work: &Work<'_>) -> Self {
        Self {
            route: work.route.clone(),
            rank: work.rank,
            objective: work.objective.as_secs_f64(),
            usual: None,
            recent: None,
            mean_latency: 0.0,
            work_per_request: 0.0,
            offered: [0.0; 2],
            offered_rate: [0.0; 2],
            admitted: 0.0,
            answered: 0.0,
            coverage: [MAX_COVERAGE; 2],
            shares: [1.0; 2],
            signal_sum: 0.0,
            signal_count: 0.0,
            latency_sum: 0.0,
            latency_count: 0,
        }
    }

    /// Latency of a part that does not wait, in seconds.
    fn usual_latency(&self) -> f64 {
        self.usual.unwrap_or(self.objective * INITIAL_LATENCY_SHARE).max(MIN_USUAL_LATENCY)
    }

    /// Returns the lane of a request.
    pub(super) fn lane(&self, work: &Work<'_>) -> Lane {
        match self.usual_latency().max(self.mean_latency) > work.time_left.as_secs_f64() {
            true => Lane::Late,
            false => Lane::Timely,
        }
    }

    /// Adds a request that stands for `1 / share` offered ones.
    pub(super) fn record_offered(&mut self, work: &Work<'_>, lane: Lane, share: f64) {
        self.rank = work.rank;
        self.objective = work.objective.as_secs_f64();
        self.work_per_request = self.usual_latency() * work.parts as f64;
        self.offered[lane as usize] += self.work_per_request / share;
    }

    /// Adds a request that was admitted.
    pub(super) fn record_admitted(&mut self, parts: usize) {
        self.admitted += self.usual_latency() * parts as f64;
    }

    /// Adds a part that a busy searcher rejected.
    pub(super) fn record_rejected(&mut self) {
        self.signal_sum += 1.0;
        self.signal_count += 1.0;
    }

    /// Adds a part that took, or was given up after, `latency`.
    pub(super) fn record_latency(&mut self, latency: Duration, answered: bool, counts: bool) {
        let latency = latency.as_secs_f64();
        // A part given up early, such as with its query, says nothing about its wait.
        if !answered && latency < self.usual_latency() {
            return;
        }
        if answered {
            self.answered += self.usual_latency();
            let recent = self.recent.get_or_insert(latency);
            *recent += (latency - *recent) * LATENCY_WEIGHT;
        }
        self.latency_sum += latency;
        self.latency_count += 1;
        if counts {
            let wait = (latency - self.usual_latency()) / self.objective.max(MIN_USUAL_LATENCY);
            self.signal_sum += wait.clamp(0.0, MAX_WAIT_OUTCOME);
            self.signal_count += 1.0;
        }
    }

    /// Admits all requests.
    pub(super) fn admit_all(&mut self) {
        self.coverage = [MAX_COVERAGE; 2];
        self.shares = [1.0; 2];
    }

    /// Drops the outcomes recorded so far.
    pub(super) fn forget_outcomes(&mut self) {
        self.signal_sum = 0.0;
        self.signal_count = 0.0;
    }

    /// Ends an interval that took `elapsed` seconds.
    pub(super) fn end_interval(&mut self, elapsed: f64, limited: bool) -> Interval {
        if self.latency_count > 0 {
            self.mean_latency = self.latency_sum / f64::from(self.latency_count);
        }
        let interval = Interval {
            mean_wait: match self.latency_count {
                0 => 0.0,
                _ => (self.mean_latency - self.usual_latency()).max(0.0),
            },
            signal_sum: self.signal_sum,
            signal_count: self.signal_count,
            admitted: std::mem::take(&mut self.admitted),
            answered: std::mem::take(&mut self.answered),
        };
        self.signal_sum *= OUTCOME_DECAY;
        self.signal_count *= OUTCOME_DECAY;
        let weight = 1.0 - (-elapsed / OFFERED_TIME_CONSTANT).exp();
        for (rate, offered) in self.offered_rate.iter_mut().zip(&mut self.offered) {
            *rate += (std::mem::take(offered) / elapsed - *rate) * weight;
        }
        if let Some(recent) = self.recent {
            let growth = if limited { USUAL_GROWTH_LIMITED } else { USUAL_GROWTH };
            let known = self.usual.unwrap_or(f64::INFINITY);
            self.usual = Some(recent.min(known * growth.powf(elapsed)));
        }
        self.latency_sum = 0.0;
        self.latency_count = 0;
        interval
    }
}
