use std::time::Duration;
use std::time::Instant;

use super::*;
use crate::directory::SearcherRun;

const MS: Duration = Duration::from_millis(1);

fn run(id: &str, start_time: u64) -> SearcherRun {
    SearcherRun { searcher: id.into(), start_time }
}

#[test]
fn a_run_is_leaving_until_the_searcher_starts_again() {
    let mut leaving = LeavingRuns::default();
    assert!(leaving.record(&run("a", 1)));
    assert!(!leaving.record(&run("a", 1)));
    assert!(leaving.contains(&run("a", 1)));
    assert!(!leaving.contains(&run("a", 2)));
    assert!(!leaving.contains(&run("b", 1)));
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one_early() {
    let now = Instant::now();
    let pause = |ms| Notice { pause: Some(ms * MS), ..Notice::default() };
    let mut gate = Gate::default();
    assert_eq!(gate.opens_at(now), None);
    assert!(gate.record(&pause(2_000), now).paused);
    assert!(!gate.record(&pause(500), now + 1_000 * MS).paused);
    assert!(!gate.record(&Notice::default(), now + 1_000 * MS).paused);
    assert_eq!(gate.opens_at(now + 1_999 * MS), Some(now + 2_000 * MS));
    assert_eq!(gate.opens_at(now + 2_000 * MS), None);
    assert!(gate.record(&pause(500), now + 3_000 * MS).paused);
}
