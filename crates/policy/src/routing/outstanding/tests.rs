use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn aggregators_of_the_zone_divide_the_slots_of_a_searcher() {
    assert_eq!(max_outstanding(2, 1, true), 6);
    assert_eq!(max_outstanding(2, 4, true), 2);
    assert_eq!(max_outstanding(6, 4, true), 5);
    assert_eq!(max_outstanding(6, 4, false), 1);
    assert_eq!(max_outstanding(0, 0, true), 1);
}

fn urgency(rank: Rank, due: Instant, id: &str) -> Urgency {
    Urgency { rank, due, work: 10 * MS, draw: Draw::from_request_id(id) }
}

/// Guards against a request whose answer is late in any case that delays one which can be in time.
#[test]
fn late_requests_wait_for_those_in_time_and_then_the_rank_decides() {
    let now = Instant::now();
    let in_time = |rank| urgency(rank, now + 50 * MS, "a");
    let late = |rank| urgency(rank, now + 5 * MS, "a");
    assert!(in_time(2).goes_before(&late(0), now));
    assert!(in_time(0).goes_before(&in_time(1), now));
    assert!(late(0).goes_before(&late(1), now));
    assert!(!in_time(1).goes_before(&in_time(1), now));
}

#[test]
fn queries_of_one_rank_have_the_same_order_at_every_shard() {
    let now = Instant::now();
    let mut ids = ["q1", "q2", "q3", "q4"];
    ids.sort_by(|a, b| Draw::from_request_id(a).partial_cmp(&Draw::from_request_id(b)).unwrap());
    for pair in ids.windows(2) {
        // The one that is due later goes first, if its draw says so.
        let (first, second) =
            (urgency(1, now + 90 * MS, pair[0]), urgency(1, now + 50 * MS, pair[1]));
        assert!(first.goes_before(&second, now) && !second.goes_before(&first, now));
    }
}

/// Shards of a query, searchers of each shard, slots of each searcher and the length of its queue.
const SHARDS: usize = 20;
const REPLICAS: usize = 3;
const SLOTS: usize = 2;
const QUEUE: usize = 12;

/// Work of one part, objective of a query, and the parts that it needs.
const WORK: Duration = Duration::from_millis(28);
const OBJECTIVE: Duration = Duration::from_millis(200);
const MIN_PARTS: usize = 19;

/// How a host sends parts.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Sending {
    /// At once to the searcher with the fewest of them; one more attempt after a rejection.
    AtOnce,
    /// Up to the bound; the others wait in the order of their urgency.
    Bounded,
}

/// A query's part at one shard.
#[derive(Debug, Clone, Copy)]
struct Part {
    query: usize,
    rejected: u32,
}

/// One shard of a played flood: the queues of its searchers and the parts that wait on the host.
#[derive(Debug, Default)]
struct Shard {
    queues: [VecDeque<Part>; REPLICAS],
    waiting: Vec<Part>,
}

/// Plays queries that arrive at `load` times what the slots can serve, for one second. Returns how many
/// are answered within their objective, as a share of what the slots can serve.
fn play(sending: Sending, load: f64) -> f64 {
    let start = Instant::now();
    let per_second = (REPLICAS * SLOTS) as f64 / WORK.as_secs_f64();
    let count = (per_second * load) as usize;
    let at = |query: usize| start + Duration::from_secs_f64(query as f64 / (per_second * load));
    let urgencies: Vec<Urgency> = (0..count)
        .map(|query| Urgency {
            rank: 1,
            due: at(query) + OBJECTIVE,
            work: WORK,
            draw: Draw::from_request_id(&format!("query-{query}")),
        })
        .collect();
    let bound = max_outstanding(SLOTS as u32, 1, true);
    let mut parts_in_time: BTreeMap<usize, usize> = BTreeMap::new();
    for shard_index in 0..SHARDS {
        let mut shard = Shard::default();
        // Ends of work by time and searcher.
        let mut ends: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
        let mut next = 0;
        while next < count || !ends.is_empty() {
            let end = ends.peek().map(|Reverse((at, _))| *at);
            let now = match end {
                Some(end) if next >= count || end <= at(next) => {
                    let Some(Reverse((now, searcher))) = ends.pop() else { break };
                    let done = shard.queues[searcher].pop_front().expect("it was running");
                    if now <= urgencies[done.query].due {
                        *parts_in_time.entry(done.query).or_default() += 1;
                    }
                    if shard.queues[searcher].len() >= SLOTS {
                        ends.push(Reverse((now + work(shard_index, done.query), searcher)));
                    }
                    now
                }
                _ => {
                    shard.waiting.push(Part { query: next, rejected: 0 });
                    next += 1;
                    at(next - 1)
                }
            };
            send_waiting(&mut shard, &mut ends, sending, bound, &urgencies, now, shard_index);
        }
    }
    let in_time = parts_in_time.values().filter(|parts| **parts >= MIN_PARTS).count();
    in_time as f64 / per_second
}

/// Returns the work of a part, which varies by a third around the mean.
fn work(shard: usize, query: usize) -> Duration {
    let draw = xxhash_rust::xxh3::xxh3_64(format!("{shard}-{query}").as_bytes()) as f64;
    WORK.mul_f64(0.67 + 0.66 * draw / u64::MAX as f64)
}

fn send_waiting(
    shard: &mut Shard,
    ends: &mut BinaryHeap<Reverse<(Instant, usize)>>,
    sending: Sending,
    bound: usize,
    urgencies: &[Urgency],
    now: Instant,
    shard_index: usize,
) {
    while !shard.waiting.is_empty() {
        let shortest = |queues: &[VecDeque<Part>; REPLICAS]| {
            (0..REPLICAS).min_by_key(|searcher| queues[*searcher].len()).unwrap()
        };
        let searcher = shortest(&shard.queues);
        let queued = shard.queues[searcher].len();
        let next = match sending {
            Sending::AtOnce => 0,
            Sending::Bounded if queued >= bound => return,
            Sending::Bounded => {
                let mut best = 0;
                for (i, part) in shard.waiting.iter().enumerate() {
                    if urgencies[part.query].goes_before(&urgencies[shard.waiting[best].query], now)
                    {
                        best = i;
                    }
                }
                best
            }
        };
        let mut part = shard.waiting.swap_remove(next);
        if queued >= SLOTS + QUEUE {
            part.rejected += 1;
            if part.rejected < 2 {
                shard.waiting.push(part);
            }
            continue;
        }
        shard.queues[searcher].push_back(part);
        if queued < SLOTS {
            ends.push(Reverse((now + work(shard_index, part.query), searcher)));
        }
    }
}

/// Guards against a flood in which the searchers' queues are full, so that every query misses some parts
/// and none is answered in time.
#[test]
fn a_flood_leaves_most_of_what_the_slots_can_serve_to_queries_in_time() {
    let at_capacity = play(Sending::Bounded, 0.9);
    for load in [2.0, 5.0, 10.0] {
        let (bounded, at_once) = (play(Sending::Bounded, load), play(Sending::AtOnce, load));
        assert!(bounded >= 0.9 * at_capacity, "{load}: {bounded:.3} of {at_capacity:.3}");
        assert!(at_once < 0.5 * at_capacity, "{load}: {at_once:.3} of {at_capacity:.3}");
    }
}
