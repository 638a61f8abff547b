//! The tickets that one process may run.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ticket::StoredOutcome;
use crate::ticket::Ticket;
use crate::ticket::TicketKey;
use crate::verdict::Verdict;

/// What to do with a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Send it: the ticket is marked as running and nobody else may send it.
    Run,
    /// It is running: wait for its outcome.
    Join,
    /// It ended: this is its outcome.
    Stored(StoredOutcome),
    /// The ticket belongs to another request, and this one was not run.
    OtherRequest,
    /// The ticket is past its life; its outcome, if any, is forgotten.
    Expired,
    /// No such ticket was issued.
    Forged,
    /// Another process holds the ticket's right.
    NotHolder,
    /// Too many tickets are remembered to run another.
    Full,
}

/// State of a ticket that was used. A ticket without state is unused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum TicketState {
    /// Its request was or is being sent.
    Running { digest: u64 },
    /// Its request ended.
    Ended(StoredOutcome),
}

/// The right to run one incarnation's tickets.
#[derive(Debug)]
struct Right {
    key: TicketKey,
    /// Start of the incarnation, on this process's clock.
    origin: Instant,
    /// Used tickets by sequence, with the time of issue.
    used: BTreeMap<u64, (u64, TicketState)>,
}

/// A right on its way from a process that stops to its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Incarnation whose tickets the receiver alone may run from now on.
    pub incarnation: Incarnation,
    key: TicketKey,
    age: Duration,
    used: BTreeMap<u64, (u64, TicketState)>,
}

/// All rights that one process holds.
///
/// The table alone decides whether a request may be sent. It is never copied while it is held, so
/// at most one process can answer [`BeginOutcome::Run`] for a ticket, and it does so at most once. A run
/// that is known not to have begun spends the ticket as well: a delayed repeat must not run after
/// the caller was told that its request was not run.
#[derive(Debug)]
pub struct TicketTable {
    host: HostId,
    own: Incarnation,
    sequence: u64,
    rights: BTreeMap<Incarnation, Right>,
    life: Duration,
    capacity: usize,
}

impl TicketTable {
    /// Creates the table of a new incarnation whose tickets live for `life`.
    pub fn new(
        host: HostId,
        own: Incarnation,
        key: TicketKey,
        life: Duration,
        capacity: usize,
        now: Instant,
    ) -> Self {
        let right = Right { key, origin: now, used: BTreeMap::new() };
        let rights = BTreeMap::from([(own, right)]);
        Self { host, own, sequence: 0, rights, life, capacity }
    }

    /// Issues an unused ticket, or `None` after the right was given up.
    pub fn issue(&mut self, now: Instant) -> Option<Ticket> {
        let right = self.rights.get(&self.own)?;
        let issued_ms = millis(now.saturating_duration_since(right.origin));
        self.sequence += 1;
        Some(Ticket::issue(self.host.clone(), self.own, self.sequence, issued_ms, right.key))
    }

    /// Returns how long a ticket lives.
    pub fn lifetime(&self) -> Duration {
        self.life
    }

    /// Sets how long tickets live. Tickets that were forgotten stay expired.
    pub fn set_lifetime(&mut self, life: Duration) {
        self.life = life;
    }

    /// Decides what to do with a request whose content hashes to `digest`.
    pub fn begin(&mut self, ticket: &Ticket, digest: u64, now: Instant) -> BeginOutcome {
        let used = self.used();
        let Some(right) = self.rights.get_mut(&ticket.incarnation) else {
            return BeginOutcome::NotHolder;
        };
        if !ticket.is_genuine(right.key) {
            return BeginOutcome::Forged;
        }
        if is_expired(ticket.issued_ms, right.origin, self.life, now) {
            return BeginOutcome::Expired;
        }
        match right.used.get(&ticket.sequence) {
            None if used >= self.capacity => BeginOutcome::Full,
            None => {
                let state = TicketState::Running { digest };
                right.used.insert(ticket.sequence, (ticket.issued_ms, state));
                BeginOutcome::Run
            }
            Some((_, TicketState::Running { digest: running })) if *running == digest => {
                BeginOutcome::Join
            }
            Some((_, TicketState::Ended(outcome))) if outcome.digest == digest => {
                BeginOutcome::Stored(outcome.clone())
            }
            Some(_) => BeginOutcome::OtherRequest,
        }
    }

    /// Ends a run, whose outcome answers every repeat from now on.
    pub fn finish(&mut self, ticket: &Ticket, outcome: StoredOutcome) {
        if let Some(right) = self.rights.get_mut(&ticket.incarnation) {
            let state = TicketState::Ended(outcome);
            right.used.insert(ticket.sequence, (ticket.issued_ms, state));
        }
    }

    /// Forgets the tickets that are past their life and were not just running.
    pub fn forget_expired(&mut self, now: Instant) {
        let life = self.life;
        for right in self.rights.values_mut() {
            let origin = right.origin;
            right.used.retain(|_, (issued_ms, state)| {
                matches!(state, TicketState::Running { .. })
                    || !is_expired(*issued_ms, origin, life, now)
            });
        }
    }

    /// Gives up every right, so that this process can run no ticket any more.
    ///
    /// A ticket that is still running ends as [`Verdict::MayHaveRun`]: its successor must not run
    /// it again.
    pub fn release_rights(&mut self, now: Instant) -> Vec<Handover> {
        std::mem::take(&mut self.rights)
            .into_iter()
            .map(|(incarnation, right)| Handover {
                incarnation,
                key: right.key,
                age: now.saturating_duration_since(right.origin),
                used: right.used.into_iter().map(|(n, (ms, s))| (n, (ms, ended(s)))).collect(),
            })
            .collect()
    }

    /// Takes over a right that its holder has given up; a repeat of the message changes nothing.
    pub fn adopt(&mut self, handover: Handover, now: Instant) {
        let Handover { incarnation, key, age, used } = handover;
        let origin = now.checked_sub(age).unwrap_or(now);
        self.rights.entry(incarnation).or_insert(Right { key, origin, used });
    }

    /// Returns whether this process may run tickets of an incarnation.
    pub fn holds(&self, incarnation: Incarnation) -> bool {
        self.rights.contains_key(&incarnation)
    }

    /// Returns the number of tickets that are running.
    pub fn running(&self) -> usize {
        let states = self.rights.values().flat_map(|right| right.used.values());
        states.filter(|(_, state)| matches!(state, TicketState::Running { .. })).count()
    }

    /// Returns the number of tickets that are remembered.
    pub fn used(&self) -> usize {
        self.rights.values().map(|right| right.used.len()).sum()
    }
}

fn ended(state: TicketState) -> TicketState {
    match state {
        TicketState::Running { digest } => TicketState::Ended(StoredOutcome {
            verdict: Verdict::MayHaveRun,
            receipt: String::new(),
            reason: "its host stopped while it was running".to_owned(),
            digest,
        }),
        TicketState::Ended(outcome) => TicketState::Ended(outcome),
    }
}

fn is_expired(issued_ms: u64, origin: Instant, life: Duration, now: Instant) -> bool {
    let age = millis(now.saturating_duration_since(origin)).saturating_sub(issued_ms);
    age >= millis(life)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
