use std::time::Duration;
use std::time::Instant;

use super::ReadSchedule;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_host_that_knows_nothing_reads_at_once_and_again_after_a_failure() {
    let now = Instant::now();
    let mut freshness = ReadSchedule::default();
    assert_eq!(freshness.next_read(5, now), now);
    freshness.note_failed(now);
    assert_eq!(freshness.next_read(5, now), now + 250 * MS);
}

#[test]
fn the_first_host_reads_and_its_news_puts_off_the_others() {
    let now = Instant::now();
    let mut first = ReadSchedule::default();
    let mut second = ReadSchedule::default();
    first.note_fresh(now);
    second.note_fresh(now);
    let read = first.next_read(0, now);
    assert!(read < second.next_read(1, now));
    second.note_fresh(read);
    assert!(second.next_read(1, read) > read + 900 * MS);
}

#[test]
fn older_news_does_not_make_a_host_older() {
    let now = Instant::now();
    let mut freshness = ReadSchedule::default();
    freshness.note_fresh(now);
    freshness.note_fresh(now - 500 * MS);
    assert_eq!(freshness.age(now), Some(Duration::ZERO));
}
