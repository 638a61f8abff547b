use std::time::Duration;
use std::time::Instant;

use super::ReadSchedule;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_host_that_has_not_read_the_store_reads_at_once_and_again_after_a_failure() {
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

/// The store is down for 5 s, and a zone of 60 hosts follows it.
#[test]
fn a_large_fleet_reads_a_failing_store_a_few_times_a_second() {
    let start = Instant::now();
    let mut reads = 0;
    for position in 0..60 {
        let mut schedule = ReadSchedule::default();
        schedule.record_known_up_to(start);
        let mut now = schedule.next_read(position, start);
        while now < start + 5_000 * MS {
            reads += 1;
            schedule.record_failed(now);
            now = schedule.next_read(position, now);
        }
    }
    assert!((100..=200).contains(&reads), "{reads} reads");
}

/// All 60 hosts of a zone have started at the same time and know no other host.
#[test]
fn one_host_reads_first_after_a_whole_fleet_has_started() {
    let start = Instant::now();
    let due = |position: u32| {
        let mut schedule = ReadSchedule::default();
        schedule.record_first_read(start, f64::from(position) / 59.0);
        schedule.next_read(0, start)
    };
    let first = due(0);
    assert_eq!(first, start + 900 * MS);
    // An update takes a few milliseconds to the other hosts.
    let reads = (0..60).filter(|position| due(*position) < first + 50 * MS).count();
    assert_eq!(reads, 3);
    let mut last = ReadSchedule::default();
    last.record_first_read(start, 1.0);
    last.record_known_up_to(first);
    assert_eq!(last.next_read(3, first), first + 1_110 * MS);
}
