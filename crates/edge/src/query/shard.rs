//! A request to the searchers of one shard or service, with hedges and retries.
//!
//! Hedges, retries and direct queries of a shard that was already queried through another host are
//! extra requests. A budget limits the extra requests that all hosts together send to a service.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::stream::FuturesUnordered;
use futures::stream::StreamExt;
use galenaloft_adapter::searcher::SearcherAnswer;
use galenaloft_config::edge::EdgeAdmission;
use galenaloft_policy::admission::Draw;
use galenaloft_policy::admission::by_cost::PartOutcome;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::quarantine::QuarantineStatus;
use galenaloft_policy::route::Target;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_policy::routing::ExpectedQueue;
use galenaloft_policy::routing::ExtraRequestShare;
use galenaloft_policy::routing::Urgency;
use galenaloft_policy::routing::is_hedge_useful;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;

use crate::host::Host;
use crate::query::RoutedRequest;
use crate::query::admission;
use crate::query::attempt;
use crate::query::attempt::Attempt;
use crate::query::attempt::AttemptFailure;
use crate::searchers::Candidates;
use crate::searchers::Choice;
use crate::searchers::Lease;
use crate::searchers::OutstandingBound;
use crate::searchers::Searcher;
use crate::searchers::Service;
use crate::searchers::ZoneScope;

/// Number of extra requests that hedges leave in the budget for retries. Retries matter more, since
/// they replace a failed attempt and not only a slow one.
const RETRY_RESERVE: f64 = 1.0;

/// The longest wait before a hedge is the time left until the objective, divided by this number. A
/// later hedge would hardly answer in time.
const HEDGE_WAIT_DIVISOR: u32 = 2;

/// Bounds of the wait before a hedge, as a multiple of the usual wait of the route. Within these
/// bounds, searchers differ in speed by design of their machines. A searcher outside of them has a
/// problem, and the wait does not adapt to it any further.
const MIN_HEDGE_WAIT_FACTOR: f64 = 0.7;
const MAX_HEDGE_WAIT_FACTOR: f64 = 1.3;

/// A request waits for a searcher that takes no requests from this host until the time until the
/// objective divided by this has passed. A later answer would hardly meet the objective.
const CLOSED_WAIT_DIVISOR: u32 = 4;

/// Longest wait of a request that has its turn by urgency before the searchers are checked again. Many
/// requests may wait, and each is woken when it is next.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a free connection before the searchers are checked again.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why the request to a shard or service has no answer.
#[derive(Debug, Clone, Copy)]
pub enum ShardFailure {
    /// No further attempt could be made: no searcher, attempt or budget was left, or the caller's
    /// request had ended.
    NoSearcher,
    /// No attempt succeeded; holds the failure of one of them.
    AttemptFailed(AttemptFailure),
    /// The request has become known to crash searchers since it arrived.
    Quarantined,
    /// The deadline has passed.
    Expired,
}

/// Searchers that one shard's attempts were sent to. The query that owns the shard sees them while
/// the attempts run.
pub type Tried = Arc<Mutex<Vec<SearcherId>>>;

/// The request to one shard or service.
pub struct ShardQuery {
    host: Arc<Host>,
    request: Arc<RoutedRequest>,
    service_id: ServiceId,
    service: Arc<Service>,
    /// Searchers that an attempt was sent to.
    tried: Tried,
    /// Searchers that may be tried; empty for all listed searchers.
    allowed: Vec<SearcherId>,
    /// Attempts in progress.
    running: FuturesUnordered<Attempt>,
    /// Time from which a hedge may be sent, because the last attempt is overdue by then. `None` if
    /// no hedge is scheduled.
    hedge_at: Option<Instant>,
    /// Searcher that the last attempt was sent to.
    last_sent: Option<Arc<Searcher>>,
    /// Whether a searcher may have run the request.
    may_have_run: bool,
    /// Whether the only attempt was charged to the budget of extra requests in advance.
    charged_as_extra: bool,
    /// Set when the caller's request has ended, so that further attempts are of no use.
    finished: Arc<AtomicBool>,
    /// When the request began to wait for a searcher; `None` before, and once its outcome was
    /// recorded.
    waiting_since: Option<Instant>,
    /// Whether it waited on this host because no searcher had room.
    waited_for_room: bool,
}

impl ShardQuery {
    /// Prepares the request to one service; nothing is sent yet.
    pub fn new(
        host: &Arc<Host>,
        request: &Arc<RoutedRequest>,
        service_id: &ServiceId,
        finished: &Arc<AtomicBool>,
    ) -> Self {
        Self {
            service: host.fleet.service(service_id),
            host: host.clone(),
            request: request.clone(),
            service_id: service_id.clone(),
            tried: Tried::default(),
            allowed: Vec::new(),
            running: FuturesUnordered::new(),
            hedge_at: None,
            last_sent: None,
            may_have_run: false,
            charged_as_extra: false,
            finished: finished.clone(),
            waiting_since: None,
            waited_for_room: false,
        }
    }

    /// Restricts the searchers that may be tried; an empty list allows all listed searchers.
    pub fn allow_only(&mut self, allowed: &[SearcherId]) {
        self.allowed = allowed.to_vec();
    }

    /// Continues after attempts of another host, to the searchers in `tried`. A further attempt is
    /// sent to another searcher if the route allows one more, and otherwise to one of these. Returns
    /// whether there may be a further attempt.
    pub fn continue_after(&mut self, tried: Vec<SearcherId>) -> bool {
        if tried.len() < self.request.route.max_attempts as usize {
            *lock(&self.tried) = tried;
            return true;
        }
        self.allowed = tried;
        self.charge_as_extra()
    }

    /// Returns the searchers that attempts were sent to, which grow while the query runs.
    pub fn tried(&self) -> Tried {
        self.tried.clone()
    }

    /// Charges the request to the budget of extra requests, because the shard was already queried
    /// through an aggregator, and limits it to one attempt. Returns whether the budget and the
    /// route allow it. The aggregator may have tried any of the allowed searchers, so the request
    /// is only sent if these are no more than the attempts that the route allows.
    pub fn charge_as_extra(&mut self) -> bool {
        let max_attempts = self.request.route.max_attempts as usize;
        let restricted = (1..=max_attempts).contains(&self.allowed.len());
        self.charged_as_extra = restricted && self.spend_extra(now());
        self.charged_as_extra
    }

    /// Returns whether a searcher may have run the request so far.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Tries searchers until an answer is accepted, no searcher, attempt or budget is left, or the
    /// deadline has passed. A request that is not idempotent ends as soon as a searcher may have
    /// run it. `accept` returns whether an answer is good enough to stop trying others.
    pub async fn run(
        &mut self,
        accept: fn(&SearcherAnswer) -> bool,
    ) -> Result<SearcherAnswer, ShardFailure> {
        if !self.charged_as_extra {
            lock(&self.service.budget).record_first(&self.extra_share(), now());
        }
        self.waiting_since = Some(now());
        // Returned if no answer is accepted: the last answer, else the first failure.
        let mut fallback: Option<Result<SearcherAnswer, ShardFailure>> = None;
        loop {
            if self.running.is_empty() {
                let is_retry = !lock(&self.tried).is_empty();
                match self.start_attempt(is_retry).await {
                    Ok(()) => {}
                    Err(failure) => return fallback.unwrap_or(Err(failure)),
                }
            }
            let wake_at =
                self.hedge_at.filter(|_| self.may_hedge()).unwrap_or(self.request.deadline);
            tokio::select! {
                biased;
                Some(result) = self.running.next() => match result {
                    Ok(answer) if accept(&answer) => {
                        self.record_outcome(PartOutcome::Answered);
                        self.finish_in_background();
                        return Ok(answer);
                    }
                    Ok(answer) => {
                        self.may_have_run = true;
                        fallback = Some(Ok(answer));
                    }
                    Err(failure) => {
                        if self.running.is_empty() && failure.verdict != Verdict::NotRun {
                            // The searcher failed, which is no lack of capacity.
                            self.waiting_since = None;
                        }
                        if failure.verdict != Verdict::NotRun {
                            self.may_have_run = true;
                            if !self.request.route.idempotent {
                                return Err(ShardFailure::AttemptFailed(failure));
                            }
                        }
                        fallback = fallback.or(Some(Err(ShardFailure::AttemptFailed(failure))));
                    }
                },
                () = sleep_until(wake_at) => {
                    if now() >= self.request.deadline {
                        self.may_have_run |= !self.running.is_empty();
                        return Err(ShardFailure::Expired);
                    }
                    self.hedge();
                }
            }
            if !self.request.route.idempotent && self.may_have_run {
                return fallback.unwrap_or(Err(ShardFailure::Expired));
            }
        }
    }

    /// Returns whether a hedge may be sent, apart from the budget.
    fn may_hedge(&self) -> bool {
        self.request.route.idempotent
            && !self.request.crash_suspect
            && !self.finished.load(Ordering::Relaxed)
            && self.has_attempts_left()
    }

    /// Returns whether a request to one searcher has become known to crash searchers since it arrived; it
    /// may wait for seconds. Queries over many shards go on: they end soon, and searchers that crash at
    /// the same moment all ran parts of the same queries.
    fn is_quarantined(&self, now: Instant) -> bool {
        let is_single = !matches!(self.request.route.target, Target::Gather(_));
        is_single
            && self.request.quarantine_status(&self.host, now) == QuarantineStatus::Quarantined
    }

    fn has_attempts_left(&self) -> bool {
        let max_attempts =
            if self.charged_as_extra { 1 } else { self.request.route.max_attempts as usize };
        lock(&self.tried).len() < max_attempts
    }

    fn admits_retries(&self) -> bool {
        admission::allows_retries(&self.host, &self.request, &self.service_id, now())
    }

    /// Records the outcome of the request for the admission of later ones, once.
    fn record_outcome(&mut self, outcome: PartOutcome) {
        if let Some(since) = self.waiting_since.take() {
            let (host, service, now) = (&self.host, &self.service_id, now());
            if self.waited_for_room && now > self.request.objective {
                // The requests at the front of the queue hardly wait, so that the mean wait shows
                // little of the lack of room that made this one late.
                let late = PartOutcome::Rejected;
                admission::record_outcome(host, &self.request, service, late, since, now);
            }
            admission::record_outcome(host, &self.request, service, outcome, since, now);
        }
    }

    /// Starts the first attempt, or a retry after all earlier ones have failed. Waits while no
    /// searcher has a free connection, and for a short time while none takes requests.
    async fn start_attempt(&mut self, is_retry: bool) -> Result<(), ShardFailure> {
        if is_retry && !(self.has_attempts_left() && self.admits_retries()) {
            return Err(ShardFailure::NoSearcher);
        }
        let mut charged = false;
        loop {
            // The answer of the caller's request, or of the other host, said which searchers were
            // tried.
            if self.finished.load(Ordering::Relaxed) {
                return Err(ShardFailure::NoSearcher);
            }
            let now = now();
            if now >= self.request.deadline {
                return Err(ShardFailure::Expired);
            }
            if self.is_quarantined(now) {
                self.waiting_since = None;
                return Err(ShardFailure::Quarantined);
            }
            match self.choose_searcher(self.outstanding_bound(), now) {
                Choice::Searcher(searcher) => {
                    if is_retry && !charged {
                        charged = self.spend_extra(now);
                        self.log_extra_attempt("retry", &searcher, charged, now);
                        if !charged {
                            return Err(ShardFailure::NoSearcher);
                        }
                    }
                    // Another request may have taken the connection meanwhile.
                    if self.send(&searcher, now) {
                        return Ok(());
                    }
                    tokio::task::yield_now().await;
                }
                // What a searcher states that it takes is no sign of its queue.
                Choice::Closed(opens_at) if opens_at <= self.closed_wait_end() => {
                    sleep_until(opens_at).await;
                    self.waiting_since = Some(opens_at);
                }
                Choice::Closed(_) | Choice::NoSearcher => {
                    self.waiting_since = None;
                    return Err(ShardFailure::NoSearcher);
                }
                Choice::AllAtLimit => {
                    let interval = match self.orders_by_cost() {
                        true => TURN_CHECK_INTERVAL,
                        false => CONNECTION_CHECK_INTERVAL,
                    };
                    let check_at = (now + interval).min(self.request.deadline);
                    self.waited_for_room |= self.orders_by_cost();
                    let waiter = self.service.waiting.join(self.urgency());
                    tokio::select! {
                        () = waiter.turn() => {}
                        () = sleep_until(check_at) => {}
                    }
                }
            }
        }
    }

    /// Sends the request to a second searcher if that is still of use and the budget allows it.
    fn hedge(&mut self) {
        self.hedge_at = None;
        if !self.may_hedge() {
            return;
        }
        let now = now();
        if self.is_quarantined(now) {
            return;
        }
        if !admission::allows_hedges(&self.host, &self.request, &self.service_id, now) {
            return;
        }
        if !lock(&self.service.budget).allows(&self.extra_share(), RETRY_RESERVE, now) {
            return;
        }
        // Few hedges are sent, and the admission stops them while capacity is insufficient.
        let choice = self.choose_searcher(OutstandingBound::None, now);
        let Choice::Searcher(searcher) = choice else {
            return;
        };
        let attempt_queue = self.last_sent.as_ref().and_then(|sent| self.queue(sent, now));
        if !is_hedge_useful(attempt_queue, self.queue(&searcher, now)) {
            // The loads are compared again once the attempt is overdue for as long again.
            let estimate = self.host.latency_estimate(&self.request.route);
            self.hedge_at = Some(now + estimate.overdue_after());
            return;
        }
        let allowed = !searcher.is_suspect() && self.spend_extra(now);
        self.log_extra_attempt("hedge", &searcher, allowed, now);
        if allowed && !self.send(&searcher, now) {
            Event::new("hedge_not_sent").with("searcher", &searcher.entry.id).debug();
        }
    }

    /// Charges one request to the budget of extra requests. Returns false if the budget is
    /// exhausted.
    fn spend_extra(&self, now: Instant) -> bool {
        lock(&self.service.budget).try_spend(&self.extra_share(), now)
    }

    /// Returns this host's share of the budget of extra requests to the service.
    fn extra_share(&self) -> ExtraRequestShare {
        let sharing_hosts = self.host.sharing_hosts();
        // In a large fleet the other hosts query this service only through aggregators, so that
        // fewer hosts share its budget.
        let through_aggregators =
            self.connection_share().uses_aggregators() && sharing_hosts.is_aggregator;
        let hosts = if through_aggregators { sharing_hosts.aggregators } else { sharing_hosts.all };
        ExtraRequestShare { limit: self.host.settings.extra, hosts }
    }

    /// Logs whether the budget allowed a hedge or retry.
    fn log_extra_attempt(&self, event: &str, searcher: &Searcher, allowed: bool, now: Instant) {
        let waited = now.saturating_duration_since(self.request.arrived_at);
        Event::new(event)
            .with("request", &self.request.inbound.id)
            .with("service", &self.service_id)
            .with("searcher", &searcher.entry.id)
            .with("own_zone", searcher.local)
            .with("allowed", allowed)
            .with("waited_ms", waited.as_millis())
            .info();
    }

    /// Chooses the searcher for the next attempt.
    fn choose_searcher(&self, bound: OutstandingBound, now: Instant) -> Choice {
        let prior = self.host.latency_estimate(&self.request.route).median();
        let zone_scope = match self.host.is_cut_off() {
            true => ZoneScope::OwnZone,
            false => ZoneScope::All,
        };
        let share = self.connection_share();
        let tried = lock(&self.tried);
        let candidates = Candidates { allowed: &self.allowed, tried: &tried, zone_scope };
        self.service.choose(&self.request.route, prior, candidates, share, bound, now)
    }

    /// Returns whether requests wait on this host in the order of their urgency, so that the searchers'
    /// queues stay short. Where every host queries every searcher, a bound for each host would leave slots
    /// unused while the load of the hosts is uneven.
    fn orders_by_cost(&self) -> bool {
        self.host.settings.admission == EdgeAdmission::ByCost
            && self.connection_share().uses_aggregators()
    }

    /// Returns the bound on the requests that this host has outstanding at a searcher.
    fn outstanding_bound(&self) -> OutstandingBound {
        if !self.orders_by_cost() {
            return OutstandingBound::None;
        }
        let aggregators_in_zone = self.host.sharing_hosts().aggregators_in_zone;
        OutstandingBound::Shared { aggregators_in_zone }
    }

    /// Returns what decides this request's place among those that wait for the same searchers, or `None`
    /// if they take turns.
    fn urgency(&self) -> Option<Urgency> {
        if !self.orders_by_cost() {
            return None;
        }
        let route = &self.request.route;
        let work = Duration::from_secs_f64(self.host.latency_estimate(route).median());
        let draw = Draw::from_request_id(&self.request.inbound.id);
        Some(Urgency { rank: route.rank, due: self.request.objective, work, draw })
    }

    /// Returns this host's share of the connections to each searcher of the service.
    fn connection_share(&self) -> ConnectionShare {
        self.request.connection_share(&self.service_id, self.host.sharing_hosts())
    }

    /// Returns until when the request waits for searchers that take no requests from this host.
    fn closed_wait_end(&self) -> Instant {
        let wait = self.request.route.target_latency / CLOSED_WAIT_DIVISOR;
        self.request.deadline.min(self.request.arrived_at + wait)
    }

    /// Starts an attempt at a searcher. Returns `false` if this host may open no further connection
    /// to it, or it takes no requests from this host.
    fn send(&mut self, searcher: &Arc<Searcher>, now: Instant) -> bool {
        let route = Some(&self.request.route.name);
        let lease = Lease::begin(&self.service, searcher, route, self.connection_share(), now);
        let Some(lease) = lease else {
            return false;
        };
        lock(&self.tried).push(searcher.entry.id.clone());
        self.last_sent = Some(searcher.clone());
        self.hedge_at = Some(self.next_hedge_at(searcher, now));
        self.running.push(attempt::start(&self.host, &self.request, lease));
        true
    }

    /// Returns when an attempt sent to `searcher` at `now` is overdue, so that a hedge may
    /// follow.
    fn next_hedge_at(&self, searcher: &Searcher, now: Instant) -> Instant {
        let estimate = self.host.latency_estimate(&self.request.route);
        let typical = lock(&searcher.health).typical_latency(&self.request.route.name);
        let factor = typical.map_or(1.0, |typical| {
            (typical / estimate.median()).clamp(MIN_HEDGE_WAIT_FACTOR, MAX_HEDGE_WAIT_FACTOR)
        });
        let mut wait = estimate.overdue_after().mul_f64(factor);
        if let Some(queue) = self.queue(searcher, now) {
            // An attempt is not overdue while it is expected to wait for a slot or to run.
            wait = wait.max(Duration::from_secs_f64(queue.last_wait + queue.work));
        }
        let objective = self.request.arrived_at + self.request.route.target_latency;
        let max_wait = objective.saturating_duration_since(now) / HEDGE_WAIT_DIVISOR;
        match max_wait.is_zero() {
            true => now + wait,
            false => now + wait.min(max_wait),
        }
    }

    /// Returns what delays requests at a searcher, or `None` if it has stated no load lately.
    fn queue(&self, searcher: &Searcher, now: Instant) -> Option<ExpectedQueue> {
        let prior = self.host.latency_estimate(&self.request.route).median();
        searcher.queue(&self.request.route, prior, now)
    }

    /// Moves the attempts that are still running to the background, so that their connections can
    /// be reused if they end soon.
    fn finish_in_background(&mut self) {
        let running = std::mem::take(&mut self.running);
        if !running.is_empty() {
            attempt::finish_in_background(running.for_each(|_| async {}));
        }
    }
}

impl Drop for ShardQuery {
    fn drop(&mut self) {
        self.record_outcome(PartOutcome::Abandoned);
    }
}
