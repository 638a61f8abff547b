use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::directory::Change;
use galenaloft_policy::directory::Directory;
use galenaloft_policy::directory::Revised;
use galenaloft_policy::directory::SearcherEntry;
use galenaloft_policy::directory::SearcherState;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::route::Route;
use galenaloft_policy::route::Target;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_policy::routing::Sharers;

use super::*;

fn entry(id: &str) -> SearcherEntry {
    SearcherEntry {
        id: id.into(),
        service: "shard".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: 2,
        state: SearcherState::Ready,
        warmup_left: Duration::ZERO,
        born: 1,
    }
}

/// Returns every searcher that is chosen, one after the other.
fn chosen(fleet: &Fleet, allowed: &[SearcherId], zone_scope: ZoneScope) -> Vec<String> {
    let route = Route {
        name: "sweep".into(),
        host: "x".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(80),
        rank: 1,
        max_attempts: 2,
        target: Target::Service("shard".into()),
    };
    let sharers = Sharers { all: 8, gatherers: 8, gatherers_in_zone: 3, gathers: true };
    let share = ConnectionShare::new(26, sharers);
    let mut tried: Vec<SearcherId> = Vec::new();
    loop {
        let candidates = Candidates { allowed, tried: &tried, zone_scope };
        let service = fleet.service(&"shard".into());
        match service.choose(&route, 0.005, candidates, share, Instant::now()) {
            Choice::Searcher(searcher) => tried.push(searcher.entry.id.clone()),
            Choice::AllAtLimit | Choice::NoSearcher => break,
        }
    }
    tried.iter().map(ToString::to_string).collect()
}

#[test]
fn a_shard_that_is_asked_on_two_ways_keeps_to_the_searchers_that_both_know() {
    let mut directory = Directory::default();
    for (revision, id) in ["s1", "s2", "s3"].into_iter().enumerate() {
        let revision = revision as u64 + 1;
        directory.apply(Revised { change: Change::Written(entry(id)), revision }, Instant::now());
    }
    let fleet = Fleet::new("a".into());
    fleet.update(&directory);
    assert_eq!(chosen(&fleet, &[], ZoneScope::All).len(), 3);
    assert_eq!(chosen(&fleet, &["s1".into(), "s3".into()], ZoneScope::All), ["s1", "s3"]);
    let elsewhere = Fleet::new("b".into());
    elsewhere.update(&directory);
    assert_eq!(chosen(&elsewhere, &[], ZoneScope::OwnZone), [""; 0]);
}
