//! Queries over many shards.

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
use galenaloft_policy::gathering::TopRecords;
use galenaloft_policy::gathering::WaitDecision;
use galenaloft_policy::gathering::WaitPolicy;
use galenaloft_policy::gathering::answer_processing_time;
use galenaloft_policy::gathering::select_shards;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::route::Gather;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_telemetry::log::Event;

use crate::host::Host;
use crate::peers::GroupReply;
use crate::query::RoutedRequest;
use crate::query::attempt;
use crate::query::group;
use crate::query::group::Group;
use crate::query::shard::ShardFailure;
use crate::query::shard::ShardQuery;

/// When a caller that got no answer may come back.
const BACK_AFTER: Duration = Duration::from_millis(300);

/// What one task of a query brings.
enum Done {
    /// One shard, whose request may have run even if it gave no part.
    Shard { index: usize, part: Result<SearcherAnswer, ShardFailure>, may_have_run: bool },
    /// A group of shards through a peer.
    Group { group: Group, reply: Result<GroupReply, &'static str> },
}

/// A shard that is asked only if the floor cannot be met without it.
#[derive(Debug, Clone, Copy)]
struct LeftOut {
    index: usize,
    /// Whether some searcher of it was asked already.
    asked: bool,
}

type Task = Pin<Box<dyn Future<Output = Done> + Send>>;

/// Parts that a peer merged.
struct Merged {
    signatures: Vec<Signature>,
    records: Vec<u8>,
}

/// The parts of one query as they come in.
pub struct Gathering<'a> {
    host: &'a Arc<Host>,
    request: &'a Arc<RoutedRequest>,
    gather: &'a Gather,
    over: Arc<AtomicBool>,
    running: FuturesUnordered<Task>,
    /// Shards that are asked directly, or through a peer, and have not ended.
    open: usize,
    /// Parts that came directly.
    direct: BTreeMap<usize, SearcherAnswer>,
    /// Parts that came through peers.
    merged: Vec<Merged>,
    /// Shards whose part came through a peer.
    through_peers: Vec<bool>,
    /// Groups whose peer has not answered, with the time when it is overdue.
    waiting: Vec<(Group, Instant)>,
    /// Shards that were not asked, or that a peer's answer left out.
    left_out: Vec<LeftOut>,
    /// For each shard the searchers that may be asked; none stands for all that are listed.
    allowed: Vec<Vec<SearcherId>>,
    may_have_run: bool,
}

impl<'a> Gathering<'a> {
    /// Prepares a query; nothing is sent yet. `allowed` has for each shard the searchers that may be
    /// asked, where none stands for all that are listed.
    pub fn new(
        host: &'a Arc<Host>,
        request: &'a Arc<RoutedRequest>,
        gather: &'a Gather,
        allowed: Vec<Vec<SearcherId>>,
    ) -> Self {
        Self {
            host,
            request,
            gather,
            over: Arc::new(AtomicBool::new(false)),
            running: FuturesUnordered::new(),
            open: 0,
            direct: BTreeMap::new(),
            merged: Vec::new(),
            through_peers: vec![false; gather.shards.len()],
            waiting: Vec::new(),
            left_out: Vec::new(),
            allowed,
            may_have_run: false,
        }
    }

    /// Asks one searcher of each shard directly, except for shards that would not answer in time
    /// and that the floor can do without.
    pub fn ask_directly(&mut self, min_parts: usize, objective: Instant) {
        let shards: Vec<usize> = (0..self.gather.shards.len()).collect();
        self.ask_shards(&shards, min_parts, objective, now());
    }

    /// Asks shards without a searcher in the own zone through hosts of theirs, others directly.
    pub fn ask_by_zone(&mut self, groups: Vec<Group>, min_parts: usize, objective: Instant) {
        let present = now();
        let through_peers: Vec<usize> = groups.iter().flat_map(|g| &g.shards).copied().collect();
        let all = 0..self.gather.shards.len();
        let direct: Vec<usize> = all.filter(|index| !through_peers.contains(index)).collect();
        let needed = min_parts.saturating_sub(through_peers.len());
        let asked = self.ask_shards(&direct, needed, objective, present);
        // What the direct shards leave of the share that may be missing is left to the groups.
        let needed = min_parts.saturating_sub(asked);
        self.name_searchers(&through_peers);
        for group in groups {
            let others = through_peers.len() - group.shards.len();
            self.ask_group(group, needed.saturating_sub(others), objective, present);
        }
    }

    /// Names the searchers of shards that have no more of them than attempts. Such a shard may be asked
    /// through a peer and again directly, since both keep to the searchers that are named.
    fn name_searchers(&mut self, shards: &[usize]) {
        for index in shards {
            let listed = self.host.fleet.service(&self.gather.shards[*index]).searchers();
            if listed.len() <= self.request.route.max_attempts as usize {
                self.allowed[*index] = listed.iter().map(|s| s.entry.id.clone()).collect();
            }
        }
    }

    /// Asks some shards directly. Returns how many.
    fn ask_shards(
        &mut self,
        shards: &[usize],
        min_parts: usize,
        objective: Instant,
        present: Instant,
    ) -> usize {
        let prior = self.host.latency_estimate(&self.request.route).median();
        let expected: Vec<Option<f64>> = shards
            .iter()
            .map(|index| self.host.fleet.service(&self.gather.shards[*index]))
            .map(|service| service.best_expected_latency(&self.request.route, prior, present))
            .collect();
        let draws: Vec<f64> = shards.iter().map(|_| rand::random()).collect();
        let time = objective.saturating_duration_since(present);
        let asked = select_shards(&expected, &draws, min_parts, time);
        for (index, asked) in shards.iter().zip(&asked) {
            match asked {
                true => self.ask_shard(*index, false),
                false => self.left_out.push(LeftOut { index: *index, asked: false }),
            }
        }
        let count = asked.iter().filter(|asked| **asked).count();
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

    /// Collects parts until all are there, or patience says to stop. Returns whether the time for
    /// any answer is over.
    pub async fn collect(&mut self, patience: &WaitPolicy, min_parts: usize) -> bool {
        loop {
            let parts = self.parts();
            if parts + self.open < min_parts {
                self.ask_left_out();
            }
            if self.running.is_empty() || parts + self.open < min_parts {
                return false;
            }
            if parts == self.gather.shards.len() {
                return false;
            }
            let present = now();
            let until = match patience.decide(parts, min_parts, present) {
                WaitDecision::Until(until) => until,
                WaitDecision::Answer => return false,
                WaitDecision::GiveUp => return true,
            };
            let overdue = self.waiting.iter().map(|(_, at)| *at).min();
            tokio::select! {
                biased;
                Some(done) = self.running.next() => self.note(done),
                () = sleep_until(overdue.map_or(until, |at| at.min(until))) => {
                    self.bypass_overdue(now());
                }
            }
        }
    }

    /// Returns how many shards are in.
    pub fn parts(&self) -> usize {
        let through_peers = self.through_peers.iter().filter(|there| **there).count();
        let direct = self.direct.keys().filter(|index| !self.through_peers[**index]).count();
        through_peers + direct
    }

    /// Ends the query: what still runs may end by itself. Returns signatures and records of the
    /// parts that are in, each direct part with the index of its shard.
    pub fn finish(mut self) -> (Vec<Signature>, Vec<u8>) {
        self.leave_rest();
        let mut records = TopRecords::new(self.gather.top_records);
        let mut signatures = Vec::with_capacity(self.gather.shards.len());
        for merged in self.merged {
            records.add(&merged.records);
            signatures.extend(merged.signatures);
        }
        for (index, answer) in self.direct {
            if !self.through_peers[index] {
                records.add(&answer.body);
                signatures.push(answer.signature);
            }
        }
        (signatures, records.finish())
    }

    /// Ends the query of a group, of which every part came directly.
    pub fn finish_group(mut self) -> GroupReply {
        self.leave_rest();
        let mut records = TopRecords::new(self.gather.top_records);
        let mut parts = Vec::with_capacity(self.direct.len());
        for (index, answer) in self.direct {
            records.add(&answer.body);
            parts.push((index as u32, answer.signature.as_bytes().to_vec()));
        }
        GroupReply { parts, records: records.finish() }
    }

    /// Returns whether some searcher may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || !self.running.is_empty()
    }

    fn leave_rest(&mut self) {
        // A peer answers with what it has before the objective: one that has not is in trouble.
        let present = now();
        for (group, _) in self.waiting.iter().filter(|(_, overdue)| *overdue <= present) {
            self.host.relays.note_overdue(&group.relay, present);
        }
        self.over.store(true, Ordering::Relaxed);
        let running = std::mem::take(&mut self.running);
        if !running.is_empty() {
            attempt::finish_in_background(running.for_each(|_| async {}));
        }
    }

    fn ask_shard(&mut self, index: usize, extra: bool) {
        let service = &self.gather.shards[index];
        let mut query = ShardQuery::new(self.host, self.request, service, &self.over);
        query.allow_only(&self.allowed[index]);
        if extra && !query.prepay() {
            return;
        }
        self.open += 1;
        self.running.push(Box::pin(async move {
            let part = query.run(is_part).await;
            Done::Shard { index, part, may_have_run: query.may_have_run() }
        }));
    }

    fn ask_group(&mut self, group: Group, min_parts: usize, objective: Instant, present: Instant) {
        self.open += group.shards.len();
        self.waiting.push((group.clone(), group.overdue_at(self.host, objective, present)));
        let query =
            group.query(self.request, self.gather, &self.allowed, min_parts, objective, present);
        let (host, request) = (self.host.clone(), self.request.clone());
        self.running.push(Box::pin(async move {
            let reply = host.relays.gather(&group.relay, &request.route, query).await;
            Done::Group { group, reply }
        }));
    }

    fn note(&mut self, done: Done) {
        match done {
            Done::Shard { index, part, may_have_run } => {
                self.open -= 1;
                self.may_have_run |= may_have_run;
                match part {
                    Ok(answer) if is_part(&answer) => {
                        self.may_have_run = true;
                        self.direct.insert(index, answer);
                    }
                    Ok(_) => self.may_have_run = true,
                    Err(
                        ShardFailure::AttemptFailed(_)
                        | ShardFailure::Expired
                        | ShardFailure::NoSearcher,
                    ) => {}
                }
            }
            Done::Group { group, reply } => {
                self.open -= group.shards.len();
                self.may_have_run = true;
                let waited = self.waiting.iter().position(|(waiting, _)| *waiting == group);
                let still_waiting = waited.map(|at| self.waiting.swap_remove(at)).is_some();
                match reply {
                    Ok(reply) => self.add_group(&group, reply),
                    Err(_) if still_waiting => self.bypass(&group),
                    Err(_) => {}
                }
            }
        }
    }

    fn add_group(&mut self, group: &Group, reply: GroupReply) {
        let there: Vec<usize> = reply.parts.iter().map(|(place, _)| *place as usize).collect();
        for (place, index) in group.shards.iter().enumerate() {
            if !there.contains(&place) && !self.direct.contains_key(index) {
                self.left_out.push(LeftOut { index: *index, asked: true });
            }
        }
        let mut signatures = Vec::with_capacity(reply.parts.len());
        for (place, signature) in reply.parts {
            let index = group.shards.get(place as usize).copied();
            let signature = Signature::from_bytes(&signature).ok();
            let (Some(index), Some(signature)) = (index, signature) else {
                return;
            };
            self.through_peers[index] = true;
            signatures.push(signature);
        }
        self.merged.push(Merged { signatures, records: reply.records });
    }

    /// Asks directly for the shards of peers that are overdue.
    fn bypass_overdue(&mut self, now: Instant) {
        let waiting = std::mem::take(&mut self.waiting);
        for (group, at) in waiting {
            if now < at {
                self.waiting.push((group, at));
                continue;
            }
            self.host.relays.note_overdue(&group.relay, now);
            self.bypass(&group);
        }
    }

    /// Asks for shards that were left out, since the floor cannot be met without them.
    fn ask_left_out(&mut self) {
        for LeftOut { index, asked } in std::mem::take(&mut self.left_out) {
            self.ask_shard(index, asked);
        }
    }

    fn bypass(&mut self, group: &Group) {
        Event::new("peer_bypassed")
            .with("request", &self.request.inbound.id)
            .with("peer", group.relay.name())
            .with("shards", group.shards.len())
            .with("waited_ms", now().saturating_duration_since(self.request.arrived_at).as_millis())
            .info();
        for index in &group.shards {
            self.ask_shard(*index, true);
        }
    }
}

/// Asks one searcher of each shard and merges the parts that come in time.
pub async fn gather(host: &Arc<Host>, request: &Arc<RoutedRequest>, gather: &Gather) -> Answer {
    let min_parts = gather.min_parts();
    if host.is_cut_off() && host.count_own_zone_shards(gather) < min_parts {
        return Answer::Refused(BACK_AFTER);
    }
    let groups = group::group_shards(host, request, gather, now());
    let patience = patience(host, request, gather, &groups);
    let all_listed = vec![Vec::new(); gather.shards.len()];
    let mut gathering = Gathering::new(host, request, gather, all_listed);
    gathering.ask_by_zone(groups, min_parts, patience.objective());
    let expired = gathering.collect(&patience, min_parts).await;
    let parts = gathering.parts();
    if parts >= min_parts {
        let (signatures, records) = gathering.finish();
        let missing = gather.shards.len() - signatures.len();
        return Answer::Gathered { signatures, missing, records };
    }
    match (gathering.may_have_run(), expired) {
        (false, _) => Answer::Refused(BACK_AFTER),
        (true, true) => Answer::TimedOut,
        (true, false) => Answer::Lost("too few shards answered"),
    }
}

fn is_part(answer: &SearcherAnswer) -> bool {
    answer.status.is_success()
}

fn patience(host: &Host, request: &RoutedRequest, gather: &Gather, groups: &[Group]) -> WaitPolicy {
    let round_trip = host.settings.caller_round_trip;
    // Opening a connection takes a caller one more round trip.
    let connects = if request.inbound.first_on_connection { round_trip } else { Duration::ZERO };
    let through_peers: usize = groups.iter().map(|group| group.shards.len()).sum();
    let direct = gather.shards.len().saturating_sub(through_peers);
    let way = round_trip + connects + answer_processing_time(host.capacity(), direct, groups.len());
    WaitPolicy::new(request.arrived_at, request.route.target_latency, way, request.deadline)
}
