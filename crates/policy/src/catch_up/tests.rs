use super::*;

const MS: Duration = Duration::from_millis(1);

fn report(from_sharer: bool, is_representative: bool) -> ConfigReport {
    ConfigReport { from_sharer, is_representative }
}

#[test]
fn a_host_of_the_same_zone_is_asked_at_once_and_others_later() {
    let start = Instant::now();
    let mut catch_up = ConfigCatchUp::default();
    assert_eq!(catch_up.next_source(report(false, false), start), None);
    assert_eq!(catch_up.next_source(report(true, false), start), Some(ConfigSource::Peer));
    assert_eq!(catch_up.next_source(report(false, true), start + 1_199 * MS), None);
    let representative = catch_up.next_source(report(false, true), start + 1_200 * MS);
    assert_eq!(representative, Some(ConfigSource::Peer));
    assert_eq!(catch_up.next_source(report(false, false), start + 2_399 * MS), None);
    let other = catch_up.next_source(report(false, false), start + 2_400 * MS);
    assert_eq!(other, Some(ConfigSource::Peer));
}

/// A third of the hosts cannot read the store, and each of them gets reports from 20 hosts a second.
#[test]
fn reports_cause_at_most_four_calls_a_second_however_many_come() {
    let start = Instant::now();
    let mut catch_up = ConfigCatchUp::default();
    let mut calls = Vec::new();
    for step in 0..100 {
        let now = start + 50 * MS * step;
        if let Some(source) = catch_up.next_source(report(true, false), now) {
            catch_up.record_failed(source, now);
            calls.push(source);
        }
    }
    assert_eq!(calls.len(), 20);
    assert_eq!(calls[..3], [ConfigSource::Peer, ConfigSource::Peer, ConfigSource::Store]);
    catch_up.record_caught_up();
    assert_eq!(catch_up.next_source(report(true, false), start), Some(ConfigSource::Peer));
}
