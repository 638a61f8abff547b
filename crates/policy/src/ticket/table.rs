//! Table of the tickets that one process may run.

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
    /// Send the request. The ticket is now marked as running, so that no other caller sends the
    /// same request.
    Run,
    /// The same request is running; wait for its outcome.
    Join,
    /// The same request ended with this outcome.
    Stored(StoredOutcome),
    /// The ticket was used for another request; this one was not run.
    OtherRequest,
    /// The ticket has expired, and its outcome, if any, is no longer available.
    Expired,
    /// The ticket was not issued by the incarnation that it names.
    Forged,
    /// This process does not hold the right to run the ticket.
    NotHolder,
    /// The table is full, so no further ticket can be run.
    Full,
}

/// State of a used ticket. An unused ticket has no state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum TicketState {
    /// The request has been or is being sent.
    Running { digest: u64 },
    /// The request has ended.
    Ended(StoredOutcome),
}

/// The right to run the tickets of one incarnation.
#[derive(Debug)]
struct Right {
    key: TicketKey,
    /// Start of the incarnation, on the clock of this process.
    origin: Instant,
    /// Used tickets by sequence number, each with its `issued_ms`.
    used: BTreeMap<u64, (u64, TicketState)>,
}

/// A right in transfer from a process that is stopping to its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Incarnation whose tickets only the receiver may run from now on.
    pub incarnation: Incarnation,
    key: TicketKey,
    /// Time from the start of the incarnation to the release of the right. The transfer time of the
    /// message is not included.
    age: Duration,
    used: BTreeMap<u64, (u64, TicketState)>,
}

/// All rights that one process holds.
///
/// Only this table decides whether a request may be sent. [`Self::release_rights`] removes a right
/// before it is handed over, and a handover must reach one receiver only. At most one process then
/// returns [`BeginOutcome::Run`] for a ticket, and it does so at most once while the state of the
/// ticket is kept (see [`Self::set_lifetime`]). A request that is known not to have run uses up its
/// ticket as well: a delayed repeat must not run after the caller has received the answer that its
/// request was not run.
#[derive(Debug)]
pub struct TicketTable {
    host: HostId,
    own_incarnation: Incarnation,
    last_sequence: u64,
    rights: BTreeMap<Incarnation, Right>,
    lifetime: Duration,
    capacity: usize,
}

impl TicketTable {
    /// Creates the table of a new incarnation, whose tickets expire after `lifetime`.
    ///
    /// [`Self::begin`] runs no further tickets while the table holds `capacity` used ones. Adopted
    /// rights are not limited.
    pub fn new(
        host: HostId,
        own_incarnation: Incarnation,
        key: TicketKey,
        lifetime: Duration,
        capacity: usize,
        now: Instant,
    ) -> Self {
        let right = Right { key, origin: now, used: BTreeMap::new() };
        let rights = BTreeMap::from([(own_incarnation, right)]);
        Self { host, own_incarnation, last_sequence: 0, rights, lifetime, capacity }
    }

    /// Issues a new ticket. Returns `None` after the rights were released.
    pub fn issue(&mut self, now: Instant) -> Option<Ticket> {
        let right = self.rights.get(&self.own_incarnation)?;
        let issued_ms = millis(now.saturating_duration_since(right.origin));
        self.last_sequence += 1;
        Some(Ticket::issue(
            self.host.clone(),
            self.own_incarnation,
            self.last_sequence,
            issued_ms,
            right.key,
        ))
    }

    /// Returns how long a ticket is valid after its issue.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Sets how long tickets are valid, including those already issued.
    ///
    /// Raising the lifetime also revalidates expired tickets whose state [`Self::forget_expired`]
    /// has already removed. Such a ticket could then run a second time.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime;
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
        if is_expired(ticket.issued_ms, right.origin, self.lifetime, now) {
            return BeginOutcome::Expired;
        }
        match right.used.get(&ticket.sequence) {
            None if used >= self.capacity => BeginOutcome::Full,
            None => {
                let state = TicketState::Running { digest };
                right.used.insert(ticket.sequence, (ticket.issued_ms, state));
                BeginOutcome::Run
            }
            Some((_, TicketState::Running { digest: running_digest }))
                if *running_digest == digest =>
            {
                BeginOutcome::Join
            }
            Some((_, TicketState::Ended(outcome))) if outcome.digest == digest => {
                BeginOutcome::Stored(outcome.clone())
            }
            Some(_) => BeginOutcome::OtherRequest,
        }
    }

    /// Stores the outcome of a run, which answers repeats of the request until the ticket expires.
    /// Has no effect if the right was released in the meantime.
    pub fn finish(&mut self, ticket: &Ticket, outcome: StoredOutcome) {
        if let Some(right) = self.rights.get_mut(&ticket.incarnation) {
            let state = TicketState::Ended(outcome);
            right.used.insert(ticket.sequence, (ticket.issued_ms, state));
        }
    }

    /// Removes expired tickets, except those whose request is still running.
    pub fn forget_expired(&mut self, now: Instant) {
        let lifetime = self.lifetime;
        for right in self.rights.values_mut() {
            let origin = right.origin;
            right.used.retain(|_, (issued_ms, state)| {
                matches!(state, TicketState::Running { .. })
                    || !is_expired(*issued_ms, origin, lifetime, now)
            });
        }
    }

    /// Releases every right, so that this process can no longer run any ticket.
    ///
    /// A ticket whose request is still running ends as [`Verdict::MayHaveRun`], because the
    /// successor must not run it again.
    pub fn release_rights(&mut self, now: Instant) -> Vec<Handover> {
        std::mem::take(&mut self.rights)
            .into_iter()
            .map(|(incarnation, right)| Handover {
                incarnation,
                key: right.key,
                age: now.saturating_duration_since(right.origin),
                used: right
                    .used
                    .into_iter()
                    .map(|(sequence, (issued_ms, state))| {
                        (sequence, (issued_ms, into_ended(state)))
                    })
                    .collect(),
            })
            .collect()
    }

    /// Takes over a right that its holder has released. Has no effect if this process already holds
    /// the right.
    pub fn adopt(&mut self, handover: Handover, now: Instant) {
        let Handover { incarnation, key, age, used } = handover;
        // Falls back to `now` if the clock cannot represent the start of the incarnation; the
        // tickets then expire later.
        let origin = now.checked_sub(age).unwrap_or(now);
        self.rights.entry(incarnation).or_insert(Right { key, origin, used });
    }

    /// Returns whether this process may run the tickets of an incarnation.
    pub fn holds(&self, incarnation: Incarnation) -> bool {
        self.rights.contains_key(&incarnation)
    }

    /// Returns the number of tickets whose request is running.
    pub fn running(&self) -> usize {
        let states = self.rights.values().flat_map(|right| right.used.values());
        states.filter(|(_, state)| matches!(state, TicketState::Running { .. })).count()
    }

    /// Returns the number of used tickets in the table.
    pub fn used(&self) -> usize {
        self.rights.values().map(|right| right.used.len()).sum()
    }
}

fn into_ended(state: TicketState) -> TicketState {
    match state {
        TicketState::Running { digest } => TicketState::Ended(StoredOutcome {
            verdict: Verdict::MayHaveRun,
            receipt: String::new(),
            reason: "the host stopped while the request was running".to_owned(),
            digest,
        }),
        TicketState::Ended(outcome) => TicketState::Ended(outcome),
    }
}

fn is_expired(issued_ms: u64, origin: Instant, lifetime: Duration, now: Instant) -> bool {
    let age = millis(now.saturating_duration_since(origin)).saturating_sub(issued_ms);
    age >= millis(lifetime)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
