//! Member table of a SWIM-style failure detector with suspicion, refutation and gossip.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::membership::HostFact;
use crate::membership::HostState;

/// Time within which a suspected host can refute the suspicion before it counts as dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a dead or leaving host is kept in the table, so that old gossip does not make it alive
/// again.
const DEPARTED_TTL: Duration = Duration::from_secs(60);

/// Number of times a fact is gossiped, per bit of the number of hosts.
const RETRANSMITS_PER_BIT: u32 = 3;

/// Maximum number of facts in one message.
const MAX_FACTS: usize = 8;

/// Change of the known state of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// Host whose state changed.
    pub host: HostId,
    /// Previous state, or `None` if the host is new.
    pub old: Option<HostState>,
    /// New state.
    pub new: HostState,
}

#[derive(Debug)]
struct Member {
    fact: HostFact,
    /// When the fact was learned.
    learned_at: Instant,
    /// Number of further messages that carry the fact.
    sends_left: u32,
}

/// What one host knows about all hosts, itself included.
#[derive(Debug)]
pub struct MemberTable {
    own: HostFact,
    own_sends_left: u32,
    members: BTreeMap<HostId, Member>,
    /// Position of the host that was probed last.
    probe_cursor: usize,
    version: u64,
}

impl MemberTable {
    /// Creates a table that contains only the host itself.
    pub fn new(own: HostFact) -> Self {
        Self {
            own,
            own_sends_left: RETRANSMITS_PER_BIT,
            members: BTreeMap::new(),
            probe_cursor: 0,
            version: 0,
        }
    }

    /// Returns this host's fact about itself.
    pub fn own(&self) -> &HostFact {
        &self.own
    }

    /// Returns a number that increases whenever a newer fact about another host is stored or
    /// [`Self::update_own`] is called.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a fact received from a peer, unless a newer one is known. Returns the resulting
    /// change of the host's state, if any. A fact about this host is refuted if it is wrong.
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
        let sends_left = self.retransmits();
        self.version += 1;
        self.members
            .insert(fact.host.clone(), Member { fact: fact.clone(), learned_at: now, sends_left });
        (old != Some(new)).then_some(StateChange { host: fact.host, old, new })
    }

    /// Adds a host from the platform's list unless it is already known. The list does not show
    /// whether the host is alive.
    pub fn add_listed(&mut self, fact: HostFact, now: Instant) {
        if fact.host != self.own.host && !self.members.contains_key(&fact.host) {
            self.version += 1;
            self.members.insert(fact.host.clone(), Member { fact, learned_at: now, sends_left: 0 });
        }
    }

    /// Marks `host` as suspected after its direct and its indirect probes have failed.
    pub fn suspect(&mut self, host: &HostId, now: Instant) -> Option<StateChange> {
        let member = self.members.get(host)?;
        if member.fact.state != HostState::Alive {
            return None;
        }
        let fact = HostFact { state: HostState::Suspect, ..member.fact.clone() };
        self.apply(fact, now)
    }

    /// Marks suspected hosts as dead if they did not refute the suspicion in time, and removes
    /// hosts that have been dead or leaving for long enough.
    pub fn expire(&mut self, now: Instant) -> Vec<StateChange> {
        let age = |member: &Member| now.saturating_duration_since(member.learned_at);
        let overdue: Vec<HostFact> = self
            .members
            .values()
            .filter(|m| m.fact.state == HostState::Suspect && age(m) >= SUSPICION_TIMEOUT)
            .map(|m| HostFact { state: HostState::Dead, ..m.fact.clone() })
            .collect();
        let changes = overdue.into_iter().filter_map(|fact| self.apply(fact, now)).collect();
        self.members
            .retain(|_, member| member.fact.state.is_active() || age(member) < DEPARTED_TTL);
        changes
    }

    /// Updates this host's own fact when it starts to leave or has taken over the rights of another
    /// incarnation.
    pub fn update_own(&mut self, state: HostState, adopted: Vec<Incarnation>) {
        self.version += 1;
        self.own.generation += 1;
        self.own.state = state;
        self.own.adopted = adopted;
        self.own_sends_left = self.retransmits();
    }

    /// Returns the next host to probe, in round-robin order. Dead hosts are included, so that the
    /// end of a network partition is noticed.
    pub fn next_probe(&mut self) -> Option<HostFact> {
        let mut cursor = self.probe_cursor;
        let target = self.next_probe_after(&mut cursor, |_| true);
        self.probe_cursor = cursor;
        target
    }

    /// Returns the next host to probe after the position `cursor`, which is moved there, among those
    /// whose fact `is_target` accepts.
    pub fn next_probe_after(
        &self,
        cursor: &mut usize,
        is_target: impl Fn(&HostFact) -> bool,
    ) -> Option<HostFact> {
        let count = self.members.len();
        let facts = self.members.values().map(|m| &m.fact);
        let after = facts.cycle().skip(*cursor + 1).take(count);
        let (offset, target) = after.enumerate().find(|(_, fact)| is_target(fact))?;
        *cursor = (*cursor + 1 + offset) % count;
        Some(target.clone())
    }

    /// Returns up to `count` live hosts, other than `target`, for an indirect probe of `target`.
    pub fn relays(&self, target: &HostId, count: usize) -> Vec<HostFact> {
        let live = self.members.values().map(|m| &m.fact);
        live.filter(|f| f.state == HostState::Alive && f.host != *target)
            .take(count)
            .cloned()
            .collect()
    }

    /// Returns the facts for the next message, starting with the host's own. Facts with the
    /// most remaining sends come first.
    pub fn gossip(&mut self) -> Vec<HostFact> {
        self.gossip_where(|_| true)
    }

    /// Returns the facts for the next message, starting with the host's own, where the others are
    /// limited to those that `is_sent` accepts.
    pub fn gossip_where(&mut self, is_sent: impl Fn(&HostFact) -> bool) -> Vec<HostFact> {
        self.own_sends_left = self.own_sends_left.saturating_sub(1);
        let mut facts = vec![self.own.clone()];
        let is_due = |m: &&mut Member| m.sends_left > 0 && is_sent(&m.fact);
        let mut unsent: Vec<&mut Member> = self.members.values_mut().filter(is_due).collect();
        unsent.sort_by_key(|m| std::cmp::Reverse(m.sends_left));
        for member in unsent.into_iter().take(MAX_FACTS - 1) {
            member.sends_left -= 1;
            facts.push(member.fact.clone());
        }
        facts
    }

    /// Returns the facts about other hosts that were learned within the last `max_age`.
    pub fn facts_learned_within(
        &self,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &HostFact> {
        let is_recent = move |m: &&Member| now.saturating_duration_since(m.learned_at) <= max_age;
        self.members.values().filter(is_recent).map(|m| &m.fact)
    }

    /// Removes the other hosts whose fact `is_kept` does not accept.
    pub fn retain(&mut self, is_kept: impl Fn(&HostFact) -> bool) {
        self.members.retain(|_, member| is_kept(&member.fact));
    }

    /// Returns all facts, which are sent to a host that has just started.
    pub fn all_facts(&self) -> Vec<HostFact> {
        let other_facts = self.members.values().map(|m| m.fact.clone());
        std::iter::once(self.own.clone()).chain(other_facts).collect()
    }

    /// Returns the hosts that may own searchers, which are those that are alive or suspected. This
    /// host is included unless it is leaving.
    pub fn active(&self) -> impl Iterator<Item = &HostFact> + Clone {
        std::iter::once(&self.own)
            .chain(self.members.values().map(|m| &m.fact))
            .filter(|f| f.state.is_active())
    }

    /// Returns the known fact about one host.
    pub fn get(&self, host: &str) -> Option<&HostFact> {
        if *host == *self.own.host {
            return Some(&self.own);
        }
        self.members.get(host).map(|m| &m.fact)
    }

    /// Returns the host that holds the right to run the submissions of tickets issued by
    /// `incarnation`, if it is known.
    pub fn rights_holder(&self, incarnation: Incarnation) -> Option<&HostFact> {
        let facts = || std::iter::once(&self.own).chain(self.members.values().map(|m| &m.fact));
        let adopter = facts().find(|f| f.adopted.contains(&incarnation));
        adopter.or_else(|| facts().find(|f| f.incarnation == incarnation))
    }

    /// Returns the known facts about all hosts, this one first.
    pub fn facts(&self) -> impl Iterator<Item = &HostFact> {
        std::iter::once(&self.own).chain(self.members.values().map(|m| &m.fact))
    }

    /// Raises the own generation above that of `fact` if `fact` contradicts the own fact and is not
    /// older.
    fn refute(&mut self, fact: &HostFact) {
        let is_other_incarnation = fact.incarnation != self.own.incarnation;
        if fact.generation < self.own.generation {
            return;
        }
        if is_other_incarnation || fact.state != self.own.state {
            self.own.generation = fact.generation + 1;
            self.own_sends_left = self.retransmits();
        }
    }

    /// Returns how many messages carry a new fact: a multiple of the logarithm of the number of
    /// hosts.
    fn retransmits(&self) -> u32 {
        let hosts = self.members.len() as u32 + 2;
        RETRANSMITS_PER_BIT * (u32::BITS - hosts.leading_zeros())
    }
}
