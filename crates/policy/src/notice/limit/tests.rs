use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::division::Demands;
use super::division::divide_limit;
use super::*;
use crate::directory::SearcherRun;
use crate::ids::HostId;
use crate::ids::RequestRate;
use crate::ids::ZoneId;
use crate::notice::Gate;
use crate::notice::Notice;
use crate::notice::StatedLimit;
use crate::notice::WarmupReport;

const MS: Duration = Duration::from_millis(1);

/// Step of the played time.
const STEP: Duration = MS;

/// Time from the first statement of a limit until it has to hold, and the time in which a host that
/// was told may still exceed it. Both are bounds of the platform.
const GRACE: Duration = Duration::from_secs(4);
const HOST_GRACE: Duration = Duration::from_millis(500);

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn id(number: usize) -> HostId {
    format!("h{number}").into()
}

fn run() -> SearcherRun {
    SearcherRun { searcher: "s1".into(), start_time: 1 }
}

/// One host of a played fleet.
struct Host {
    gate: Gate,
    zone: usize,
    /// Requests a second that it would like to send.
    demand: f64,
    /// When an answer first told it the limit.
    told_at: Option<Instant>,
    next_report: Instant,
    lives: std::ops::Range<Duration>,
    /// When it learns of the searcher. It sends no requests before.
    knows_from: Duration,
}

/// A fleet that sends requests to one searcher, which states a limit from the begin.
struct Fleet {
    limit: RequestRate,
    hosts: Vec<Host>,
    /// Whether the searcher warms up and states no limit; hosts learn it from its entry.
    warms_up: bool,
    /// Whether zones report sums, as in a large fleet.
    by_zones: bool,
    report_interval: Duration,
    rng: StdRng,
    start: Instant,
    /// Reports under way: when they arrive, where and from whom.
    reports: Vec<(Instant, usize, usize, LimitReport, Option<Duration>)>,
    /// Requests of hosts that had been told for [`HOST_GRACE`], as times since the start.
    counted: Vec<Duration>,
    sent: Vec<Duration>,
    /// Requests that the limit held back.
    held_back: Vec<Duration>,
}

impl Fleet {
    fn new(limit: RequestRate, demands: &[f64], zones: usize, seed: u64) -> Self {
        let start = Instant::now();
        let mut rng = StdRng::seed_from_u64(seed);
        let by_zones = demands.len() > 16;
        let per_zone = demands.len().div_ceil(zones);
        let report_interval = report_interval(if by_zones { per_zone } else { demands.len() });
        let hosts = demands.iter().enumerate().map(|(number, demand)| Host {
            gate: Gate::default(),
            zone: number % zones,
            demand: *demand,
            told_at: None,
            next_report: start + report_interval.mul_f64(rng.random()),
            lives: Duration::ZERO..Duration::MAX,
            knows_from: Duration::ZERO,
        });
        let hosts = hosts.collect();
        Self {
            limit,
            hosts,
            warms_up: false,
            by_zones,
            report_interval,
            rng,
            start,
            reports: Vec::new(),
            counted: Vec::new(),
            sent: Vec::new(),
            held_back: Vec::new(),
        }
    }

    /// Makes the searcher warm up from the begin instead of stating a limit. The entry that says so
    /// reaches the hosts within a second, and a host sends nothing before.
    fn warm_up(&mut self, time: Duration) {
        self.warms_up = true;
        for number in 0..self.hosts.len() {
            let known_at = self.rng.random_range(0..1_000) * MS;
            // A host divides a limit that begins up to 200 ms after it has learned of it.
            let divided_at = known_at + self.rng.random_range(0..200) * MS;
            let host = &mut self.hosts[number];
            host.knows_from = known_at;
            host.gate.set_warmup_rate(Some(self.limit), self.start);
            host.gate.record_warmup(time - known_at, self.start + known_at);
            host.next_report = self.start + divided_at;
        }
    }

    fn is_alive(&self, number: usize, at: Duration) -> bool {
        self.hosts[number].lives.contains(&at)
    }

    /// Returns the hosts and zones that a host knows; deaths and starts are known a second later.
    fn sharers(&self, number: usize, at: Duration) -> LimitSharers {
        let zone = self.hosts[number].zone;
        let known_at = at.saturating_sub(Duration::from_secs(1));
        let is_known = |other: &usize| {
            let same_scope = !self.by_zones || self.hosts[*other].zone == zone;
            *other == number || (same_scope && self.is_alive(*other, known_at))
        };
        let zones = self.hosts.iter().map(|host| host.zone).max().unwrap() + 1;
        let other_zones = (0..zones).filter(|other| self.by_zones && *other != zone);
        LimitSharers {
            own: id(number),
            own_zone: format!("z{zone}").into(),
            hosts: (0..self.hosts.len()).filter(is_known).map(id).collect(),
            other_zones: other_zones.map(|zone| ZoneId::from(format!("z{zone}"))).collect(),
        }
    }

    fn play(&mut self, time: Duration) {
        let mut at = Duration::ZERO;
        while at < time {
            let now = self.start + at;
            self.deliver(now);
            for number in 0..self.hosts.len() {
                if !self.is_alive(number, at) || at < self.hosts[number].knows_from {
                    continue;
                }
                if self.rng.random::<f64>() < self.hosts[number].demand * STEP.as_secs_f64() {
                    self.request(number, at);
                }
                if now >= self.hosts[number].next_report {
                    self.report(number, at);
                }
            }
            at += STEP;
        }
    }

    fn request(&mut self, number: usize, at: Duration) {
        let now = self.start + at;
        let host = &mut self.hosts[number];
        host.gate.record_demand(now);
        if host.gate.opens_at(now).is_some() {
            self.held_back.push(at);
            return;
        }
        host.gate.record_sent(now);
        if host.told_at.is_some_and(|told_at| now >= told_at + HOST_GRACE) {
            self.counted.push(at);
        }
        self.sent.push(at);
        host.told_at.get_or_insert(now);
        if self.warms_up {
            return;
        }
        let notice = Notice { limit: StatedLimit::Limited(self.limit), ..Notice::default() };
        host.gate.record(&notice, now);
    }

    /// Divides the limit and sends reports, of which some are lost.
    fn report(&mut self, number: usize, at: Duration) {
        let now = self.start + at;
        let sharers = self.sharers(number, at);
        let interval = self.report_interval;
        self.hosts[number].next_report = now + interval;
        let gate = &mut self.hosts[number].gate;
        let left = gate.warmup().left(now);
        let shared = match self.warms_up {
            true => gate.warmup().shared_limit(),
            false => gate.shared_limit(),
        };
        let Some(limit) = shared else {
            return;
        };
        limit.divide(&run().searcher, &sharers, interval, now);
        let report = limit.report(&run(), now);
        let zone_report = limit.zone_report(&run(), &sharers.own_zone, now);
        let zone = self.hosts[number].zone;
        // The first hosts of each zone speak for it.
        let zones = self.hosts.iter().map(|host| host.zone).max().unwrap() + 1;
        let speaks = |number: usize| self.by_zones && number < 4 * zones;
        let mut sent = Vec::new();
        for other in 0..self.hosts.len() {
            let in_scope = !self.by_zones || self.hosts[other].zone == zone;
            let crosses = speaks(number) && speaks(other);
            if other != number && (in_scope || crosses) && self.rng.random::<f64>() > 0.02 {
                let delay = self.rng.random_range(1..20) * MS;
                let report = if in_scope { &report } else { &zone_report };
                let left = self.warms_up.then_some(left);
                sent.push((now + delay, other, number, report.clone(), left));
            }
        }
        self.reports.extend(sent);
    }

    fn deliver(&mut self, now: Instant) {
        let (due, later) = self.reports.drain(..).partition(|(at, ..)| *at <= now);
        self.reports = later;
        let due: Vec<(Instant, usize, usize, LimitReport, Option<Duration>)> = due;
        for (_, to, from, report, left) in due {
            let gate = &mut self.hosts[to].gate;
            match left {
                Some(left) => {
                    let report = WarmupReport { left, limit: report };
                    gate.record_warmup_report(&id(from), &report, now);
                }
                None => {
                    gate.record_report(&id(from), &report, now);
                }
            }
        }
    }

    /// Returns the most requests that count in any window after the grace time.
    fn max_in_window(&self) -> usize {
        let from = self.counted.iter().filter(|at| **at >= GRACE);
        let in_window = |begin: &Duration| {
            self.counted.iter().filter(|at| (*begin..=*begin + WINDOW).contains(*at)).count()
        };
        from.map(in_window).max().unwrap_or_default()
    }

    /// Returns the most requests of all hosts in any second of the given time.
    fn max_in_second(&self, time: Duration) -> usize {
        let in_window = |begin: &Duration| {
            self.sent.iter().filter(|at| (*begin..*begin + secs(1)).contains(*at)).count()
        };
        let from = self.sent.iter().filter(|at| **at < time);
        from.map(in_window).max().unwrap_or_default()
    }

    /// Returns the share of the limit that was used between these times.
    fn used(&self, from: Duration, to: Duration) -> f64 {
        let sent = self.sent.iter().filter(|at| (from..to).contains(*at)).count();
        sent as f64 / (to - from).as_secs_f64() / self.limit
    }
}

/// Returns the demand of `count` hosts, which together want `total`, the first ones more than the last.
fn uneven(count: usize, total: f64) -> Vec<f64> {
    let weights: Vec<f64> = (0..count).map(|number| 1.0 + (number % 4) as f64).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| total * weight / sum).collect()
}

fn allowed(limit: RequestRate) -> usize {
    (limit * WINDOW.as_secs_f64() + 5.0) as usize
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn hosts_together_keep_a_limit_and_use_it() {
    for seed in 0..3 {
        for (limit, count, zones) in [(35.0, 8, 3), (5.0, 8, 3), (60.0, 77, 3), (200.0, 295, 6)] {
            let mut fleet = Fleet::new(limit, &uneven(count, limit * 10.0), zones, seed);
            fleet.play(secs(20));
            let most = fleet.max_in_window();
            let case = format!("limit {limit}, {count} hosts, seed {seed}");
            assert!(most <= allowed(1.5 * limit), "{case}: {most} requests");
            let used = fleet.used(secs(8), secs(20));
            assert!(used >= 0.85, "{case}: used {used:.2}");
        }
    }
}

#[test]
fn hosts_together_keep_a_small_limit() {
    for seed in 0..5 {
        for (limit, count, zones) in [(0.3, 8, 3), (1.0, 8, 3), (1.0, 77, 3)] {
            let mut fleet = Fleet::new(limit, &uneven(count, limit * 20.0), zones, seed);
            fleet.play(secs(20));
            let most = fleet.max_in_window();
            assert!(most <= allowed(limit), "limit {limit}, {count} hosts, seed {seed}: {most}");
        }
    }
}

#[test]
fn a_limit_holds_while_hosts_start_and_die() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(35.0, &uneven(8, 200.0), 3, seed);
        fleet.hosts[3].lives = Duration::ZERO..secs(9);
        fleet.hosts[5].lives = Duration::ZERO..secs(9);
        fleet.hosts[6].lives = secs(7)..Duration::MAX;
        fleet.hosts[7].lives = secs(12)..Duration::MAX;
        fleet.play(secs(24));
        let most = fleet.max_in_window();
        assert!(most <= allowed(1.5 * 35.0), "seed {seed}: {most} requests");
        let used = fleet.used(secs(16), secs(24));
        assert!(used >= 0.85, "seed {seed}: used {used:.2}");
    }
}

#[test]
fn sharers_that_have_reported_nothing_keep_an_equal_part() {
    let sharers = LimitSharers {
        own: id(0),
        own_zone: "z0".into(),
        hosts: (0..4).map(id).collect(),
        other_zones: Vec::new(),
    };
    let searcher = "s1".into();
    let part = |limit: f64, demands: &[(usize, f64)]| {
        let hosts: Demands = demands.iter().map(|(host, demand)| (id(*host), *demand)).collect();
        divide_limit(limit, &searcher, &sharers, &hosts, &Demands::new()).rate
    };
    assert_eq!(part(40.0, &[]), 10.0);
    assert_eq!(part(40.0, &[(0, 90.0)]), 10.0);
    assert_eq!(part(40.0, &[(0, 90.0), (1, 30.0)]), 15.0);
    assert_eq!(part(40.0, &[(0, 2.0), (1, 6.0), (2, 4.0), (3, 20.0)]), 4.0);
    assert_eq!(part(40.0, &[(0, 0.0), (1, 60.0), (2, 0.0), (3, 0.0)]), 0.0);
    assert_eq!(part(0.0, &[(0, 5.0)]), 0.0);
    assert_eq!(part(1e300, &[]), 2.5e299);
}

#[test]
fn a_limit_ends_with_the_first_later_statement() {
    let now = Instant::now();
    let mut limit = SharedLimit::new(10.0, now, now);
    assert_eq!(limit.opens_at(now), None);
    limit.record_sent(now);
    assert!(limit.opens_at(now).is_some());
    assert!(!limit.update(None, now - MS, now));
    assert_eq!(limit.limit(), Some(10.0));
    assert!(limit.update(None, now + MS, now + MS));
    assert_eq!(limit.opens_at(now + MS), None);
    assert!(!limit.is_over(now + 4_000 * MS));
    assert!(limit.is_over(now + 6_000 * MS));
}

#[test]
fn the_health_of_a_limited_searcher_is_checked_if_no_answer_tells_whether_the_limit_holds() {
    let now = Instant::now();
    let mut limit = SharedLimit::new(0.0, now, now);
    assert!(!limit.begin_check(now + 1_900 * MS));
    assert!(limit.begin_check(now + 2_000 * MS));
    assert!(!limit.begin_check(now + 2_100 * MS));
    assert!(!limit.update(Some(0.0), now + 2_100 * MS, now + 2_100 * MS));
    assert!(!limit.begin_check(now + 4_000 * MS));
    assert!(limit.begin_check(now + 4_100 * MS));
}

/// Guards against hosts that each send a first request, or save up requests, to a searcher that warms up:
/// in a large fleet that alone exceeds what it takes. Afterwards nothing is held back.
#[test]
fn hosts_together_keep_the_bound_of_a_searcher_that_warms_up() {
    for seed in 0..2 {
        for (count, zones, excess) in
            [(8, 3, 10.0), (65, 3, 10.0), (102, 3, 10.0), (295, 6, 10.0), (295, 6, 40.0)]
        {
            for rate in [4.0, 10.0, 40.0] {
                let mut fleet = Fleet::new(rate, &uneven(count, rate * excess), zones, seed);
                fleet.warm_up(secs(15));
                fleet.play(secs(20));
                let most = fleet.max_in_second(secs(14));
                let case = format!("{rate} a second, {count} hosts, {excess} times, seed {seed}");
                assert!(most <= (rate * 1.5 + 5.0) as usize, "{case}: {most} requests");
                let last = fleet.held_back.last().copied().unwrap_or_default();
                assert!(last < secs(15) + 100 * MS, "{case}: held back at {last:?}");
                println!("{case}: {most} in a second, used {:.2}", fleet.used(secs(8), secs(14)));
                if count == 8 {
                    assert!(fleet.used(secs(8), secs(14)) >= 0.6, "{case}");
                }
            }
        }
    }
}
