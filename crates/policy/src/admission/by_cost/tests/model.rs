//! A queueing model of searchers and of the hosts that query them, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::admission::Draw;
use crate::admission::by_cost::HostAdmission;
use crate::admission::by_cost::Lane;
use crate::admission::by_cost::PartOutcome;
use crate::admission::by_cost::Work;
use crate::admission::by_cost::retry_after;
use crate::ids::HostId;
use crate::ids::Rank;
use crate::ids::RouteName;
use crate::ids::ServiceId;

/// Shards of the index.
const SHARDS: usize = 90;

/// Searchers of each shard, one in each zone.
const REPLICAS: usize = 3;

/// Requests that a searcher runs at a time, and that wait there.
const SLOTS: usize = 2;
const QUEUE: usize = 12;

/// Aggregators of each zone.
const AGGREGATORS: usize = 4;

/// Most hosts that all query searchers themselves.
const MAX_DIRECT_HOSTS: usize = 8;

/// Time of a message, in microseconds.
const MESSAGE: u64 = 500;

/// A kind of query.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub rank: Rank,
    /// Work of a part: least and greatest, in microseconds.
    pub work: (u64, u64),
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub coverage: f64,
}

pub const URGENT: Kind = Kind {
    name: "urgent",
    rank: 0,
    work: (5_000, 9_000),
    objective_ms: 65,
    deadline_ms: 900,
    coverage: 0.85,
};

pub const WIDE: Kind = Kind {
    name: "wide",
    rank: 1,
    work: (20_000, 28_000),
    objective_ms: 175,
    deadline_ms: 2_000,
    coverage: 0.95,
};

/// Load in some span of time: the work of each kind as a multiple of the searchers' capacity.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    pub seconds: f64,
    pub load: [f64; 2],
}

/// What is simulated.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub hosts: usize,
    pub phases: Vec<Phase>,
    /// Share of the callers that return at once, one time, after a refusal or failure.
    pub retrying: f64,
    /// Share of the searchers that are six times slower.
    pub slow: f64,
    /// Whether each searcher pauses for 200 ms in each 4.5 s.
    pub pauses: bool,
    pub admission: bool,
}

/// What became of the queries that arrived in one tenth of a second, by kind.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub offered: u32,
    pub served: u32,
    pub in_time: u32,
    pub refused: u32,
    pub failed: u32,
}

#[derive(Debug)]
pub struct Outcome {
    /// For each tenth of a second, by kind.
    pub tallies: Vec<[Tally; 2]>,
    /// Longest time from arrival to refusal, in microseconds.
    pub slowest_refusal: u64,
    /// Shortest and longest time that refused callers were told, in seconds.
    pub retry_after: (f64, f64),
}

impl Outcome {
    /// Sums up the tallies of a span of seconds.
    pub fn sum(&self, kind: usize, from: f64, to: f64) -> Tally {
        let mut sum = Tally::default();
        for tally in &self.tallies[(from * 10.0) as usize..(to * 10.0) as usize] {
            let tally = tally[kind];
            sum.offered += tally.offered;
            sum.served += tally.served;
            sum.in_time += tally.in_time;
            sum.refused += tally.refused;
            sum.failed += tally.failed;
        }
        sum
    }

    /// Served share of a kind in a span of seconds.
    pub fn served(&self, kind: usize, from: f64, to: f64) -> f64 {
        let sum = self.sum(kind, from, to);
        f64::from(sum.served) / f64::from(sum.offered.max(1))
    }

    /// Work of the served queries in a span of seconds, as a share of the capacity.
    pub fn goodput(&self, from: f64, to: f64) -> f64 {
        let work: f64 = [URGENT, WIDE]
            .iter()
            .enumerate()
            .map(|(i, kind)| f64::from(self.sum(i, from, to).served) * mean_work(kind))
            .sum();
        work / ((to - from) * (REPLICAS * SLOTS) as f64)
    }
}

fn mean_work(kind: &Kind) -> f64 {
    (kind.work.0 + kind.work.1) as f64 / 2e6
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { kind: usize, is_retry: bool },
    GroupArrives { query: usize, group: usize },
    PartArrives { part: usize },
    RunEnds { searcher: usize, part: usize },
    Resumes { searcher: usize },
    Answered { part: usize },
    Rejected { part: usize },
    GroupReplies { query: usize, group: usize },
    Objective { query: usize },
    Deadline { query: usize },
}

#[derive(Debug)]
struct Searcher {
    running: usize,
    queue: VecDeque<usize>,
    slowness: u64,
    paused_until: u64,
    pause_phase: u64,
}

#[derive(Debug)]
struct Part {
    query: usize,
    group: usize,
    shard: usize,
    searcher: usize,
    started_at: u64,
    retried: bool,
    done: bool,
}

#[derive(Debug)]
struct Group {
    aggregator: usize,
    shards: Vec<usize>,
    parts: Vec<usize>,
    open: usize,
    received: usize,
    replied: bool,
    refused: bool,
}

#[derive(Debug)]
struct Query {
    kind: usize,
    id: String,
    coordinator: usize,
    arrived_at: u64,
    is_retry: bool,
    share: f64,
    groups: Vec<Group>,
    /// Parts received from groups that have replied.
    received: usize,
    ended: bool,
}

pub struct Model {
    scenario: Scenario,
    rng: StdRng,
    base: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    searchers: Vec<Searcher>,
    queries: Vec<Query>,
    parts: Vec<Part>,
    hosts: Vec<HostAdmission>,
    names: Vec<HostId>,
    /// Requests of each aggregator that are running at each searcher.
    outstanding: Vec<Vec<u32>>,
    /// Latency that each aggregator last saw of each searcher, in microseconds.
    seen: Vec<Vec<u64>>,
    routes: [RouteName; 2],
    index: ServiceId,
    outcome: Outcome,
}

pub fn simulate(scenario: Scenario) -> Outcome {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let searchers = (0..SHARDS * REPLICAS)
        .map(|_| Searcher {
            running: 0,
            queue: VecDeque::new(),
            slowness: if rng.random_bool(scenario.slow) { 6 } else { 1 },
            paused_until: 0,
            pause_phase: rng.random_range(0..4_500_000),
        })
        .collect();
    let seconds: f64 = scenario.phases.iter().map(|phase| phase.seconds).sum();
    let hosts = scenario.hosts;
    let mut model = Model {
        rng,
        base: Instant::now(),
        now: 0,
        events: BinaryHeap::new(),
        next_event: 0,
        searchers,
        queries: Vec::new(),
        parts: Vec::new(),
        hosts: (0..hosts).map(|_| HostAdmission::default()).collect(),
        names: (0..hosts).map(|i| format!("h{i}").into()).collect(),
        outstanding: vec![vec![0; SHARDS * REPLICAS]; hosts.min(REPLICAS * AGGREGATORS)],
        seen: vec![vec![0; SHARDS * REPLICAS]; hosts.min(REPLICAS * AGGREGATORS)],
        routes: [URGENT.name.into(), WIDE.name.into()],
        index: "index".into(),
        outcome: Outcome {
            tallies: vec![[Tally::default(); 2]; (seconds * 10.0) as usize + 1],
            slowest_refusal: 0,
            retry_after: (f64::INFINITY, 0.0),
        },
        scenario,
    };
    model.schedule_arrivals();
    if model.scenario.pauses {
        for searcher in 0..model.searchers.len() {
            let at = model.searchers[searcher].pause_phase;
            model.at(at, Event::Resumes { searcher });
        }
    }
    model.run((seconds * 1e6) as u64);
    model.outcome
}

impl Model {
    fn instant(&self) -> Instant {
        self.base + Duration::from_micros(self.now)
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn schedule_arrivals(&mut self) {
        let mut start = 0.0;
        for phase in self.scenario.phases.clone() {
            for (i, kind) in [URGENT, WIDE].iter().enumerate() {
                let rate = phase.load[i] * (REPLICAS * SLOTS) as f64 / mean_work(kind);
                if rate <= 0.0 {
                    continue;
                }
                let mut at = 0.0;
                loop {
                    at += -(1.0 - self.rng.random::<f64>()).ln() / rate;
                    if at >= phase.seconds {
                        break;
                    }
                    self.at(
                        ((start + at) * 1e6) as u64,
                        Event::Arrive { kind: i, is_retry: false },
                    );
                }
            }
            start += phase.seconds;
        }
    }

    fn run(&mut self, end: u64) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end + 5_000_000 {
                break;
            }
            self.now = at;
            match event {
                Event::Arrive { kind, is_retry } if at < end => self.arrive(kind, is_retry),
                Event::Arrive { .. } => {}
                Event::GroupArrives { query, group } => self.group_arrives(query, group),
                Event::PartArrives { part } => self.part_arrives(part),
                Event::RunEnds { searcher, part } => self.run_ends(searcher, part),
                Event::Resumes { searcher } => self.pause_or_resume(searcher),
                Event::Answered { part } => self.part_ends(part, true),
                Event::Rejected { part } => self.rejected(part),
                Event::GroupReplies { query, group } => self.group_replies(query, group),
                Event::Objective { query } => self.objective_passes(query),
                Event::Deadline { query } => self.end(query, false),
            }
        }
    }

    fn kind(&self, query: usize) -> Kind {
        [URGENT, WIDE][self.queries[query].kind]
    }

    fn floor(&self, query: usize) -> usize {
        (self.kind(query).coverage * SHARDS as f64 - 1e-9).ceil() as usize
    }

    fn tally(&mut self, query: usize) -> &mut Tally {
        let (at, kind) = (self.queries[query].arrived_at, self.queries[query].kind);
        &mut self.outcome.tallies[(at / 100_000) as usize][kind]
    }

    fn arrive(&mut self, kind: usize, is_retry: bool) {
        let query = self.queries.len();
        let hosts = self.scenario.hosts;
        let coordinator = self.rng.random_range(0..hosts);
        // Half of the aggregators of the zone share a query.
        let aggregators: Vec<usize> = match hosts <= MAX_DIRECT_HOSTS {
            true => vec![coordinator],
            false => {
                let zone = coordinator % REPLICAS;
                (0..AGGREGATORS).map(|i| i * REPLICAS + zone).collect()
            }
        };
        let count = aggregators.len();
        let groups: Vec<Group> = aggregators
            .into_iter()
            .enumerate()
            .map(|(i, aggregator)| Group {
                aggregator,
                shards: (0..SHARDS).filter(|shard| shard % count == i).collect(),
                parts: Vec::new(),
                open: 0,
                received: 0,
                replied: false,
                refused: false,
            })
            .collect();
        self.queries.push(Query {
            kind,
            id: format!("{}-{query}", self.scenario.seed),
            coordinator,
            arrived_at: self.now,
            is_retry,
            share: 1.0,
            groups,
            received: 0,
            ended: false,
        });
        if !is_retry {
            self.tally(query).offered += 1;
        }
        if self.scenario.admission && !self.is_admitted(query) {
            return;
        }
        let settings = [URGENT, WIDE][kind];
        self.at(self.now + settings.objective_ms * 1_000 * 9 / 10, Event::Objective { query });
        self.at(self.now + settings.deadline_ms * 1_000, Event::Deadline { query });
        for group in 0..self.queries[query].groups.len() {
            match self.is_direct() {
                true => self.start_group(query, group),
                false => self.at(self.now + MESSAGE, Event::GroupArrives { query, group }),
            }
        }
    }

    fn is_direct(&self) -> bool {
        self.scenario.hosts <= MAX_DIRECT_HOSTS
    }

    fn work<'a>(routes: &'a [RouteName; 2], kind: usize, parts: usize) -> Work<'a> {
        let settings = [URGENT, WIDE][kind];
        Work {
            route: &routes[kind],
            rank: settings.rank,
            objective: Duration::from_millis(settings.objective_ms),
            parts,
            time_left: Duration::from_millis(settings.deadline_ms),
        }
    }

    /// Decides, as the coordinator, whether a query is admitted. Refuses it otherwise.
    fn is_admitted(&mut self, query: usize) -> bool {
        let now = self.instant();
        let q = &self.queries[query];
        let route = &self.routes[q.kind];
        let admission = &mut self.hosts[q.coordinator];
        let mut share = 1.0_f64;
        if q.groups.len() == 1 {
            let controller = admission.controller(&self.index, now);
            let work = Self::work(&self.routes, q.kind, SHARDS);
            controller.record_offered(&work, Lane::Timely, 1.0, now);
            share = controller.share(route, Lane::Timely, now);
        } else {
            for group in &q.groups {
                let name = &self.names[group.aggregator];
                let reported =
                    admission.reported_share(name, &self.index, route, Lane::Timely, now);
                share = share.min(reported);
            }
        }
        let draw = Draw::from_request_id(&q.id);
        if draw.is_below(share) {
            self.queries[query].share = share;
            return true;
        }
        self.refuse(query, retry_after(draw, share));
        false
    }

    fn refuse(&mut self, query: usize, retry_after: Duration) {
        let (after, arrived) = (retry_after.as_secs_f64(), self.queries[query].arrived_at);
        let (least, most) = self.outcome.retry_after;
        self.outcome.retry_after = (least.min(after), most.max(after));
        self.outcome.slowest_refusal = self.outcome.slowest_refusal.max(self.now - arrived);
        self.tally(query).refused += 1;
        self.queries[query].ended = true;
        self.retry(query);
    }

    fn retry(&mut self, query: usize) {
        let (kind, is_retry) = (self.queries[query].kind, self.queries[query].is_retry);
        if !is_retry && self.rng.random_bool(self.scenario.retrying) {
            self.at(self.now + 2 * MESSAGE, Event::Arrive { kind, is_retry: true });
        }
    }

    fn group_arrives(&mut self, query: usize, group: usize) {
        if self.queries[query].ended {
            return;
        }
        if self.scenario.admission {
            let now = self.instant();
            let q = &self.queries[query];
            let work = Self::work(&self.routes, q.kind, q.groups[group].shards.len());
            let aggregator = q.groups[group].aggregator;
            let controller = self.hosts[aggregator].controller(&self.index, now);
            controller.record_offered(&work, Lane::Timely, q.share, now);
            let draw = Draw::from_request_id(&q.id);
            if !controller.tolerates(&self.routes[q.kind], Lane::Timely, draw, now) {
                self.queries[query].groups[group].refused = true;
                self.at(self.now + MESSAGE, Event::GroupReplies { query, group });
                return;
            }
        }
        self.start_group(query, group);
    }

    fn start_group(&mut self, query: usize, group: usize) {
        let now = self.instant();
        let q = &self.queries[query];
        let (aggregator, shards) = (q.groups[group].aggregator, q.groups[group].shards.clone());
        if self.scenario.admission {
            let controller = self.hosts[aggregator].controller(&self.index, now);
            controller.record_admitted(&self.routes[q.kind], shards.len());
        }
        self.queries[query].groups[group].open = shards.len();
        for shard in shards {
            let part = self.parts.len();
            let searcher = self.choose(aggregator, shard, None);
            self.parts.push(Part {
                query,
                group,
                shard,
                searcher,
                started_at: self.now,
                retried: false,
                done: false,
            });
            self.queries[query].groups[group].parts.push(part);
            self.outstanding[aggregator][searcher] += 1;
            self.at(self.now + MESSAGE, Event::PartArrives { part });
        }
    }

    /// Chooses the searcher that is expected to answer first, as far as the host knows.
    fn choose(&mut self, aggregator: usize, shard: usize, not: Option<usize>) -> usize {
        let offset = self.rng.random_range(0..REPLICAS);
        (0..REPLICAS)
            .map(|i| shard * REPLICAS + (i + offset) % REPLICAS)
            .filter(|searcher| Some(*searcher) != not)
            .min_by_key(|searcher| {
                let running = u64::from(self.outstanding[aggregator][*searcher]);
                self.seen[aggregator][*searcher] * (1 + running / SLOTS as u64)
            })
            .unwrap_or(shard * REPLICAS)
    }

    fn part_arrives(&mut self, part: usize) {
        if self.parts[part].done {
            return;
        }
        let searcher = self.parts[part].searcher;
        if self.searchers[searcher].running < SLOTS
            && self.now >= self.searchers[searcher].paused_until
        {
            self.start_run(searcher, part);
        } else if self.searchers[searcher].queue.len() < QUEUE {
            self.searchers[searcher].queue.push_back(part);
        } else {
            self.at(self.now + MESSAGE, Event::Rejected { part });
        }
    }

    fn start_run(&mut self, searcher: usize, part: usize) {
        let kind = self.kind(self.parts[part].query);
        let work = self.rng.random_range(kind.work.0..=kind.work.1);
        self.searchers[searcher].running += 1;
        let ends = self.now + work * self.searchers[searcher].slowness;
        self.at(ends, Event::RunEnds { searcher, part });
    }

    fn run_ends(&mut self, searcher: usize, part: usize) {
        if self.now < self.searchers[searcher].paused_until {
            let at = self.searchers[searcher].paused_until;
            self.at(at, Event::RunEnds { searcher, part });
            return;
        }
        self.searchers[searcher].running -= 1;
        self.at(self.now + MESSAGE, Event::Answered { part });
        self.start_waiting(searcher);
    }

    fn start_waiting(&mut self, searcher: usize) {
        while self.searchers[searcher].running < SLOTS {
            let Some(next) = self.searchers[searcher].queue.pop_front() else {
                return;
            };
            if !self.parts[next].done {
                self.start_run(searcher, next);
            }
        }
    }

    fn pause_or_resume(&mut self, searcher: usize) {
        if self.now == self.searchers[searcher].paused_until {
            self.start_waiting(searcher);
            self.at(self.now + 4_300_000, Event::Resumes { searcher });
        } else {
            self.searchers[searcher].paused_until = self.now + 200_000;
            self.at(self.now + 200_000, Event::Resumes { searcher });
        }
    }

    fn record(&mut self, part: usize, outcome: PartOutcome) {
        if !self.scenario.admission {
            return;
        }
        let now = self.instant();
        let p = &self.parts[part];
        let q = &self.queries[p.query];
        let started = self.base + Duration::from_micros(p.started_at);
        let aggregator = q.groups[p.group].aggregator;
        let controller = self.hosts[aggregator].controller(&self.index, now);
        controller.record_outcome(&self.routes[q.kind], outcome, started, now);
    }

    fn release(&mut self, part: usize) -> usize {
        let p = &self.parts[part];
        let aggregator = self.queries[p.query].groups[p.group].aggregator;
        let (searcher, started_at) = (p.searcher, p.started_at);
        let outstanding = &mut self.outstanding[aggregator][searcher];
        *outstanding = outstanding.saturating_sub(1);
        let latency = self.now - started_at;
        let seen = &mut self.seen[aggregator][searcher];
        *seen = if *seen == 0 { latency } else { (*seen * 7 + latency) / 8 };
        aggregator
    }

    fn rejected(&mut self, part: usize) {
        if self.parts[part].done {
            return;
        }
        self.record(part, PartOutcome::Rejected);
        let aggregator = self.release(part);
        let route = self.routes[self.queries[self.parts[part].query].kind].clone();
        let now = self.instant();
        let may_retry = !self.scenario.admission
            || self.hosts[aggregator].controller(&self.index, now).allows_retries(&route, now);
        if self.parts[part].retried || !may_retry {
            self.part_ends(part, false);
            return;
        }
        let searcher =
            self.choose(aggregator, self.parts[part].shard, Some(self.parts[part].searcher));
        self.parts[part].searcher = searcher;
        self.parts[part].retried = true;
        self.outstanding[aggregator][searcher] += 1;
        self.at(self.now + MESSAGE, Event::PartArrives { part });
    }

    fn part_ends(&mut self, part: usize, answered: bool) {
        if self.parts[part].done {
            return;
        }
        if answered {
            self.record(part, PartOutcome::Answered);
            self.release(part);
        }
        self.parts[part].done = true;
        let (query, group) = (self.parts[part].query, self.parts[part].group);
        let direct = self.is_direct();
        let g = &mut self.queries[query].groups[group];
        g.open -= 1;
        g.received += usize::from(answered);
        let shards = g.shards.len();
        if direct {
            self.queries[query].received += usize::from(answered);
            self.check(query);
            return;
        }
        let needed = (self.kind(query).coverage * shards as f64).ceil() as usize;
        let late = self.now >= self.queries[query].arrived_at + self.kind(query).objective_ms * 900;
        let g = &self.queries[query].groups[group];
        if !g.replied && (g.open == 0 || (late && g.received >= needed)) {
            self.at(self.now + MESSAGE, Event::GroupReplies { query, group });
        }
    }

    fn group_replies(&mut self, query: usize, group: usize) {
        if self.queries[query].groups[group].replied {
            return;
        }
        self.queries[query].groups[group].replied = true;
        if self.scenario.admission {
            let now = self.instant();
            let aggregator = self.queries[query].groups[group].aggregator;
            let shares = self.hosts[aggregator].controller(&self.index, now).report(now);
            let coordinator = self.queries[query].coordinator;
            let name = self.names[aggregator].clone();
            self.hosts[coordinator].record_report(&name, &self.index, shares, now);
        }
        self.abandon(query, group);
        let received = self.queries[query].groups[group].received;
        self.queries[query].received += received;
        self.check(query);
    }

    fn abandon(&mut self, query: usize, group: usize) {
        for part in self.queries[query].groups[group].parts.clone() {
            if !self.parts[part].done {
                self.record(part, PartOutcome::Abandoned);
                self.release(part);
                self.parts[part].done = true;
            }
        }
    }

    /// Ends a query that has all parts or that can no longer get enough.
    fn check(&mut self, query: usize) {
        let q = &self.queries[query];
        if q.ended {
            return;
        }
        let direct = self.is_direct();
        let pending: usize = q
            .groups
            .iter()
            .filter(|group| !group.replied && !group.refused)
            .map(|group| if direct { group.open } else { group.shards.len() })
            .sum();
        let objective = q.arrived_at + self.kind(query).objective_ms * 900;
        let floor = self.floor(query);
        if q.received >= SHARDS || (q.received >= floor && (pending == 0 || self.now >= objective))
        {
            self.end(query, true);
        } else if q.received + pending < floor {
            self.end(query, false);
        }
    }

    fn objective_passes(&mut self, query: usize) {
        if self.queries[query].ended {
            return;
        }
        if !self.is_direct() {
            for group in 0..self.queries[query].groups.len() {
                let g = &self.queries[query].groups[group];
                let needed = (self.kind(query).coverage * g.shards.len() as f64).ceil() as usize;
                if !g.replied && g.received >= needed {
                    self.group_replies(query, group);
                }
            }
        }
        self.check(query);
    }

    fn end(&mut self, query: usize, served: bool) {
        if self.queries[query].ended {
            return;
        }
        self.queries[query].ended = true;
        for group in 0..self.queries[query].groups.len() {
            self.abandon(query, group);
        }
        let objective = self.kind(query).objective_ms * 1_000;
        let in_time = self.now - self.queries[query].arrived_at <= objective;
        let ran = self.queries[query].groups.iter().any(|group| !group.parts.is_empty());
        if served {
            let tally = self.tally(query);
            tally.served += 1;
            tally.in_time += u32::from(in_time);
            return;
        }
        if !ran {
            self.refuse(query, Duration::from_millis(100));
            return;
        }
        self.tally(query).failed += 1;
        self.retry(query);
    }
}
