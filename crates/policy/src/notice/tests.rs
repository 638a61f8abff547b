use std::time::Duration;

use super::*;
use crate::directory::SearcherEntry;
use crate::directory::SearcherState;

fn entry(id: &str, start_time: u64) -> SearcherEntry {
    SearcherEntry {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: 2,
        state: SearcherState::Ready,
        warmup_left: Duration::ZERO,
        start_time,
    }
}

#[test]
fn a_run_is_leaving_until_the_searcher_starts_again() {
    let mut leaving = LeavingRuns::default();
    assert!(leaving.record(&entry("a", 1)));
    assert!(!leaving.record(&entry("a", 1)));
    assert!(leaving.contains(&entry("a", 1)));
    assert!(!leaving.contains(&entry("a", 2)));
    assert!(!leaving.contains(&entry("b", 1)));
}
