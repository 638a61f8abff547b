//! Failure detection in the manner of SWIM: probes, suspicion, refutation and gossip.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::membership::HostFact;
use crate::membership::HostState;

/// How long a suspected host may refute before it counts as dead.
const SUSPICION: Duration = Duration::from_millis(1_000);

/// How long a dead or left host is remembered, so that old gossip does not revive it.
const REMEMBERED: Duration = Duration::from_secs(60);

/// How many times a fact is passed on, per power of two of the group's size.
const RETRANSMITS: u32 = 3;

/// Most facts in one message.
const MAX_FACTS: usize = 8;

/// A change of what is believed of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// The host.
    pub host: HostId,
    /// State before, or `None` for a new host.
    pub old: Option<HostState>,
    /// State after.
    pub new: HostState,
}

#[derive(Debug)]
struct Member {
    fact: HostFact,
    since: Instant,
    /// How many more times the fact is passed on.
    to_send: u32,
}

/// What one host believes of all hosts, itself included.
#[derive(Debug)]
pub struct MemberTable {
    own: HostFact,
    own_to_send: u32,
    members: BTreeMap<HostId, Member>,
    cursor: usize,
    version: u64,
}

impl MemberTable {
    /// Creates a table that knows only the host itself.
    pub fn new(own: HostFact) -> Self {
        Self { own, own_to_send: RETRANSMITS, members: BTreeMap::new(), cursor: 0, version: 0 }
    }

    /// Returns the host's own fact.
    pub fn own(&self) -> &HostFact {
        &self.own
    }

    /// Returns a number that changes whenever what is believed of any host changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Learns a fact from a peer. Returns the change that it makes, if any.
    pub fn apply(&mut self, fact: HostFact, now: Instant) -> Option<StateChange> {
        if fact.host == self.own.host {
            self.refute(&fact);
            return None;
        }
        let new = fact.state;
        let old = self.members.get(&fact.host).map(|m| m.fact.state);
        if let Some(member) = self.members.get(&fact.host) {
            let restarted = member.fact.incarnation != fact.incarnation;
            let newer = fact.generation > member.fact.generation;
            if !fact.supersedes(&member.fact) || (restarted && !newer) {
                return None;
            }
        }
        let to_send = self.retransmits();
        self.version += 1;
        self.members.insert(fact.host.clone(), Member { fact: fact.clone(), since: now, to_send });
        (old != Some(new)).then_some(StateChange { host: fact.host, old, new })
    }

    /// Learns a host from the platform's list, which proves neither life nor death.
    pub fn add_listed(&mut self, fact: HostFact, now: Instant) {
        if fact.host != self.own.host && !self.members.contains_key(&fact.host) {
            self.version += 1;
            self.members.insert(fact.host.clone(), Member { fact, since: now, to_send: 0 });
        }
    }

    /// Notes that a probe of `host` failed, directly and through others.
    pub fn suspect(&mut self, host: &HostId, now: Instant) -> Option<StateChange> {
        let member = self.members.get(host)?;
        if member.fact.state != HostState::Alive {
            return None;
        }
        let fact = HostFact { state: HostState::Suspect, ..member.fact.clone() };
        self.apply(fact, now)
    }

    /// Turns suspicions that were not refuted in time into deaths and forgets old ones.
    pub fn expire(&mut self, now: Instant) -> Vec<StateChange> {
        let age = |member: &Member| now.saturating_duration_since(member.since);
        let overdue: Vec<HostFact> = self
            .members
            .values()
            .filter(|m| m.fact.state == HostState::Suspect && age(m) >= SUSPICION)
            .map(|m| HostFact { state: HostState::Dead, ..m.fact.clone() })
            .collect();
        let changes = overdue.into_iter().filter_map(|fact| self.apply(fact, now)).collect();
        self.members.retain(|_, member| match member.fact.state {
            HostState::Alive | HostState::Suspect => true,
            HostState::Dead | HostState::Leaving => age(member) < REMEMBERED,
        });
        changes
    }

    /// States that this host is leaving, or holds further rights.
    pub fn update_own(&mut self, state: HostState, adopted: Vec<Incarnation>) {
        self.version += 1;
        self.own.generation += 1;
        self.own.state = state;
        self.own.adopted = adopted;
        self.own_to_send = self.retransmits();
    }

    /// Returns the next host to probe: each in turn, the dead ones too, so that a healed
    /// partition is noticed.
    pub fn next_probe(&mut self) -> Option<HostFact> {
        let count = self.members.len();
        if count == 0 {
            return None;
        }
        self.cursor = (self.cursor + 1) % count;
        self.members.values().nth(self.cursor).map(|m| m.fact.clone())
    }

    /// Returns up to `count` live hosts other than `target` to probe through.
    pub fn relays(&self, target: &HostId, count: usize) -> Vec<HostFact> {
        let live = self.members.values().map(|m| &m.fact);
        live.filter(|f| f.state == HostState::Alive && f.host != *target)
            .take(count)
            .cloned()
            .collect()
    }

    /// Returns the facts to put into the next message, the host's own first.
    pub fn gossip(&mut self) -> Vec<HostFact> {
        self.own_to_send = self.own_to_send.saturating_sub(1);
        let mut facts = vec![self.own.clone()];
        let mut fresh: Vec<&mut Member> =
            self.members.values_mut().filter(|m| m.to_send > 0).collect();
        fresh.sort_by_key(|m| std::cmp::Reverse(m.to_send));
        for member in fresh.into_iter().take(MAX_FACTS - 1) {
            member.to_send -= 1;
            facts.push(member.fact.clone());
        }
        facts
    }

    /// Returns every fact, for a host that has just started.
    pub fn all_facts(&self) -> Vec<HostFact> {
        let others = self.members.values().map(|m| m.fact.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Returns the hosts that may own searchers: alive or merely suspected, this one included
    /// unless it is leaving.
    pub fn active(&self) -> impl Iterator<Item = &HostFact> {
        std::iter::once(&self.own)
            .chain(self.members.values().map(|m| &m.fact))
            .filter(|f| matches!(f.state, HostState::Alive | HostState::Suspect))
    }

    /// Returns what is known of one host.
    pub fn get(&self, host: &str) -> Option<&HostFact> {
        if *host == *self.own.host {
            return Some(&self.own);
        }
        self.members.get(host).map(|m| &m.fact)
    }

    /// Returns the host that holds the rights of an incarnation, as far as known.
    pub fn rights_holder(&self, incarnation: Incarnation) -> Option<&HostFact> {
        let all = || std::iter::once(&self.own).chain(self.members.values().map(|m| &m.fact));
        let adopter = all().find(|f| f.adopted.contains(&incarnation));
        adopter.or_else(|| all().find(|f| f.incarnation == incarnation))
    }

    /// Returns what is known of every host.
    pub fn facts(&self) -> impl Iterator<Item = &HostFact> {
        std::iter::once(&self.own).chain(self.members.values().map(|m| &m.fact))
    }

    fn refute(&mut self, fact: &HostFact) {
        let about_other_run = fact.incarnation != self.own.incarnation;
        if fact.generation < self.own.generation {
            return;
        }
        if about_other_run || fact.state != self.own.state {
            self.own.generation = fact.generation + 1;
            self.own_to_send = self.retransmits();
        }
    }

    fn retransmits(&self) -> u32 {
        let group = self.members.len() as u32 + 2;
        RETRANSMITS * (u32::BITS - group.leading_zeros())
    }
}
