use std::time::Duration;
use std::time::Instant;

use super::*;

const READY: HostCondition =
    HostCondition { initialized: true, stopping: false, cut_off: false, covers_floor: true };

#[test]
fn a_zone_is_cut_off_after_600_ms_without_a_message_from_other_zones() {
    let now = Instant::now();
    assert!(!is_cut_off(Some(now), now + Duration::from_millis(500)));
    assert!(is_cut_off(Some(now), now + Duration::from_millis(600)));
    assert!(!is_cut_off(None, now + Duration::from_secs(60)));
}

#[test]
fn a_host_in_a_cut_off_zone_is_not_ready_only_if_its_zone_lacks_shards() {
    assert_eq!(READY.not_ready(), None);
    assert_eq!(HostCondition { cut_off: true, ..READY }.not_ready(), None);
    assert_eq!(HostCondition { covers_floor: false, ..READY }.not_ready(), None);
    let lacking_shards = HostCondition { cut_off: true, covers_floor: false, ..READY };
    assert_eq!(lacking_shards.not_ready(), Some(NotReady::CutOff));
}

#[test]
fn a_host_that_is_stopping_or_uninitialized_is_not_ready() {
    let stopping = HostCondition { stopping: true, ..READY };
    assert_eq!(stopping.not_ready(), Some(NotReady::Stopping));
    let uninitialized = HostCondition { initialized: false, ..READY };
    assert_eq!(uninitialized.not_ready(), Some(NotReady::Uninformed));
}
