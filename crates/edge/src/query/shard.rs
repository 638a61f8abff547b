//! The attempts on the searchers of one shard or service, with hedges and retries.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::stream::FuturesUnordered;
use futures::stream::StreamExt;
use galenaloft_adapter::searcher::SearcherAnswer;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_policy::routing::ExtraShare;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;

use crate::host::Host;
use crate::query::Plan;
use crate::query::attempt;
use crate::query::attempt::Attempt;
use crate::query::attempt::AttemptFailure;
use crate::searchers::Candidates;
use crate::searchers::Choice;
use crate::searchers::Lease;
use crate::searchers::Searcher;
use crate::searchers::Service;
use crate::searchers::ZoneScope;

/// Extra requests that hedges leave to retries, which answer a failure and not only slowness.
const RETRY_RESERVE: f64 = 1.0;

/// Part of the time to the objective after which a hedge is useful at the latest.
const HEDGE_BY: u32 = 2;

/// Bounds of the time that a searcher is given before a hedge, as a multiple of the usual time:
/// machines differ that much by design, beyond it a searcher has a problem.
const FASTER: f64 = 0.7;
const SLOWER: f64 = 1.3;

/// Longest wait for room before the searchers are looked at again.
const ROOM_CHECK: Duration = Duration::from_millis(20);

/// Why a shard has no answer.
#[derive(Debug, Clone, Copy)]
pub enum Missed {
    /// No searcher of it was left to ask.
    NoSearcher,
    /// The last attempt failed.
    Failed(AttemptFailure),
    /// The time was up.
    Expired,
}

/// The request on one shard or service.
pub struct ShardQuery {
    host: Arc<Host>,
    plan: Arc<Plan>,
    service_id: ServiceId,
    service: Arc<Service>,
    tried: Vec<SearcherId>,
    /// Searchers that may be asked; none stands for all that are listed.
    allowed: Vec<SearcherId>,
    running: FuturesUnordered<Attempt>,
    /// When the running attempts are overdue.
    overdue: Option<Instant>,
    /// Whether some attempt may have run.
    may_have_run: bool,
    /// Whether the first attempt was already paid for as an extra one.
    extra: bool,
    /// Set when the answer has gone out and no further attempt is of use.
    over: Arc<AtomicBool>,
}

impl ShardQuery {
    /// Prepares the request on one service.
    pub fn new(
        host: &Arc<Host>,
        plan: &Arc<Plan>,
        service_id: &ServiceId,
        over: &Arc<AtomicBool>,
    ) -> Self {
        Self {
            service: host.fleet.service(service_id),
            host: host.clone(),
            plan: plan.clone(),
            service_id: service_id.clone(),
            tried: Vec::new(),
            allowed: Vec::new(),
            running: FuturesUnordered::new(),
            overdue: None,
            may_have_run: false,
            extra: false,
            over: over.clone(),
        }
    }

    /// Restricts the searchers that may be asked; none stands for all that are listed.
    pub fn allow_only(&mut self, allowed: &[SearcherId]) {
        self.allowed = allowed.to_vec();
    }

    /// Pays for a request on a shard that was already asked through a peer, and leaves it one
    /// attempt. Returns whether the budget and the route allow it: the peer may have asked any of
    /// the searchers, so that both must keep to as many as the route allows.
    pub fn spend_extra(&mut self) -> bool {
        let restricted = (1..=self.plan.route.max_attempts as usize).contains(&self.allowed.len());
        self.extra = restricted && self.spend(now());
        self.extra
    }

    /// Returns whether some attempt may have run so far.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Asks searchers until one answers, none is left or the time is up. `accept` tells whether
    /// an answer ends the search for a better one.
    pub async fn run(
        &mut self,
        accept: fn(&SearcherAnswer) -> bool,
    ) -> Result<SearcherAnswer, Missed> {
        if !self.extra {
            lock(&self.service.budget).note_first(&self.extra_share(), now());
        }
        let mut last: Option<Result<SearcherAnswer, Missed>> = None;
        loop {
            if self.running.is_empty() {
                match self.start(!self.tried.is_empty()).await {
                    Ok(()) => {}
                    Err(missed) => return last.unwrap_or(Err(missed)),
                }
            }
            let overdue = self.overdue.filter(|_| self.may_hedge()).unwrap_or(self.plan.deadline);
            tokio::select! {
                biased;
                Some(outcome) = self.running.next() => match outcome {
                    Ok(answer) if accept(&answer) => {
                        self.leave_rest();
                        return Ok(answer);
                    }
                    Ok(answer) => {
                        self.may_have_run = true;
                        last = Some(Ok(answer));
                    }
                    Err(failure) => {
                        if failure.verdict != Verdict::NotRun {
                            self.may_have_run = true;
                            if !self.plan.route.idempotent {
                                return Err(Missed::Failed(failure));
                            }
                        }
                        last = last.or(Some(Err(Missed::Failed(failure))));
                    }
                },
                () = sleep_until(overdue) => {
                    if now() >= self.plan.deadline {
                        self.may_have_run |= !self.running.is_empty();
                        return Err(Missed::Expired);
                    }
                    self.hedge();
                }
            }
            if !self.plan.route.idempotent && self.may_have_run {
                return last.unwrap_or(Err(Missed::Expired));
            }
        }
    }

    fn may_hedge(&self) -> bool {
        self.plan.route.idempotent
            && !self.plan.suspected
            && !self.over.load(Ordering::Relaxed)
            && self.may_try()
    }

    fn may_try(&self) -> bool {
        let attempts = if self.extra { 1 } else { self.plan.route.max_attempts as usize };
        self.tried.len() < attempts
    }

    /// Starts the first attempt, or another one after all others have failed.
    async fn start(&mut self, again: bool) -> Result<(), Missed> {
        if again && (self.over.load(Ordering::Relaxed) || !self.may_try()) {
            return Err(Missed::NoSearcher);
        }
        loop {
            let present = now();
            if present >= self.plan.deadline {
                return Err(Missed::Expired);
            }
            match self.choose(present) {
                Choice::Searcher(searcher) => {
                    if again {
                        let allowed = self.spend(present);
                        self.log("retry", &searcher, allowed, present);
                        if !allowed {
                            return Err(Missed::NoSearcher);
                        }
                    }
                    self.send(&searcher, present);
                    return Ok(());
                }
                Choice::NoSearcher => return Err(Missed::NoSearcher),
                Choice::AllAtLimit => {
                    let check = (present + ROOM_CHECK).min(self.plan.deadline);
                    tokio::select! {
                        () = self.service.connection_freed.notified() => {}
                        () = sleep_until(check) => {}
                    }
                }
            }
        }
    }

    /// Sends the request to a second searcher if the budget allows it.
    fn hedge(&mut self) {
        self.overdue = None;
        let present = now();
        if !lock(&self.service.budget).allows(&self.extra_share(), RETRY_RESERVE, present) {
            return;
        }
        let Choice::Searcher(searcher) = self.choose(present) else {
            return;
        };
        let allowed = !searcher.is_suspect() && self.spend(present);
        self.log("hedge", &searcher, allowed, present);
        if allowed {
            self.send(&searcher, present);
        }
    }

    fn spend(&self, present: Instant) -> bool {
        lock(&self.service.budget).spend(&self.extra_share(), present)
    }

    fn extra_share(&self) -> ExtraShare {
        let sharers = self.host.sharers();
        // In a large fleet the other hosts ask this service through the gatherers only.
        let pooled = self.share().is_pooled() && sharers.gathers;
        let hosts = if pooled { sharers.gatherers } else { sharers.all };
        ExtraShare { bound: self.host.settings.extra, hosts }
    }

    /// Logs the decision to send the request to a further searcher, or not to.
    fn log(&self, event: &str, searcher: &Searcher, allowed: bool, present: Instant) {
        let waited = present.saturating_duration_since(self.plan.arrived);
        Event::new(event)
            .with("request", &self.plan.call.id)
            .with("service", &self.service_id)
            .with("searcher", &searcher.entry.id)
            .with("own_zone", searcher.local)
            .with("allowed", allowed)
            .with("waited_ms", waited.as_millis())
            .info();
    }

    fn choose(&self, present: Instant) -> Choice {
        let prior = self.host.latency(&self.plan.route).median();
        let zone_scope = match self.host.is_cut_off() {
            true => ZoneScope::OwnZone,
            false => ZoneScope::All,
        };
        let share = self.share();
        let candidates = Candidates { allowed: &self.allowed, tried: &self.tried, zone_scope };
        self.service.choose(&self.plan.route, prior, candidates, share, present)
    }

    fn share(&self) -> ConnectionShare {
        self.plan.connections(&self.service_id, self.host.sharers())
    }

    fn send(&mut self, searcher: &Arc<Searcher>, present: Instant) {
        let route = Some(&self.plan.route.name);
        let lease = Lease::begin(&self.service, searcher, route, self.share(), present);
        let Some(lease) = lease else {
            return;
        };
        self.tried.push(searcher.entry.id.clone());
        self.overdue = Some(self.overdue_at(searcher, present));
        self.running.push(attempt::begin(&self.host, &self.plan, lease));
    }

    fn overdue_at(&self, searcher: &Searcher, present: Instant) -> Instant {
        let all = self.host.latency(&self.plan.route);
        let typical = lock(&searcher.health).typical(&self.plan.route.name);
        let speed = typical.map_or(1.0, |own| (own / all.median()).clamp(FASTER, SLOWER));
        let wait = all.overdue().mul_f64(speed);
        let objective = self.plan.arrived + self.plan.route.target_latency;
        let half = objective.saturating_duration_since(present) / HEDGE_BY;
        match half.is_zero() {
            true => present + wait,
            false => present + wait.min(half),
        }
    }

    /// Lets the attempts that are still running end by themselves for a while.
    fn leave_rest(&mut self) {
        let running = std::mem::take(&mut self.running);
        if !running.is_empty() {
            attempt::let_finish(running.for_each(|_| async {}));
        }
    }
}
