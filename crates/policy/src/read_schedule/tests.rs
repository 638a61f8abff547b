use std::time::Duration;
use std::time::Instant;

use super::ReadSchedule;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_host_without_knowledge_reads_at_once_and_again_after_a_failure() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::default();
    assert_eq!(schedule.next_read(5, now), now);
    schedule.record_failed(now);
    assert_eq!(schedule.next_read(5, now), now + 250 * MS);
}

#[test]
fn the_first_host_reads_and_its_update_postpones_the_others() {
    let now = Instant::now();
    let mut first = ReadSchedule::default();
    let mut second = ReadSchedule::default();
    first.record_known_up_to(now);
    second.record_known_up_to(now);
    let read = first.next_read(0, now);
    assert!(read < second.next_read(1, now));
    second.record_known_up_to(read);
    assert!(second.next_read(1, read) > read + 900 * MS);
}

#[test]
fn an_older_update_does_not_increase_the_age() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::default();
    schedule.record_known_up_to(now);
    schedule.record_known_up_to(now - 500 * MS);
    assert_eq!(schedule.age(now), Some(Duration::ZERO));
}
