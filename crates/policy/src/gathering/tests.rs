use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use super::*;

const MS: Duration = Duration::from_millis(1);

quickcheck! {
    fn the_greatest_records_of_all_parts_come_out_falling(parts: Vec<Vec<u8>>, limit: u8) -> bool {
        let limit = usize::from(limit % 60);
        let mut top = TopRecords::new(limit);
        let mut all: Vec<[u8; 16]> = Vec::new();
        for part in &parts {
            top.add(part);
            all.extend(part.chunks_exact(16).map(|r| <[u8; 16]>::try_from(r).unwrap()));
        }
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.truncate(limit);
        top.finish() == all.concat()
    }
}

#[test]
fn equal_records_all_count() {
    let mut top = TopRecords::new(3);
    top.add(&[7; 32]);
    top.add(&[7; 20]);
    assert_eq!(top.finish(), vec![7; 48]);
}

#[test]
fn an_answer_that_meets_its_floor_leaves_just_before_the_objective() {
    let arrived = Instant::now();
    let deadline = arrived + 1_000 * MS;
    let patience = Patience::new(arrived, 80 * MS, 10 * MS, deadline);
    assert_eq!(patience.decide(19, 18, arrived + 20 * MS), Wait::Until(arrived + 70 * MS));
    assert_eq!(patience.decide(19, 18, arrived + 71 * MS), Wait::Answer);
}

#[test]
fn an_answer_below_its_floor_waits_for_it_and_then_for_the_rest_of_a_second_objective() {
    let arrived = Instant::now();
    let deadline = arrived + 1_000 * MS;
    let patience = Patience::new(arrived, 80 * MS, 10 * MS, deadline);
    assert_eq!(patience.decide(10, 18, arrived + 71 * MS), Wait::Until(deadline));
    assert_eq!(patience.decide(18, 18, arrived + 120 * MS), Wait::Until(arrived + 160 * MS));
    assert_eq!(patience.decide(18, 18, arrived + 160 * MS), Wait::Answer);
    assert_eq!(patience.decide(17, 18, deadline), Wait::GiveUp);
    assert_eq!(patience.decide(18, 18, deadline), Wait::Answer);
}
