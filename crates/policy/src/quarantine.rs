//! Quarantine of requests that crash the searchers that run them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::SearcherId;

/// Number of different searchers crashed by a request from which the request is refused. One crash
/// is often a coincidence, since a searcher that crashes also aborts the unrelated requests in its
/// other slots; three are not.
const QUARANTINE_CRASHES: usize = 3;

/// How long a request stays suspected or quarantined after its last crash. Callers usually resend
/// such a request within seconds or minutes.
pub const SUSPICION_TTL: Duration = Duration::from_secs(600);

/// Maximum number of suspected requests in the table.
const MAX_SUSPECTS: usize = 4_096;

/// Number of requests that are removed from a full table at once.
const REMOVED_WHEN_FULL: usize = MAX_SUSPECTS / 8;

/// Number of suspected requests up to which a host takes over those of others. Tables that are close to
/// full may never agree.
const MAX_SUSPECTS_TO_TAKE_OVER: usize = MAX_SUSPECTS / 2;

/// Time between two removals of expired requests.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Hash of a request's method, host, path and body. It identifies a request that is resent under
/// another request id.
pub type Fingerprint = u64;

/// A searcher process that ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Searcher that crashed.
    pub searcher: SearcherId,
}

/// What a host knows of a suspected request, for hosts that do not know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectedRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Searchers that crashed while they ran the request.
    pub searchers: Vec<SearcherId>,
    /// Time since the last of these crashes.
    pub last_crash_ago: Duration,
}

/// Summary of the crashes that a host knows. Hosts compare it to find out whether one of them lacks
/// crashes that the other one knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDigest {
    /// Number of crashes.
    crashes: u32,
    /// Combined hash of the crashes, in any order.
    hash: u64,
}

impl CrashDigest {
    /// Returns whether the host with the digest `other` may know crashes that the one with this digest
    /// lacks. Of two hosts with different digests, at least the one with fewer crashes lacks some. It
    /// then knows all of them, and the other one sees that.
    fn may_lack(self, other: Self) -> bool {
        other.crashes > self.crashes || (other.crashes == self.crashes && other.hash != self.hash)
    }

    fn add(&mut self, fingerprint: Fingerprint, searcher: &SearcherId) {
        self.crashes += 1;
        self.hash ^= crash_hash(fingerprint, searcher);
    }

    fn remove(&mut self, fingerprint: Fingerprint, searcher: &SearcherId) {
        self.crashes -= 1;
        self.hash ^= crash_hash(fingerprint, searcher);
    }

    fn remove_all(&mut self, fingerprint: Fingerprint, suspect: &Suspect) {
        suspect.searchers.iter().for_each(|searcher| self.remove(fingerprint, searcher));
    }
}

fn crash_hash(fingerprint: Fingerprint, searcher: &SearcherId) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&fingerprint.to_le_bytes());
    hash.update(searcher.as_bytes());
    hash.digest()
}

/// Computes the fingerprint of a request.
pub fn fingerprint(method: &str, host: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for field in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash.digest()
}

#[derive(Debug)]
struct Suspect {
    /// Searchers that crashed while they ran the request: the first [`QUARANTINE_CRASHES`] in the
    /// order of their ids, so that all hosts keep the same ones.
    searchers: BTreeSet<SearcherId>,
    last_crash: Instant,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        self.searchers.len() >= QUARANTINE_CRASHES
    }

    fn is_expired(&self, now: Instant) -> bool {
        is_expired(now.saturating_duration_since(self.last_crash))
    }
}

fn is_expired(last_crash_ago: Duration) -> bool {
    last_crash_ago >= SUSPICION_TTL
}

/// Suspected and quarantined requests, as known to one host.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Digest of `suspects`.
    digest: CrashDigest,
    /// When expired requests were last removed.
    expired_removed_at: Option<Instant>,
}

/// How a request is treated because of the crashes it may have caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No recent crash is known; the request is handled normally.
    Clear,
    /// A searcher crashed while it ran the request, which is now sent to one searcher at a time.
    Suspected,
    /// The request has crashed too many searchers and is refused.
    Quarantined,
}

impl Quarantine {
    /// Records a crash. Returns `true` if it adds to what is known of the request: after
    /// [`QUARANTINE_CRASHES`] searchers, further ones hardly do.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) -> bool {
        self.drop_expired(now);
        self.insert(crash.fingerprint, &crash.searcher, now)
    }

    /// Takes over what another host knows. Returns the number of crashes that were not known.
    pub fn merge(&mut self, known: Vec<SuspectedRequest>, now: Instant) -> usize {
        self.drop_expired(now);
        let mut new_crashes = 0;
        for SuspectedRequest { fingerprint, searchers, last_crash_ago } in known {
            if is_expired(last_crash_ago) {
                continue;
            }
            // The clock may not represent times before its start.
            let last_crash = now.checked_sub(last_crash_ago).unwrap_or(now);
            for searcher in &searchers {
                new_crashes += usize::from(self.insert(fingerprint, searcher, last_crash));
            }
        }
        new_crashes
    }

    /// Returns what is known of all suspected requests.
    pub fn known(&mut self, now: Instant) -> Vec<SuspectedRequest> {
        self.drop_expired(now);
        let suspected = |(fingerprint, suspect): (&Fingerprint, &Suspect)| SuspectedRequest {
            fingerprint: *fingerprint,
            searchers: suspect.searchers.iter().cloned().collect(),
            last_crash_ago: now.saturating_duration_since(suspect.last_crash),
        };
        self.suspects.iter().map(suspected).collect()
    }

    /// Returns the digest of the known crashes.
    pub fn digest(&mut self, now: Instant) -> CrashDigest {
        self.drop_expired(now);
        self.digest
    }

    /// Returns whether a host with this digest may know crashes that are to be taken over.
    pub fn may_lack(&mut self, digest: CrashDigest, now: Instant) -> bool {
        self.digest(now).may_lack(digest) && self.suspects.len() <= MAX_SUSPECTS_TO_TAKE_OVER
    }

    /// Returns whether no request is suspected, in which case fingerprints need not be computed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how the request with this fingerprint is treated.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        match self.suspects.get(&fingerprint) {
            Some(suspect) if suspect.is_expired(now) => QuarantineStatus::Clear,
            Some(suspect) if suspect.is_quarantined() => QuarantineStatus::Quarantined,
            Some(_) => QuarantineStatus::Suspected,
            None => QuarantineStatus::Clear,
        }
    }

    /// Counts the suspected requests, quarantined ones not included, and the quarantined ones.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let count = |status| {
            let has_status = |fingerprint: &&Fingerprint| self.status(**fingerprint, now) == status;
            self.suspects.keys().filter(has_status).count()
        };
        (count(QuarantineStatus::Suspected), count(QuarantineStatus::Quarantined))
    }

    /// Inserts a crash. Returns whether it was not known and is kept.
    fn insert(&mut self, fingerprint: Fingerprint, searcher: &SearcherId, at: Instant) -> bool {
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let suspect = self
            .suspects
            .entry(fingerprint)
            .or_insert_with(|| Suspect { searchers: BTreeSet::new(), last_crash: at });
        suspect.last_crash = suspect.last_crash.max(at);
        if !suspect.searchers.insert(searcher.clone()) {
            return false;
        }
        self.digest.add(fingerprint, searcher);
        if suspect.searchers.len() <= QUARANTINE_CRASHES {
            return true;
        }
        let Some(last) = suspect.searchers.pop_last() else {
            return true;
        };
        self.digest.remove(fingerprint, &last);
        last != *searcher
    }

    /// Removes some requests if the table is full: those that are not quarantined first, and then those
    /// whose last crash is longest ago.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let order = |(fingerprint, suspect): (&Fingerprint, &Suspect)| {
            (suspect.is_quarantined(), suspect.last_crash, *fingerprint)
        };
        let mut ordered: Vec<_> = self.suspects.iter().map(order).collect();
        ordered.sort_unstable();
        for (_, _, fingerprint) in ordered.into_iter().take(REMOVED_WHEN_FULL) {
            if let Some(suspect) = self.suspects.remove(&fingerprint) {
                self.digest.remove_all(fingerprint, &suspect);
            }
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= EXPIRY_INTERVAL;
        if !self.expired_removed_at.is_none_or(is_due) {
            return;
        }
        self.expired_removed_at = Some(now);
        let Self { suspects, digest, .. } = self;
        suspects.retain(|fingerprint, suspect| {
            let expired = suspect.is_expired(now);
            if expired {
                digest.remove_all(*fingerprint, suspect);
            }
            !expired
        });
    }
}

#[cfg(test)]
mod tests;
