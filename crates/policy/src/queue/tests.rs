use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use super::Popped;
use super::RankQueue;

const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Number of pops under overload; each of them starts one item.
const ROUNDS: u32 = 2_000;

#[test]
fn the_most_urgent_rank_goes_first_then_the_earliest_deadline() {
    let now = Instant::now();
    let mut queue = RankQueue::new(8);
    for (item, rank, ms) in [("slow", 3, 50), ("late", 1, 90), ("soon", 1, 60)] {
        queue.push(item, rank, now + Duration::from_millis(ms)).unwrap();
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(now, SERVICE_TIME)).collect();
    assert_eq!(order, [Popped::Ready("soon"), Popped::Ready("late"), Popped::Ready("slow")]);
}

#[test]
fn an_item_that_cannot_finish_before_its_deadline_is_expired() {
    let now = Instant::now();
    let mut queue = RankQueue::new(8);
    queue.push("x", 1, now + Duration::from_millis(4)).unwrap();
    assert_eq!(queue.pop(now, SERVICE_TIME), Some(Popped::Expired("x")));
}

#[test]
fn a_full_queue_evicts_its_least_urgent_item() {
    let now = Instant::now();
    let mut queue = RankQueue::new(1);
    let deadline = now + Duration::from_secs(1);
    assert_eq!(queue.push("bulk", 3, deadline), Ok(None));
    assert_eq!(queue.push("urgent", 1, deadline), Ok(Some("bulk")));
    assert_eq!(queue.push("other", 1, deadline), Err("other"));
}

quickcheck! {
    fn each_rank_gets_its_floor_under_overload(floors: (u8, u8)) -> bool {
        let now = Instant::now();
        let floors = [f64::from(floors.0 % 40) / 100.0, f64::from(floors.1 % 40) / 100.0];
        let mut queue = RankQueue::new(10_000);
        queue.set_floor(2, floors[0]);
        queue.set_floor(3, floors[1]);
        let mut starts = [0_u32; 4];
        for _ in 0..ROUNDS {
            for rank in 1..=3 {
                queue.push(rank, rank, now + Duration::from_secs(1)).unwrap();
            }
            if let Some(Popped::Ready(rank)) = queue.pop(now, SERVICE_TIME) {
                starts[usize::from(rank)] += 1;
            }
        }
        // The decayed count makes the share of starts approximate: allows 5 % and 5 starts less.
        (0..2).all(|i| f64::from(starts[i + 2]) >= floors[i] * f64::from(ROUNDS) * 0.95 - 5.0)
    }
}
