use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use super::*;

fn crash(fingerprint: Fingerprint, searcher: &str) -> Crash {
    Crash { fingerprint, searcher: searcher.into() }
}

fn quarantine(crashes: &[(u8, u8)], now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (fingerprint, searcher) in crashes {
        quarantine.record_crash(&crash(u64::from(fingerprint % 4), &searcher.to_string()), now);
    }
    quarantine
}

/// Lets `to` take over what `from` knows if their digests ask for it. Returns whether they did.
fn exchange(to: &mut Quarantine, from: &mut Quarantine, now: Instant) -> bool {
    let asks = to.may_lack(from.digest(now), now);
    if asks {
        to.merge(from.known(now), now);
    }
    asks
}

#[test]
fn a_request_is_refused_after_it_has_crashed_three_searchers() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Clear);
    assert!(quarantine.record_crash(&crash(1, "a"), now));
    assert!(!quarantine.record_crash(&crash(1, "a"), now));
    assert!(quarantine.record_crash(&crash(1, "b"), now));
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Suspected);
    quarantine.record_crash(&crash(1, "c"), now);
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Quarantined);
    assert_eq!(quarantine.status(2, now), QuarantineStatus::Clear);
    quarantine.record_crash(&crash(3, "a"), now);
    assert_eq!(quarantine.counts(now), (1, 1));
    assert_eq!(quarantine.status(1, now + Duration::from_secs(600)), QuarantineStatus::Clear);
}

/// Guards against crashes that are taken over from another host and then last longer than there, so
/// that hosts that tell each other would never forget a request.
#[test]
fn crashes_that_are_taken_over_expire_when_those_of_their_host_do() {
    let start = Instant::now();
    let at = |secs| start + Duration::from_secs(secs);
    let mut first = quarantine(&[(1, 1), (1, 2), (1, 3)], at(0));
    let mut second = Quarantine::default();
    assert!(exchange(&mut second, &mut first, at(599)));
    assert_eq!(second.status(1, at(599)), QuarantineStatus::Quarantined);
    assert_eq!(second.status(1, at(600)), QuarantineStatus::Clear);
    assert!(!exchange(&mut first, &mut second, at(600)));
    assert_eq!(second.digest(at(600)), CrashDigest::default());
    // A host whose clock is behind tells of a request that has expired here.
    let late = vec![SuspectedRequest {
        fingerprint: 1,
        searchers: vec!["1".into()],
        last_crash_ago: Duration::MAX,
    }];
    assert_eq!(second.merge(late, at(600)), 0);
    assert!(second.is_empty());
}

/// Guards against a table that is cleared when it is full, after which all requests that crash searchers
/// are sent to them again.
#[test]
fn requests_that_are_refused_stay_refused_when_many_others_are_suspected() {
    let now = Instant::now();
    let mut quarantine = quarantine(&[(1, 1), (1, 2), (1, 3)], now);
    let later = now + Duration::from_secs(1);
    for fingerprint in 10..20_000 {
        quarantine.record_crash(&crash(fingerprint, "a"), later);
    }
    assert_eq!(quarantine.status(1, later), QuarantineStatus::Quarantined);
    let (suspected, quarantined) = quarantine.counts(later);
    assert!(suspected < MAX_SUSPECTS && quarantined == 1, "{suspected}, {quarantined}");
    // Hosts with such tables do not ask each other without end.
    let others = CrashDigest { crashes: 20_000, hash: 1 };
    assert!(!quarantine.may_lack(others, later));
}

quickcheck! {
    /// Guards against hosts that stay different, or that ask each other without end.
    fn hosts_that_tell_each_other_agree_and_are_silent_then(
        crashes: Vec<Vec<(u8, u8)>>,
        order: Vec<(usize, usize)>
    ) -> bool {
        let now = Instant::now();
        let mut hosts: Vec<Quarantine> =
            crashes.iter().map(|crashes| quarantine(crashes, now)).collect();
        let together = quarantine(&crashes.concat(), now).digest(now);
        let count = hosts.len();
        let mut tell = |to: usize, from: usize| {
            let mut sender = std::mem::take(&mut hosts[from]);
            let asks = to != from && exchange(&mut hosts[to], &mut sender, now);
            hosts[from] = sender;
            asks
        };
        for (to, from) in order.iter().filter(|_| count > 0) {
            tell(to % count, from % count);
        }
        // Then each host talks to each other one in turn.
        let all_pairs = || (0..count * count).map(|i| (i / count, i % count));
        for _ in 0..=2 * count {
            for (to, from) in all_pairs() {
                tell(to, from);
            }
        }
        let is_silent = !all_pairs().any(|(to, from)| tell(to, from));
        is_silent && hosts.iter_mut().all(|host| host.digest(now) == together)
    }

    fn the_digest_is_that_of_what_is_known(crashes: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut quarantine = quarantine(&crashes, now);
        let mut copy = Quarantine::default();
        copy.merge(quarantine.known(now), now);
        copy.digest(now) == quarantine.digest(now)
    }
}
