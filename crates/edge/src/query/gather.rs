//! Scatter-gather queries over many shards.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::stream::FuturesUnordered;
use futures::stream::StreamExt;
use galenaloft_adapter::caller::Answer;
use galenaloft_adapter::searcher::SearcherAnswer;
use galenaloft_adapter::searcher::Signature;
use galenaloft_policy::gathering::ShardAccess;
use galenaloft_policy::gathering::TopRecords;
use galenaloft_policy::gathering::WaitDecision;
use galenaloft_policy::gathering::WaitPolicy;
use galenaloft_policy::gathering::answer_processing_time;
use galenaloft_policy::gathering::refuse_until;
use galenaloft_policy::gathering::select_shards;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::route::Gather;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;

use crate::host::Host;
use crate::peers::Aggregator;
use crate::peers::GroupAdmission;
use crate::peers::GroupFailure;
use crate::peers::GroupReply;
use crate::peers::GroupResult;
use crate::peers::MergedParts;
use crate::query::RoutedRequest;
use crate::query::admission;
use crate::query::admission::Decision;
use crate::query::attempt;
use crate::query::group;
use crate::query::group::ShardGroup;
use crate::query::shard::ShardFailure;
use crate::query::shard::ShardQuery;
use crate::query::shard::Tried;

/// Time after which a caller may retry when no searcher ran its request, or the host cannot meet
/// the coverage floor because its zone is cut off.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// An aggregator asks more shards than the coverage floor needs of it, by its number of shards
/// divided by this.
const RESERVE_DIVISOR: usize = 30;

/// Longest wait for the replies of other aggregators after one did not admit a query. If none of them
/// did, the request has not run. A refusal takes one round trip between zones and some milliseconds
/// on a host with little processor capacity.
const REFUSAL_WAIT: Duration = Duration::from_millis(20);

/// Time for which an aggregator that answered counts as working while capacity is insufficient.
const WORKING_WINDOW: Duration = Duration::from_secs(2);

/// Result of one task of a query.
enum TaskResult {
    /// Result of one shard that was queried directly. A searcher may have run the request even if
    /// there is no part.
    Shard { index: usize, part: Result<SearcherAnswer, ShardFailure>, may_have_run: bool },
    /// Reply of an aggregator for a group of shards.
    Group { group: ShardGroup, reply: Result<GroupReply, GroupFailure> },
}

/// A shard that is only queried if the coverage floor cannot be met without it.
#[derive(Debug, Clone)]
struct SkippedShard {
    index: usize,
    /// Attempts that were made through an aggregator.
    earlier: EarlierAttempts,
}

/// Attempts at a shard that were made through an aggregator.
#[derive(Debug, Clone, PartialEq, Eq)]
enum EarlierAttempts {
    /// None were made.
    None,
    /// The aggregator did not say which; it keeps to the allowed searchers.
    Unknown,
    /// They were sent to these searchers.
    Sent(Vec<SearcherId>),
}

type Task = Pin<Box<dyn Future<Output = TaskResult> + Send>>;

/// Parts of a group of shards, merged by an aggregator.
struct AggregatorParts {
    signatures: Vec<Signature>,
    records: Vec<u8>,
}

/// State of one query: the parts received so far and the shards still pending.
pub struct ScatterGather<'a> {
    host: &'a Arc<Host>,
    request: &'a Arc<RoutedRequest>,
    gather: &'a Gather,
    /// Set when the query has ended, so that its shard queries start no further attempts.
    finished: Arc<AtomicBool>,
    /// Queries to shards and aggregators in progress.
    tasks: FuturesUnordered<Task>,
    /// Number of queries to shards, direct or through an aggregator, that have not ended. A shard
    /// that is queried both ways counts twice.
    pending_shards: usize,
    /// Parts received directly from searchers, by shard index.
    direct_parts: BTreeMap<usize, SearcherAnswer>,
    /// Parts received from aggregators.
    aggregator_parts: Vec<AggregatorParts>,
    /// For each shard, whether its part was received from an aggregator.
    received_from_aggregator: Vec<bool>,
    /// Groups whose aggregator has not answered, each with the time at which the aggregator is
    /// overdue.
    pending_groups: Vec<(ShardGroup, Instant)>,
    /// Shards that were not queried, or that are missing in an aggregator's reply.
    skipped: Vec<SkippedShard>,
    /// For each shard the searchers that may be tried; empty for all listed searchers.
    allowed: Vec<Vec<SearcherId>>,
    /// For each shard the searchers that this host sent it to.
    tried: BTreeMap<usize, Tried>,
    may_have_run: bool,
    /// How the query was admitted; `None` if all queries are.
    admission: Option<GroupAdmission>,
    /// Whether only a share of such queries is admitted, as far as this host knows.
    limited: bool,
    /// Aggregators that did not admit the query.
    refused_by: Vec<Aggregator>,
    /// Number of aggregators that have not replied.
    groups_in_flight: usize,
    /// For each shard, whether a direct query to it has not ended.
    direct_in_flight: Vec<bool>,
}

impl<'a> ScatterGather<'a> {
    /// Prepares a query; nothing is sent yet. `allowed` has the searchers that may be tried for
    /// each shard, where an empty list allows all listed searchers.
    pub fn new(
        host: &'a Arc<Host>,
        request: &'a Arc<RoutedRequest>,
        gather: &'a Gather,
        allowed: Vec<Vec<SearcherId>>,
        admission: Option<GroupAdmission>,
    ) -> Self {
        Self {
            limited: admission.as_ref().is_some_and(|admission| admission.share < 1.0),
            admission,
            refused_by: Vec::new(),
            groups_in_flight: 0,
            direct_in_flight: vec![false; gather.shards.len()],
            host,
            request,
            gather,
            finished: Arc::new(AtomicBool::new(false)),
            tasks: FuturesUnordered::new(),
            pending_shards: 0,
            direct_parts: BTreeMap::new(),
            aggregator_parts: Vec::new(),
            received_from_aggregator: vec![false; gather.shards.len()],
            pending_groups: Vec::new(),
            skipped: Vec::new(),
            allowed,
            tried: BTreeMap::new(),
            may_have_run: false,
        }
    }

    /// Queries each shard directly, except for shards that are not expected to answer before the
    /// objective and that are not needed to meet the coverage floor.
    pub fn query_directly(&mut self, min_parts: usize, objective: Instant) {
        let shards: Vec<usize> = (0..self.gather.shards.len()).collect();
        self.query_shards(&shards, min_parts, objective, now());
    }

    /// Queries the shards of each group through the group's aggregator, and all others directly.
    pub fn query_with_groups(
        &mut self,
        groups: Vec<ShardGroup>,
        direct: &[usize],
        min_parts: usize,
        objective: Instant,
    ) {
        let now = now();
        let grouped: Vec<usize> = groups.iter().flat_map(|g| &g.shards).copied().collect();
        let needed_directly = min_parts.saturating_sub(grouped.len());
        let queried = self.query_shards(direct, needed_directly, objective, now);
        // Skipped shards count as missing, so the groups must deliver all parts that the direct
        // queries cannot contribute to `min_parts`, and a few more since some parts may be lost.
        let needed_from_groups = min_parts.saturating_sub(queried);
        self.pin_searchers(&grouped);
        for group in groups {
            let in_other_groups = grouped.len() - group.shards.len();
            let needed = needed_from_groups.saturating_sub(in_other_groups);
            let needed =
                (needed + group.shards.len().div_ceil(RESERVE_DIVISOR)).min(group.shards.len());
            self.query_group(group, needed, objective, now);
        }
    }

    /// Restricts shards that have no more searchers than attempts to the searchers listed now. Such
    /// a shard may be queried through an aggregator and again directly, since both keep to these
    /// searchers, so that no more than `max_attempts` searchers run the request.
    fn pin_searchers(&mut self, shards: &[usize]) {
        for index in shards {
            let mut listed = self.host.fleet.service(&self.gather.shards[*index]).searchers();
            // An empty list would allow all.
            if listed.iter().any(|searcher| !searcher.is_evacuated()) {
                listed.retain(|searcher| !searcher.is_evacuated());
            }
            if listed.len() <= self.request.route.max_attempts as usize {
                self.allowed[*index] = listed.iter().map(|s| s.entry.id.clone()).collect();
            }
        }
    }

    /// Queries some shards directly, and skips those that are too slow and not needed for
    /// `min_parts`. Returns how many were queried.
    fn query_shards(
        &mut self,
        shards: &[usize],
        min_parts: usize,
        objective: Instant,
        now: Instant,
    ) -> usize {
        let prior = self.host.latency_estimate(&self.request.route).median();
        let expected_latencies: Vec<Option<f64>> = shards
            .iter()
            .map(|index| self.host.fleet.service(&self.gather.shards[*index]))
            .map(|service| service.best_expected_latency(&self.request.route, prior, now))
            .collect();
        let draws: Vec<f64> = shards.iter().map(|_| rand::random()).collect();
        let time_left = objective.saturating_duration_since(now);
        let selected = select_shards(&expected_latencies, &draws, min_parts, time_left);
        for (index, selected) in shards.iter().zip(&selected) {
            match selected {
                true => self.query_shard(*index, EarlierAttempts::None),
                false => self.skip_shard(*index, EarlierAttempts::None),
            }
        }
        let count = selected.iter().filter(|selected| **selected).count();
        if count < shards.len() {
            Event::new("shards_left_out")
                .with("request", &self.request.inbound.id)
                .with("asked", count)
                .with("of", shards.len())
                .with("needed", min_parts)
                .info();
        }
        count
    }

    fn skip_shard(&mut self, index: usize, earlier: EarlierAttempts) {
        self.skipped.push(SkippedShard { index, earlier });
    }

    /// Collects parts until all are received, no query is pending, `min_parts` can no longer be met
    /// or the wait policy ends the wait. Queries the skipped shards once `min_parts` cannot be met
    /// without them, and bypasses overdue aggregators. Returns whether the deadline passed before
    /// `min_parts` was met.
    pub async fn collect(&mut self, wait_policy: &WaitPolicy, min_parts: usize) -> bool {
        loop {
            let parts = self.received_parts();
            if parts + self.pending_shards < min_parts {
                self.query_skipped();
            }
            if self.tasks.is_empty() || parts + self.pending_shards < min_parts {
                return false;
            }
            if parts == self.gather.shards.len() {
                return false;
            }
            let current_time = now();
            let until = match wait_policy.decide(parts, min_parts, current_time) {
                WaitDecision::Until(until) => until,
                WaitDecision::Answer => return false,
                WaitDecision::GiveUp => return true,
            };
            let overdue_at = self.pending_groups.iter().map(|(_, at)| *at).min();
            tokio::select! {
                biased;
                Some(result) = self.tasks.next() => self.handle_result(result),
                () = sleep_until(overdue_at.map_or(until, |at| at.min(until))) => {
                    self.bypass_overdue(now());
                }
            }
        }
    }

    /// Returns how many shards have a part, received directly or from an aggregator.
    pub fn received_parts(&self) -> usize {
        let from_aggregators =
            self.received_from_aggregator.iter().filter(|received| **received).count();
        let direct = self
            .direct_parts
            .keys()
            .filter(|index| !self.received_from_aggregator[**index])
            .count();
        from_aggregators + direct
    }

    /// Ends the query; pending tasks may finish in the background. Returns the signatures and the
    /// merged records of the parts received so far.
    pub fn finish(mut self) -> (Vec<Signature>, Vec<u8>) {
        self.finish_pending_in_background();
        let mut records = TopRecords::new(self.gather.top_records);
        let mut signatures = Vec::with_capacity(self.gather.shards.len());
        for merged in self.aggregator_parts {
            records.add(&merged.records);
            signatures.extend(merged.signatures);
        }
        for (index, answer) in self.direct_parts {
            if !self.received_from_aggregator[index] {
                records.add(&answer.body);
                signatures.push(answer.signature);
            }
        }
        (signatures, records.finish())
    }

    /// Ends a query on behalf of another host, for which all parts were received directly. Returns
    /// the merged reply.
    pub fn finish_group(mut self) -> MergedParts {
        let may_have_run = self.may_have_run();
        self.finish_pending_in_background();
        let mut records = TopRecords::new(self.gather.top_records);
        let is_missing = |index: &usize| !self.direct_parts.contains_key(index);
        let tried = |index: usize| self.tried.get(&index).map(|tried| lock(tried).clone());
        let missing = (0..self.gather.shards.len())
            .filter(is_missing)
            .map(|index| (index as u32, tried(index).unwrap_or_default()))
            .collect();
        let mut parts = Vec::with_capacity(self.direct_parts.len());
        for (index, answer) in self.direct_parts {
            records.add(&answer.body);
            parts.push((index as u32, answer.signature.as_bytes().to_vec()));
        }
        MergedParts { parts, records: records.finish(), missing, may_have_run }
    }

    /// Returns whether a searcher may have run the request.
    pub fn may_have_run(&self) -> bool {
        if self.may_have_run || self.host.admission.is_none() {
            return self.may_have_run || !self.tasks.is_empty();
        }
        let was_sent = |index: &usize| {
            self.direct_in_flight[*index]
                && self.tried.get(index).is_some_and(|tried| !lock(tried).is_empty())
        };
        self.groups_in_flight > 0 || (0..self.gather.shards.len()).any(|index| was_sent(&index))
    }

    /// Waits a short time for the other aggregators of a query that one of them did not admit, since
    /// they are likely not to admit it either. Returns those that did not if no searcher may have
    /// run the request.
    pub async fn refusals(&mut self) -> Option<&[Aggregator]> {
        let until = now() + REFUSAL_WAIT;
        while !self.refused_by.is_empty() && self.groups_in_flight > 0 && !self.may_have_run {
            tokio::select! {
                biased;
                Some(result) = self.tasks.next() => self.handle_result(result),
                () = sleep_until(until) => break,
            }
        }
        let refused = !self.refused_by.is_empty() && !self.may_have_run();
        refused.then_some(&self.refused_by)
    }

    /// Moves the pending tasks to the background, and records the aggregators that are overdue.
    fn finish_pending_in_background(&mut self) {
        // An aggregator answers before the objective with the parts that it has, so one that is
        // overdue is treated as failing.
        let now = now();
        for (group, _) in self.pending_groups.iter().filter(|(_, at)| *at <= now) {
            self.host.relays.record_overdue(&group.aggregator, now);
        }
        self.finished.store(true, Ordering::Relaxed);
        let tasks = std::mem::take(&mut self.tasks);
        if !tasks.is_empty() {
            attempt::finish_in_background(tasks.for_each(|_| async {}));
        }
    }

    /// Queries one shard directly, after the attempts that were made through an aggregator. Does
    /// nothing if no further attempt is allowed.
    fn query_shard(&mut self, index: usize, earlier: EarlierAttempts) {
        let service = &self.gather.shards[index];
        let mut query = ShardQuery::new(self.host, self.request, service, &self.finished);
        query.allow_only(&self.allowed[index]);
        let is_allowed = match earlier {
            EarlierAttempts::None => true,
            EarlierAttempts::Unknown => query.charge_as_extra(),
            EarlierAttempts::Sent(tried) => query.continue_after(tried),
        };
        if !is_allowed {
            return;
        }
        self.tried.insert(index, query.tried());
        self.direct_in_flight[index] = true;
        self.pending_shards += 1;
        self.tasks.push(Box::pin(async move {
            let part = query.run(is_success).await;
            TaskResult::Shard { index, part, may_have_run: query.may_have_run() }
        }));
    }

    /// Queries a group of shards through its aggregator. `min_parts` is the number of parts of this
    /// group that the coverage floor requires even if all other queries succeed.
    fn query_group(
        &mut self,
        group: ShardGroup,
        min_parts: usize,
        objective: Instant,
        now: Instant,
    ) {
        self.pending_shards += group.shards.len();
        self.pending_groups.push((
            group.clone(),
            group.overdue_at(self.host, &self.request.route, objective, now),
        ));
        self.groups_in_flight += 1;
        let mut query =
            group.query(self.request, self.gather, &self.allowed, min_parts, objective, now);
        query.admission.clone_from(&self.admission);
        let (host, request) = (self.host.clone(), self.request.clone());
        self.tasks.push(Box::pin(async move {
            let reply = host.relays.gather(&group.aggregator, &request.route, query).await;
            TaskResult::Group { group, reply }
        }));
    }

    /// Takes over the result of a task.
    fn handle_result(&mut self, result: TaskResult) {
        match result {
            TaskResult::Shard { index, part, may_have_run } => {
                self.pending_shards -= 1;
                self.direct_in_flight[index] = false;
                self.may_have_run |= may_have_run;
                match part {
                    Ok(answer) if is_success(&answer) => {
                        self.may_have_run = true;
                        self.direct_parts.insert(index, answer);
                    }
                    Ok(_) => self.may_have_run = true,
                    Err(
                        ShardFailure::AttemptFailed(_)
                        | ShardFailure::Quarantined
                        | ShardFailure::Expired
                        | ShardFailure::NoSearcher,
                    ) => {}
                }
            }
            TaskResult::Group { group, reply } => {
                self.pending_shards -= group.shards.len();
                self.groups_in_flight -= 1;
                self.may_have_run |= match &reply {
                    Ok(GroupReply { result: GroupResult::Merged(parts), .. }) => {
                        parts.may_have_run || self.host.admission.is_none()
                    }
                    Ok(GroupReply { result: GroupResult::NotAdmitted, .. }) => false,
                    Err(GroupFailure::NotRun(_)) => self.host.admission.is_none(),
                    Err(GroupFailure::MayHaveRun(_)) => true,
                };
                let position = self.pending_groups.iter().position(|(other, _)| *other == group);
                let was_pending = position.map(|i| self.pending_groups.swap_remove(i)).is_some();
                match reply {
                    Ok(GroupReply { result, shares }) => {
                        self.limited |= !shares.is_empty();
                        let (host, aggregator) = (self.host, &group.aggregator);
                        admission::record_report(host, self.request, aggregator, shares, now());
                        match result {
                            GroupResult::Merged(parts) => self.add_group_parts(&group, parts),
                            GroupResult::NotAdmitted => self.refused_by.push(group.aggregator),
                        }
                    }
                    Err(failure) if was_pending => self.bypass_aggregator(&group, failure),
                    Err(_) => {}
                }
            }
        }
    }

    /// Adds the parts of an aggregator's reply, and marks the shards without a part as skipped. A
    /// reply with an invalid position or signature is dropped whole.
    fn add_group_parts(&mut self, group: &ShardGroup, reply: MergedParts) {
        let index_of = |position: u32| group.shards.get(position as usize).copied();
        let decode = |(position, signature): (u32, Vec<u8>)| {
            Some((index_of(position)?, Signature::from_bytes(&signature).ok()?))
        };
        let Some(parts) = reply.parts.into_iter().map(decode).collect::<Option<Vec<_>>>() else {
            Event::new("group_reply_unreadable").with("peer", &group.aggregator.host).warn();
            return;
        };
        for (position, tried) in reply.missing {
            if let Some(index) = index_of(position).filter(|i| !self.direct_parts.contains_key(i)) {
                let earlier = match tried.is_empty() {
                    true => EarlierAttempts::None,
                    false => EarlierAttempts::Sent(tried),
                };
                self.skip_shard(index, earlier);
            }
        }
        let mut signatures = Vec::with_capacity(parts.len());
        for (index, signature) in parts {
            self.received_from_aggregator[index] = true;
            signatures.push(signature);
        }
        self.aggregator_parts.push(AggregatorParts { signatures, records: reply.records });
    }

    /// Queries the shards of overdue aggregators directly.
    fn bypass_overdue(&mut self, now: Instant) {
        let pending = std::mem::take(&mut self.pending_groups);
        for (group, overdue_at) in pending {
            if now < overdue_at {
                self.pending_groups.push((group, overdue_at));
                continue;
            }
            // Its searchers are overloaded. Asking them again would make that worse.
            if self.limited
                && self
                    .host
                    .relays
                    .answered_since(&group.aggregator, now.checked_sub(WORKING_WINDOW))
            {
                self.pending_groups.push((group, self.request.deadline));
                continue;
            }
            self.host.relays.record_overdue(&group.aggregator, now);
            self.bypass_aggregator(&group, GroupFailure::MayHaveRun("the peer is overdue"));
        }
    }

    /// Queries the skipped shards, since the coverage floor cannot be met without them.
    fn query_skipped(&mut self) {
        for SkippedShard { index, earlier } in std::mem::take(&mut self.skipped) {
            if self.limited && earlier != EarlierAttempts::None {
                continue;
            }
            self.query_shard(index, earlier);
        }
    }

    /// Queries the shards of a group directly, because its aggregator failed or is overdue.
    fn bypass_aggregator(&mut self, group: &ShardGroup, failure: GroupFailure) {
        let (earlier, why) = match failure {
            GroupFailure::NotRun(why) => (EarlierAttempts::None, why),
            GroupFailure::MayHaveRun(why) => (EarlierAttempts::Unknown, why),
        };
        Event::new("peer_bypassed")
            .with("request", &self.request.inbound.id)
            .with("peer", &group.aggregator.host)
            .with("shards", group.shards.len())
            .with("why", why)
            .with("waited_ms", now().saturating_duration_since(self.request.arrived_at).as_millis())
            .info();
        for index in &group.shards {
            self.query_shard(*index, earlier.clone());
        }
    }
}

/// Queries one searcher of each shard and merges the parts that are received in time.
pub async fn scatter_gather(
    host: &Arc<Host>,
    request: &Arc<RoutedRequest>,
    gather: &Gather,
) -> Answer {
    let min_parts = gather.min_parts();
    if host.is_cut_off() && host.count_own_zone_shards(gather) < min_parts {
        return Answer::Refused(CALLER_RETRY_DELAY);
    }
    let has_evacuated_zones = host.fleet.has_evacuated_zones();
    // Before anything is sent: the other shards' work would be of no use.
    if has_evacuated_zones && count_permitted_shards(host, gather) < min_parts {
        return Answer::Refused(CALLER_RETRY_DELAY);
    }
    let started_at = now();
    let groups = group::group_shards(host, request, gather, started_at);
    let direct = group::direct_shards(gather, &groups);
    let direct_services = direct.iter().map(|index| &gather.shards[*index]);
    request.record_demand(host, direct_services.clone(), started_at);
    let access = direct_services
        .map(|shard| host.fleet.service(shard))
        .filter(|service| !has_evacuated_zones || service.has_permitted_searcher())
        .map(|service| match service.opens_at(started_at) {
            Some(at) => ShardAccess::ClosedUntil(at),
            None => ShardAccess::Open,
        });
    // What an aggregator may send is known to the aggregator only.
    let grouped = gather.shards.len() - direct.len();
    if let Some(until) = refuse_until(access, min_parts.saturating_sub(grouped)) {
        Event::new("refused_by_notices")
            .with("request", &request.inbound.id)
            .with("retry_after_ms", (until - started_at).as_millis())
            .info();
        return Answer::Refused(until - started_at);
    }
    let admission = match admission::admit_query(host, request, &groups, direct.len(), started_at) {
        Decision::Admitted(admission) => admission,
        Decision::Refused(after) => return Answer::Refused(after),
    };
    let wait_policy = new_wait_policy(host, request, direct.len(), groups.len());
    let all_listed = vec![Vec::new(); gather.shards.len()];
    let mut query = ScatterGather::new(host, request, gather, all_listed, admission);
    query.query_with_groups(groups, &direct, min_parts, wait_policy.objective());
    let expired = query.collect(&wait_policy, min_parts).await;
    let parts = query.received_parts();
    if parts >= min_parts {
        let (signatures, records) = query.finish();
        let missing = gather.shards.len() - signatures.len();
        return Answer::Gathered { signatures, missing, records };
    }
    let refused_by = query.refusals().await.map(<[Aggregator]>::to_vec);
    if let Some(aggregators) = refused_by
        && let Some(after) = admission::retry_after_group(host, request, &aggregators, now())
    {
        return Answer::Refused(after);
    }
    match (query.may_have_run(), expired) {
        (false, _) => {
            let searchers = request.index.as_ref();
            let retry_delay = searchers
                .and_then(|searchers| admission::retry_delay(host, request, searchers, now()));
            Answer::Refused(retry_delay.unwrap_or(CALLER_RETRY_DELAY))
        }
        (true, true) => Answer::TimedOut,
        (true, false) => Answer::Lost("too few shards answered"),
    }
}

/// Returns how many of the shards have a searcher outside of the evacuated zones.
fn count_permitted_shards(host: &Host, gather: &Gather) -> usize {
    let shards = gather.shards.iter();
    shards.filter(|shard| host.fleet.service(shard).has_permitted_searcher()).count()
}

/// Returns whether an answer holds the part of its shard.
fn is_success(answer: &SearcherAnswer) -> bool {
    answer.status.is_success()
}

/// Returns the wait policy of a query. The objective is measured at the caller, so the caller's
/// round trips and the time to process the answer are deducted.
fn new_wait_policy(
    host: &Host,
    request: &RoutedRequest,
    direct_shards: usize,
    groups: usize,
) -> WaitPolicy {
    let round_trip = host.settings.caller_round_trip;
    // A caller that opened a connection for the request spent one more round trip on it.
    let connect_time =
        if request.inbound.first_on_connection { round_trip } else { Duration::ZERO };
    let overhead =
        round_trip + connect_time + answer_processing_time(host.capacity(), direct_shards, groups);
    WaitPolicy::new(request.arrived_at, request.route.target_latency, overhead, request.deadline)
}
