use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use super::Activity;
use super::BudgetLimits;
use super::ConnectionId;
use super::MemoryBudget;
use super::Verdict;
use super::body_deadline;
use super::caller_connections;
use super::longest_waiting;

const MS: Duration = Duration::from_millis(1);
const KB: usize = 1024;
const MAX_BODY: usize = 256 * KB;

/// A budget of 4 MB in which `connections` connections are open.
fn budget(connections: u64, now: Instant) -> MemoryBudget {
    let mut budget = MemoryBudget::new(BudgetLimits::from_memory(16 * KB * KB));
    for id in 1..=connections {
        assert_eq!(budget.connect(id, now), Verdict::Granted(Vec::new()));
    }
    budget
}

fn is_granted(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Granted(_))
}

fn evicted(verdict: Verdict) -> Vec<ConnectionId> {
    match verdict {
        Verdict::Granted(evictions) => evictions.into_iter().map(|eviction| eviction.id).collect(),
        Verdict::Refused(after) => panic!("refused for {after:?}"),
    }
}

/// Lets connections from 1 on read large bodies until one is refused. Returns how many are read.
fn fill(budget: &mut MemoryBudget, now: Instant) -> u64 {
    (1..).find(|id| !is_granted(&budget.grow_body(*id, MAX_BODY, MAX_BODY, now))).unwrap() - 1
}

/// Guards against large bodies that use up the whole budget.
#[test]
fn small_bodies_are_read_while_large_ones_hold_their_share() {
    let now = Instant::now();
    let mut budget = budget(40, now);
    let large = fill(&mut budget, now);
    assert!((5..=12).contains(&large), "{large}");
    for id in 30..=40 {
        assert_eq!(budget.grow_body(id, 4 * KB, KB, now), Verdict::Granted(Vec::new()));
    }
}

#[test]
fn body_that_stands_still_longest_gives_up_its_memory_first() {
    let now = Instant::now();
    let mut budget = budget(40, now);
    let large = fill(&mut budget, now);
    budget.record_progress(1, MAX_BODY, now + 100 * MS);
    let later = now + 300 * MS;
    budget.record_progress(3, MAX_BODY, later);
    let first = evicted(budget.grow_body(large + 1, MAX_BODY, MAX_BODY, later));
    assert_eq!(first, [2]);
    budget.disconnect(2);
    let second = evicted(budget.grow_body(large + 2, MAX_BODY, MAX_BODY, later));
    assert_eq!(second, [4]);
}

#[test]
fn slow_body_gives_up_its_memory_before_fast_ones() {
    let now = Instant::now();
    let mut budget = budget(40, now);
    let large = fill(&mut budget, now);
    let later = now + 2_000 * MS;
    for id in 1..=large {
        let received = if id == 3 { 20 * KB } else { MAX_BODY };
        budget.record_progress(id, received, later);
    }
    assert_eq!(evicted(budget.grow_body(large + 1, MAX_BODY, MAX_BODY, later)), [3]);
    let refused = budget.grow_body(large + 2, MAX_BODY, MAX_BODY, later);
    assert!(!is_granted(&refused), "{refused:?}");
}

/// Guards against a time in `Retry-After` after which there is no room yet.
#[test]
fn refused_body_is_admitted_after_the_time_stated() {
    let now = Instant::now();
    let mut budget = budget(40, now);
    let large = fill(&mut budget, now);
    let Verdict::Refused(after) = budget.grow_body(large + 1, MAX_BODY, MAX_BODY, now) else {
        panic!("not refused");
    };
    assert!(after <= 500 * MS, "{after:?}");
    assert!(is_granted(&budget.grow_body(large + 1, MAX_BODY, MAX_BODY, now + after)));
}

/// Guards against a budget that is smaller than one permitted body.
#[test]
fn single_body_is_read_whatever_its_size() {
    let now = Instant::now();
    let mut budget = budget(2, now);
    assert!(is_granted(&budget.grow_body(1, 16 * KB * KB, 0, now)));
    assert!(!is_granted(&budget.grow_body(2, 16 * KB * KB, 0, now)));
}

#[test]
fn requests_in_progress_hold_their_bodies_and_are_not_evicted() {
    let now = Instant::now();
    let mut budget = budget(40, now);
    let large = fill(&mut budget, now);
    (1..=large).for_each(|id| assert!(budget.finish_body(id, MAX_BODY)));
    let later = now + 10_000 * MS;
    assert!(!is_granted(&budget.grow_body(large + 1, MAX_BODY, MAX_BODY, later)));
    let held = budget.held();
    (1..=large).for_each(|id| budget.disconnect(id));
    assert!(budget.held() >= large as usize * MAX_BODY);
    (1..=large).for_each(|_| budget.release_in_progress(MAX_BODY, 100 * MS));
    assert!(budget.held() < held);
    assert!(is_granted(&budget.grow_body(large + 1, MAX_BODY, MAX_BODY, later)));
}

#[test]
fn evicted_body_does_not_become_a_request() {
    let now = Instant::now();
    let mut budget = budget(40, now);
    let large = fill(&mut budget, now);
    let later = now + 300 * MS;
    let evicted = evicted(budget.grow_body(large + 1, MAX_BODY, MAX_BODY, later))[0];
    assert!(!budget.finish_body(evicted, MAX_BODY));
    assert!(!is_granted(&budget.grow_body(evicted, MAX_BODY, MAX_BODY, later)));
}

/// Guards against responses that nobody reads and that hold more than the budget.
#[test]
fn unread_responses_over_the_budget_are_closed() {
    let now = Instant::now();
    let mut budget = budget(40, now);
    let mut closed = Vec::new();
    for id in 1..=40 {
        for eviction in budget.stall_response(id, 512 * KB, now + id as u32 * MS) {
            assert_eq!(eviction.activity, Activity::Response);
            budget.disconnect(eviction.id);
            closed.push(eviction.id);
        }
        assert!(budget.held() <= 4 * KB * KB, "{}", budget.held());
    }
    assert!(closed.len() >= 30, "{closed:?}");
}

#[test]
fn heads_beyond_the_usual_size_are_bounded() {
    let now = Instant::now();
    let mut budget = budget(40, now);
    let granted = (1..=40).filter(|id| is_granted(&budget.grow_head(*id, MAX_BODY, now)));
    let granted = granted.count();
    assert!((5..=12).contains(&granted), "{granted}");
    budget.finish_head(1);
    budget.end_head(1);
    assert!(is_granted(&budget.grow_head(40, MAX_BODY, now)));
}

#[test]
fn body_needs_progress_and_the_minimum_rate() {
    let now = Instant::now();
    let timeout = Duration::from_secs(3);
    assert_eq!(body_deadline(now, now, 0, timeout), now + timeout);
    assert_eq!(body_deadline(now, now + 1_000 * MS, MAX_BODY, timeout), now + 4_000 * MS);
    // One byte each second does not keep a body alive.
    let slow = body_deadline(now, now + 2_000 * MS, 2, timeout);
    assert!(slow < now + 3_001 * MS, "{:?}", slow - now);
}

#[test]
fn only_a_connection_that_waited_for_some_time_is_closed_for_a_new_one() {
    assert_eq!(longest_waiting([(1, 10 * MS), (2, 900 * MS)]), None);
    assert_eq!(longest_waiting([(1, 10 * MS), (2, 1_900 * MS), (3, 1_800 * MS)]), Some(2));
    assert_eq!(longest_waiting([]), None);
    assert_eq!(caller_connections(4_096), 2_048);
}

/// Guards against idle connections that leave no memory for bodies.
#[test]
fn connections_leave_half_of_the_budget_free() {
    let now = Instant::now();
    let mut budget = budget(0, now);
    let open = (1..).find(|id| !is_granted(&budget.connect(*id, now))).unwrap() - 1;
    assert!((100..200).contains(&open), "{open}");
    assert_eq!(budget.grow_body(1, MAX_BODY, MAX_BODY, now), Verdict::Granted(Vec::new()));
}

quickcheck! {
    /// Guards against bytes that are released twice or never.
    fn everything_is_released_after_any_order_of_steps(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut now = Instant::now();
        let mut budget = budget(8, now);
        let mut in_progress = Vec::new();
        for (step, id, size) in steps {
            let (id, size) = (u64::from(id % 8) + 1, usize::from(size) * 16);
            now += 40 * MS;
            match step % 8 {
                0 | 1 => drop(budget.grow_body(id, size, size / 2, now)),
                2 => if budget.finish_body(id, size) {
                    in_progress.push(size);
                },
                3 => budget.end_body(id),
                4 => drop(budget.grow_head(id, size, now)),
                5 => {
                    budget.finish_head(id);
                    budget.end_head(id);
                }
                6 => {
                    budget.end_response(id);
                    drop(budget.stall_response(id, size, now));
                }
                _ => budget.disconnect(id),
            }
        }
        in_progress.into_iter().for_each(|size| budget.release_in_progress(size, MS));
        (1..=8).for_each(|id| budget.disconnect(id));
        budget.held() == 0
    }
}
