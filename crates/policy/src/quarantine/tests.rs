use std::time::Duration;
use std::time::Instant;

use super::*;

fn crash(fingerprint: Fingerprint, searcher: &str) -> Crash {
    Crash { fingerprint, searcher: searcher.into() }
}

#[test]
fn a_request_is_refused_after_it_has_crashed_three_searchers() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Clear);
    assert!(quarantine.record_crash(crash(1, "a"), now));
    assert!(!quarantine.record_crash(crash(1, "a"), now));
    assert!(quarantine.record_crash(crash(1, "b"), now));
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Suspected);
    quarantine.record_crash(crash(1, "c"), now);
    assert_eq!(quarantine.status(1, now), QuarantineStatus::Quarantined);
    assert_eq!(quarantine.status(2, now), QuarantineStatus::Clear);
    quarantine.record_crash(crash(3, "a"), now);
    assert_eq!(quarantine.counts(now), (1, 1));
    assert_eq!(quarantine.status(1, now + Duration::from_secs(600)), QuarantineStatus::Clear);
}

#[test]
fn fingerprints_differ_between_requests_and_do_not_join_fields() {
    let of = |path, body: &[u8]| fingerprint("GET", "h", path, body);
    assert_eq!(of("/a", b""), of("/a", b""));
    assert_ne!(of("/a", b""), of("/b", b""));
    assert_ne!(of("/a", b"b"), of("/ab", b""));
}
