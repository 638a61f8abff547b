use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::EXPECTED_DRAW;
use super::ObservedLoad;
use crate::ids::RouteName;
use crate::notice::StatedLoad;
use crate::routing::ReplicaView;
use crate::routing::SearcherHealth;
use crate::routing::is_hedge_useful;

const MS: Duration = Duration::from_millis(1);

/// Step of the played time.
const STEP: Duration = Duration::from_micros(500);

/// Time on the way to a searcher, and back.
const ONE_WAY: Duration = Duration::from_micros(500);

/// Time that a request takes once it runs.
const WORK: Duration = Duration::from_millis(28);

const SEARCHERS: usize = 3;
const SLOTS: usize = 2;

/// Time at the begin in which hosts learn what is usual, which is not counted.
const LEARNING: Duration = Duration::from_secs(5);

/// What happened to the searchers of a played fleet.
#[derive(Debug, Default)]
struct Outcome {
    /// Longest queue of any searcher, without the requests that run.
    max_queue: usize,
    /// Waits for a slot.
    waits: Vec<Duration>,
    /// Average of the waits.
    mean_wait: Duration,
    /// Time in which some searcher was idle while another had a queue.
    idle_share: f64,
    /// Longest time for which this lasted.
    longest_idle: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    host: usize,
    sent_at: Duration,
    arrives_at: Duration,
}

#[derive(Debug, Default)]
struct Searcher {
    on_the_way: VecDeque<Request>,
    queue: VecDeque<Request>,
    /// Requests that run, with their ends.
    running: Vec<(Duration, Request)>,
}

#[derive(Debug, Clone, Copy)]
struct Answer {
    arrives_at: Duration,
    searcher: usize,
    request: Request,
    load: StatedLoad,
}

/// A fleet whose hosts send requests to the searchers of one shard.
struct Fleet {
    hosts: usize,
    /// Whether the searchers state their load.
    states: bool,
    /// Whether the request that is answered counts in the statement.
    counts_answered: bool,
    /// Requests of all hosts together, as a share of what the searchers can run.
    utilization: f64,
    seed: u64,
}

impl Fleet {
    fn play(&self, time: Duration) -> Outcome {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let start = Instant::now();
        let route: RouteName = "sweep".into();
        let view = view(&route);
        let mut health: Vec<Vec<SearcherHealth>> = (0..self.hosts)
            .map(|_| (0..SEARCHERS).map(|_| SearcherHealth::default()).collect())
            .collect();
        let mut searchers: Vec<Searcher> = (0..SEARCHERS).map(|_| Searcher::default()).collect();
        let mut answers: Vec<Answer> = Vec::new();
        let mut outcome = Outcome::default();
        let rate = self.utilization * (SEARCHERS * SLOTS) as f64 / WORK.as_secs_f64();
        let (mut at, mut idle_steps) = (Duration::ZERO, 0);
        let mut idle_since = [None; SEARCHERS];
        while at < time {
            let now = start + at;
            for answer in answers.extract_if(.., |answer| answer.arrives_at <= at) {
                let health = &mut health[answer.request.host][answer.searcher];
                if self.states {
                    health.record_load(answer.load, now);
                }
                health.record_answer(&route, at - answer.request.sent_at, now);
                health.record_ended(start + answer.request.sent_at);
            }
            if rng.random::<f64>() < rate * STEP.as_secs_f64() {
                let host = rng.random_range(0..self.hosts);
                let draws: Vec<f64> = (0..SEARCHERS).map(|_| rng.random()).collect();
                let cost = |searcher: &usize| {
                    health[host][*searcher].drawn_cost(&view, draws[*searcher], now)
                };
                let chosen = (0..SEARCHERS).min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap();
                health[host][chosen].record_sent(now);
                let request = Request { host, sent_at: at, arrives_at: at + ONE_WAY };
                searchers[chosen].on_the_way.push_back(request);
            }
            for (number, searcher) in searchers.iter_mut().enumerate() {
                for answer in searcher.step(at, self.counts_answered, &mut rng, &mut outcome) {
                    answers.push(Answer { searcher: number, ..answer });
                }
            }
            if at >= LEARNING {
                let queue = searchers.iter().map(|searcher| searcher.queue.len()).max().unwrap();
                outcome.max_queue = outcome.max_queue.max(queue);
                for (searcher, idle_since) in searchers.iter().zip(&mut idle_since) {
                    let idles = searcher.running.is_empty() && queue > 0;
                    *idle_since = idles.then(|| idle_since.unwrap_or(at));
                    let lasted = idle_since.map_or(Duration::ZERO, |since| at + STEP - since);
                    outcome.longest_idle = outcome.longest_idle.max(lasted);
                }
                idle_steps += u32::from(idle_since.iter().any(Option::is_some));
            }
            at += STEP;
        }
        let counted = (time - LEARNING).as_secs_f64();
        outcome.idle_share = f64::from(idle_steps) * STEP.as_secs_f64() / counted;
        let waits = std::mem::take(&mut outcome.waits);
        outcome.mean_wait = waits.iter().sum::<Duration>() / waits.len() as u32;
        outcome
    }
}

impl Searcher {
    /// Plays a step and returns the answers that are sent.
    fn step(
        &mut self,
        at: Duration,
        counts_answered: bool,
        rng: &mut StdRng,
        outcome: &mut Outcome,
    ) -> Vec<Answer> {
        while self.on_the_way.front().is_some_and(|request| request.arrives_at <= at) {
            self.queue.extend(self.on_the_way.pop_front());
        }
        let ended: Vec<(Duration, Request)> =
            self.running.extract_if(.., |(end, _)| *end <= at).collect();
        let mut answers = Vec::new();
        for (_, request) in ended {
            let load = StatedLoad {
                running: self.running.len() as u32 + u32::from(counts_answered),
                waiting: self.queue.len() as u32,
                slots: SLOTS as u32,
                slowness: 1.0,
                after_run: true,
            };
            answers.push(Answer { arrives_at: at + ONE_WAY, searcher: 0, request, load });
        }
        while self.running.len() < SLOTS
            && let Some(request) = self.queue.pop_front()
        {
            if at >= LEARNING {
                outcome.waits.push(at - request.arrives_at);
            }
            let work = WORK.mul_f64(rng.random_range(0.85..1.15));
            self.running.push((at + work, request));
        }
        answers
    }
}

/// Longest time for which a searcher may be idle while another one has a queue. A host of the largest
/// fleet hears of a searcher only about once a second.
const MAX_IDLE: Duration = Duration::from_millis(8 * 28);

/// Returns the worst figures of some fleets.
fn worst_of(hosts: usize, states: bool, counts_answered: bool) -> Outcome {
    let mut worst = Outcome::default();
    for seed in 0..5 {
        let fleet = Fleet { hosts, states, counts_answered, utilization: 0.7, seed };
        let outcome = fleet.play(Duration::from_secs(20));
        worst.max_queue = worst.max_queue.max(outcome.max_queue);
        worst.mean_wait = worst.mean_wait.max(outcome.mean_wait);
        worst.longest_idle = worst.longest_idle.max(outcome.longest_idle);
        worst.idle_share = worst.idle_share.max(outcome.idle_share);
    }
    println!("{hosts} hosts, load stated {states}, answered counted {counts_answered}: {worst:?}");
    worst
}

/// Guards against hosts that all choose the searcher that was idle a moment ago.
#[test]
fn many_hosts_that_hear_of_an_idle_searcher_do_not_all_choose_it() {
    for hosts in [8, 65] {
        let ignored = worst_of(hosts, false, false);
        for counts_answered in [false, true] {
            let used = worst_of(hosts, true, counts_answered);
            let case = format!("{hosts} hosts, {used:?}, with load ignored {ignored:?}");
            assert!(used.max_queue < ignored.max_queue, "{case}");
            assert!(used.mean_wait < ignored.mean_wait, "{case}");
            assert!(used.idle_share < ignored.idle_share, "{case}");
            assert!(used.longest_idle <= MAX_IDLE, "{case}");
        }
    }
}

/// Guards against a statement that keeps its weight: all hosts that heard the same one would still choose
/// the same searcher when it has long been full.
#[test]
fn hosts_that_heard_the_same_statement_spread_within_the_time_of_a_request() {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    for hosts in [8, 65, 300] {
        let mut chosen = 0;
        for _ in 0..hosts {
            let route = "sweep".into();
            let searchers = [stated(0, 0), stated(2, 1), stated(2, 1)].map(|load| {
                let mut health = answered(Some(stated(2, 1)), WORK, start);
                let heard = StatedLoad { after_run: false, ..load };
                health.record_load(heard, start + 1_000 * MS);
                health
            });
            let draws: [f64; SEARCHERS] = rng.random();
            let choice_at = |at: Instant| {
                let cost = |number: &usize| {
                    searchers[*number].drawn_cost(&view(&route), draws[*number], at)
                };
                (0..SEARCHERS).min_by(|a, b| cost(a).total_cmp(&cost(b)))
            };
            assert_eq!(choice_at(start + 1_000 * MS), Some(0));
            chosen += usize::from(choice_at(start + 1_000 * MS + 3 * WORK) == Some(0));
        }
        let share = chosen as f64 / f64::from(hosts);
        assert!((0.33..0.9).contains(&share), "{hosts} hosts: {share}");
    }
}

fn stated(running: u32, waiting: u32) -> StatedLoad {
    StatedLoad { running, waiting, slots: 2, slowness: 1.0, after_run: true }
}

/// Guards against a statement that is believed for longer than it can be true.
#[test]
fn a_statement_fades_to_the_average_within_the_time_of_its_requests() {
    let start = Instant::now();
    let work = WORK.as_secs_f64();
    let busy = ObservedLoad::new(stated(2, 0), 1, None, start);
    let idle = ObservedLoad::new(stated(1, 0), 1, Some(&busy), start + 1_000 * MS);
    let wait = |load: &ObservedLoad, age: u32| {
        load.wait(0, work, EXPECTED_DRAW, start + 1_000 * MS + age * MS)
    };
    assert!(wait(&idle, 0) < wait(&idle, 28) && wait(&idle, 28) < wait(&idle, 280));
    let at_average = wait(&idle, 500);
    assert!((wait(&idle, 280) - at_average).abs() < 0.01 * work);
    let deep = ObservedLoad::new(stated(2, 10), 1, None, start + 1_000 * MS);
    assert!(wait(&deep, 28) > 4.0 * work);
    assert!(!idle.is_current(start + 12_000 * MS));
}

/// Guards against hosts that all draw the same number from the same old statement.
#[test]
fn a_draw_changes_what_is_unknown_and_nothing_else() {
    let now = Instant::now();
    let work = WORK.as_secs_f64();
    let load = ObservedLoad::new(stated(3, 0), 1, None, now);
    let wait = |draw: f64, age: u32| load.wait(0, work, draw, now + age * MS);
    assert_eq!(wait(0.1, 0), wait(0.9, 0));
    assert!(wait(0.1, 200) < wait(EXPECTED_DRAW, 200));
    assert!(wait(EXPECTED_DRAW, 200) < wait(0.9, 200));
}

/// Guards against own requests that are counted twice, whether or not a searcher counts the request
/// that it answers.
#[test]
fn own_requests_are_not_counted_among_those_of_others() {
    let now = Instant::now();
    let wait = |load: &ObservedLoad| load.wait(0, 1.0, EXPECTED_DRAW, now);
    let idle = wait(&ObservedLoad::new(stated(0, 0), 1, None, now));
    let counted = ObservedLoad::new(stated(3, 0), 3, None, now);
    assert_eq!(wait(&counted), idle);
    let not_counted = ObservedLoad::new(stated(0, 0), 1, Some(&counted), now);
    let others = ObservedLoad::new(stated(3, 0), 3, Some(&not_counted), now);
    assert!(wait(&others) > idle);
    let from_probe = StatedLoad { after_run: false, ..stated(0, 0) };
    let after_probe = ObservedLoad::new(from_probe, 1, None, now);
    assert_eq!(wait(&ObservedLoad::new(stated(3, 0), 3, Some(&after_probe), now)), idle);
}

fn answered(load: Option<StatedLoad>, latency: Duration, now: Instant) -> SearcherHealth {
    let mut health = SearcherHealth::default();
    health.record_sent(now);
    if let Some(load) = load {
        health.record_load(load, now);
    }
    health.record_answer(&"sweep".into(), latency, now);
    health.record_ended(now);
    health
}

fn view(route: &RouteName) -> ReplicaView<'_> {
    let prior = WORK.as_secs_f64();
    ReplicaView { route, prior, objective: 200 * MS, local: true, slots: SLOTS as u32 }
}

quickcheck! {
    fn a_searcher_that_states_nothing_costs_the_same_for_every_draw(
        latency: u16,
        running: u8,
        age: u16,
        draw: u8
    ) -> bool {
        let now = Instant::now();
        let mut health = answered(None, u32::from(latency) * MS, now);
        (0..running % 8).for_each(|_| health.record_sent(now));
        let (route, at) = ("sweep".into(), now + u32::from(age) * MS);
        let draw = f64::from(draw) / 255.0;
        health.drawn_cost(&view(&route), draw, at) == health.cost(&view(&route), at)
    }
}

/// Guards against a machine whose speed is believed only after some slow answers.
#[test]
fn the_stated_speed_of_a_machine_is_a_factor_of_the_latency_until_it_is_stale() {
    let now = Instant::now();
    let route = "sweep".into();
    let latency = |health: &SearcherHealth, at| health.expected_latency(&view(&route), at);
    let usual = answered(Some(stated(1, 0)), WORK, now);
    let mut slow = answered(Some(stated(1, 0)), WORK, now);
    slow.record_load(StatedLoad { slowness: 3.0, after_run: false, ..stated(0, 0) }, now);
    assert!((latency(&slow, now) / latency(&usual, now) - 3.0).abs() < 1e-6);
    slow.record_answer(&route, 3 * WORK, now);
    assert!((latency(&slow, now) / latency(&usual, now) - 3.0).abs() < 1e-6);
    assert!(latency(&slow, now + 3_000 * MS) <= latency(&usual, now + 3_000 * MS) + 1e-9);
    slow.record_load(StatedLoad { after_run: false, ..stated(0, 0) }, now + MS);
    assert!((latency(&slow, now + MS) / latency(&usual, now + MS) - 1.0).abs() < 1e-6);
}

/// Guards against hedges that only lengthen the queues in which the attempts wait.
#[test]
fn a_hedge_goes_only_to_a_searcher_that_is_less_loaded_or_if_the_first_one_pauses() {
    let now = Instant::now();
    let route = "sweep".into();
    let queue = |health: &SearcherHealth, at| health.queue(&view(&route), at);
    let mut busy = answered(Some(stated(3, 4)), WORK, now);
    busy.record_sent(now);
    let equal = answered(Some(stated(3, 4)), WORK, now);
    let idle = answered(Some(stated(1, 0)), WORK, now);
    let silent = answered(None, WORK, now);
    assert!(!is_hedge_useful(queue(&busy, now), queue(&equal, now)));
    assert!(is_hedge_useful(queue(&busy, now), queue(&idle, now)));
    assert!(is_hedge_useful(queue(&busy, now), queue(&silent, now)));
    assert!(is_hedge_useful(queue(&silent, now), queue(&equal, now)));
    let later = now + 1_000 * MS;
    assert!(is_hedge_useful(queue(&busy, later), queue(&equal, later)));
}

/// Guards against a searcher that costs as much while it warms up as afterwards, and against latencies of
/// the warm-up that count after its end.
#[test]
fn a_searcher_that_warms_up_is_expected_to_be_slower_until_it_has() {
    let now = Instant::now();
    let route = "sweep".into();
    let mut warming = answered(None, WORK, now);
    warming.record_warmup(Some(now + 2_000 * MS));
    let latency = |health: &SearcherHealth, age: u32| {
        health.expected_latency(&view(&route), now + age * MS) / WORK.as_secs_f64()
    };
    assert!((latency(&warming, 0) - 1.6).abs() < 1e-6);
    warming.record_answer(&route, WORK.mul_f64(1.6), now + MS);
    assert!((latency(&warming, 1_999) - 1.6).abs() < 1e-6);
    assert!((latency(&warming, 2_000) - 1.0).abs() < 1e-6);
    let slow = StatedLoad { slowness: 2.0, after_run: false, ..stated(0, 0) };
    warming.record_load(slow, now + 2 * MS);
    assert!(latency(&warming, 10) < 2.2);
}
