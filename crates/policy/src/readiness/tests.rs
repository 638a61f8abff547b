use std::time::Duration;
use std::time::Instant;

use super::*;

const ABLE: HostCondition =
    HostCondition { initialized: true, stopping: false, cut_off: false, covers_floor: true };

#[test]
fn a_zone_is_cut_off_when_nothing_is_heard_of_the_others() {
    let now = Instant::now();
    assert!(!is_cut_off(Some(now), now + Duration::from_millis(500)));
    assert!(is_cut_off(Some(now), now + Duration::from_millis(600)));
    assert!(!is_cut_off(None, now + Duration::from_secs(60)));
}

#[test]
fn a_zone_that_is_cut_off_sends_its_callers_to_others_only_if_it_lacks_shards() {
    assert_eq!(ABLE.not_ready(), None);
    assert_eq!(HostCondition { cut_off: true, ..ABLE }.not_ready(), None);
    assert_eq!(HostCondition { covers_floor: false, ..ABLE }.not_ready(), None);
    let lacking = HostCondition { cut_off: true, covers_floor: false, ..ABLE };
    assert_eq!(lacking.not_ready(), Some(NotReady::CutOff));
}

#[test]
fn a_host_that_stops_or_knows_nothing_is_not_ready() {
    let stopping = HostCondition { stopping: true, ..ABLE };
    assert_eq!(stopping.not_ready(), Some(NotReady::Stopping));
    let uninformed = HostCondition { initialized: false, ..ABLE };
    assert_eq!(uninformed.not_ready(), Some(NotReady::Uninformed));
}
