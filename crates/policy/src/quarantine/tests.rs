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
    assert_eq!(quarantine.danger(1, now), Danger::None);
    assert!(quarantine.note(crash(1, "a"), now));
    assert!(!quarantine.note(crash(1, "a"), now));
    assert!(quarantine.note(crash(1, "b"), now));
    assert_eq!(quarantine.danger(1, now), Danger::Suspected);
    quarantine.note(crash(1, "c"), now);
    assert_eq!(quarantine.danger(1, now), Danger::Quarantined);
    assert_eq!(quarantine.danger(2, now), Danger::None);
    assert_eq!(quarantine.danger(1, now + Duration::from_secs(600)), Danger::None);
}

#[test]
fn fingerprints_tell_requests_apart() {
    let of = |path, body: &[u8]| fingerprint("GET", "h", path, body);
    assert_eq!(of("/a", b""), of("/a", b""));
    assert_ne!(of("/a", b""), of("/b", b""));
    assert_ne!(of("/a", b"b"), of("/ab", b""));
}
