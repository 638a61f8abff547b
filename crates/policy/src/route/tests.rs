use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::quickcheck;

use super::*;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        rank: 0,
        max_attempts: 2,
        target: Target::Service("s".into()),
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    let limits = CallerLimits {
        head_bytes: 1,
        body_bytes: 1,
        head_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    Configuration::new(1, routes, BTreeMap::new(), limits)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let config = configuration(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let name = |host, path| config.route(host, path).map(|route| route.name.to_string());
    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("A.Example", "/x/z").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("c.example", "/x/y/"), None);
}

#[test]
fn the_floor_is_the_least_number_of_parts_that_reaches_the_share() {
    let parts = |count: usize, min_coverage| {
        let shards = (0..count).map(|i| format!("s{i}").into()).collect();
        Gather { shards, top_records: 1, min_coverage }.min_parts()
    };
    assert_eq!(parts(20, 0.89), 18);
    assert_eq!(parts(20, 0.9), 18);
    assert_eq!(parts(20, 0.75), 15);
    assert_eq!(parts(30, 0.75), 23);
    assert_eq!(parts(3, 0.0), 1);
}

quickcheck! {
    fn a_split_stays_within_one_request_of_the_weights(weights: Vec<u8>, count: u8) -> bool {
        let parts: Vec<WeightedService> = weights
            .iter()
            .take(6)
            .enumerate()
            .map(|(i, w)| WeightedService { service: format!("s{i}").into(), weight: f64::from(*w) })
            .collect();
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        let mut split = WeightedRoundRobin::default();
        let mut seen: BTreeMap<_, f64> = BTreeMap::new();
        for _ in 0..count {
            match split.next(&parts) {
                Some(service) => *seen.entry(service).or_default() += 1.0,
                None => return total <= 0.0,
            }
        }
        parts.iter().all(|part| {
            let expected = f64::from(count) * part.weight / total.max(1.0);
            let got = seen.get(&part.service).copied().unwrap_or_default();
            total <= 0.0 || (got - expected).abs() <= parts.len() as f64
        })
    }
}
