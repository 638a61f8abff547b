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
fn the_route_with_the_longest_matching_prefix_of_the_host_is_chosen() {
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
fn the_floor_is_the_smallest_number_of_parts_that_reaches_the_coverage() {
    let floor = |count: usize, min_coverage| {
        let shards = (0..count).map(|i| format!("s{i}").into()).collect();
        Gather { shards, top_records: 1, min_coverage }.min_parts()
    };
    assert_eq!(floor(20, 0.89), 18);
    assert_eq!(floor(20, 0.9), 18);
    assert_eq!(floor(20, 0.75), 15);
    assert_eq!(floor(30, 0.75), 23);
    assert_eq!(floor(3, 0.0), 1);
}

quickcheck! {
    fn request_counts_stay_close_to_the_weights(weights: Vec<u8>, count: u8) -> bool {
        let services: Vec<WeightedService> = weights
            .iter()
            .take(6)
            .enumerate()
            .map(|(i, weight)| WeightedService {
                service: format!("s{i}").into(),
                weight: f64::from(*weight),
            })
            .collect();
        let total: f64 = services.iter().map(|weighted| weighted.weight).sum();
        let mut round_robin = WeightedRoundRobin::default();
        let mut counts: BTreeMap<_, f64> = BTreeMap::new();
        for _ in 0..count {
            match round_robin.next(&services) {
                Some(service) => *counts.entry(service).or_default() += 1.0,
                None => return total <= 0.0,
            }
        }
        services.iter().all(|weighted| {
            let expected = f64::from(count) * weighted.weight / total.max(1.0);
            let actual = counts.get(&weighted.service).copied().unwrap_or_default();
            total <= 0.0 || (actual - expected).abs() <= services.len() as f64
        })
    }
}
