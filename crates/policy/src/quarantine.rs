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
const SUSPICION_TTL: Duration = Duration::from_secs(600);

/// Maximum number of suspected requests in the table, which is cleared when it is full.
const MAX_SUSPECTS: usize = 4_096;

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
    /// Searchers that crashed while they ran the request.
    searchers: BTreeSet<SearcherId>,
    last_crash: Instant,
}

/// Suspected and quarantined requests, as known to one host.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
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
    /// Records a crash. Returns `true` if this request was not yet known to have crashed this
    /// searcher.
    pub fn record_crash(&mut self, crash: Crash, now: Instant) -> bool {
        self.drop_expired(now);
        let suspect = self
            .suspects
            .entry(crash.fingerprint)
            .or_insert_with(|| Suspect { searchers: BTreeSet::new(), last_crash: now });
        suspect.last_crash = now;
        suspect.searchers.insert(crash.searcher)
    }

    /// Returns whether no request is suspected, in which case fingerprints need not be computed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how the request with this fingerprint is treated.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        match self.suspects.get(&fingerprint) {
            Some(suspect) if now.saturating_duration_since(suspect.last_crash) >= SUSPICION_TTL => {
                QuarantineStatus::Clear
            }
            Some(suspect) if suspect.searchers.len() >= QUARANTINE_CRASHES => {
                QuarantineStatus::Quarantined
            }
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

    fn drop_expired(&mut self, now: Instant) {
        let is_recent =
            |suspect: &Suspect| now.saturating_duration_since(suspect.last_crash) < SUSPICION_TTL;
        self.suspects.retain(|_, suspect| is_recent(suspect));
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.clear();
        }
    }
}

#[cfg(test)]
mod tests;
