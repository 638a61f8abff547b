//! Requests that crash the searchers that run them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::SearcherId;

/// Crashed searchers after which a request is refused. One crash is often a coincidence, and a
/// searcher that ends takes up to its slots of innocent requests with it; three are not.
const CRASHES: usize = 3;

/// How long a request counts as dangerous after its last crash. Its caller sends it again within
/// seconds or minutes.
const REMEMBERED: Duration = Duration::from_secs(600);

/// Most requests that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// What identifies a request that comes again under another id.
pub type Fingerprint = u64;

/// A searcher that ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The searcher.
    pub searcher: SearcherId,
}

/// Computes the fingerprint of a request.
pub fn fingerprint(method: &str, host: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

#[derive(Debug)]
struct Suspect {
    searchers: BTreeSet<SearcherId>,
    last: Instant,
}

/// Requests during which searchers crashed, as known to one host.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Like any other.
    Clear,
    /// A searcher crashed while it ran it: it is sent to one searcher at a time.
    Suspected,
    /// It is refused.
    Quarantined,
}

impl Quarantine {
    /// Notes a crash. Returns whether it was not known yet.
    pub fn record_crash(&mut self, crash: Crash, now: Instant) -> bool {
        self.forget(now);
        let suspect = self
            .suspects
            .entry(crash.fingerprint)
            .or_insert_with(|| Suspect { searchers: BTreeSet::new(), last: now });
        suspect.last = now;
        suspect.searchers.insert(crash.searcher)
    }

    /// Returns whether nothing is suspected, so that no fingerprint is needed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how a request is treated.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        match self.suspects.get(&fingerprint) {
            Some(suspect) if now.saturating_duration_since(suspect.last) >= REMEMBERED => {
                QuarantineStatus::Clear
            }
            Some(suspect) if suspect.searchers.len() >= CRASHES => QuarantineStatus::Quarantined,
            Some(_) => QuarantineStatus::Suspected,
            None => QuarantineStatus::Clear,
        }
    }

    fn forget(&mut self, now: Instant) {
        let recent = |s: &Suspect| now.saturating_duration_since(s.last) < REMEMBERED;
        self.suspects.retain(|_, suspect| recent(suspect));
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.clear();
        }
    }
}

#[cfg(test)]
mod tests;
