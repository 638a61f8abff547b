//! Gossip of a whole large fleet, played without a network.

use std::time::Duration;
use std::time::Instant;

use super::*;
use crate::membership::FULL_CORE_CAPACITY;

const MS: Duration = Duration::from_millis(1);

/// Time between two probes of a host.
const ROUND: Duration = Duration::from_millis(200);

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

const HOSTS_PER_ZONE: usize = 59;

/// Hosts of each zone with half a core; the others have about an eighth.
const LARGE_HOSTS: usize = 3;

/// One host of the fleet.
struct Player {
    table: MemberTable,
    zones: Option<ZoneGossip>,
    cursor: usize,
    other_zones_cursor: usize,
    alive: bool,
}

/// All hosts of a fleet, which start at the same time and know only three seeds.
struct Fleet {
    players: Vec<Player>,
    now: Instant,
    round: usize,
    /// Facts that crossed a zone boundary in the last round.
    crossing_facts: usize,
}

impl Fleet {
    fn start() -> Self {
        let now = Instant::now();
        let players = (0..ZONES.len() * HOSTS_PER_ZONE).map(|index| {
            let table = MemberTable::new(fact(index));
            let cursor = index * 31;
            Player { table, zones: None, cursor, other_zones_cursor: cursor, alive: true }
        });
        Self { players: players.collect(), now, round: 0, crossing_facts: 0 }
    }

    fn play(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.play_round();
        }
    }

    fn play_round(&mut self) {
        self.crossing_facts = 0;
        for index in 0..self.players.len() {
            if self.players[index].alive {
                self.play_probes(index);
            }
        }
        self.now += ROUND;
        self.round += 1;
    }

    fn play_probes(&mut self, index: usize) {
        let player = &mut self.players[index];
        player.table.expire(self.now);
        // Messages state the sizes of zones, so that a host that knows another one knows the size of
        // the fleet.
        let knows_others = player.table.active().count() > 1;
        let fleet_hosts = if knows_others { ZONES.len() * HOSTS_PER_ZONE } else { 1 };
        player.zones = ZoneGossip::new(&player.table, fleet_hosts);
        if let Some(zones) = &player.zones {
            player.table.retain(|fact| zones.is_kept(fact));
        }
        let zone = player.table.own().zone.clone();
        let mut targets = Vec::new();
        if self.round.is_multiple_of(5) {
            let seeds = [0, 2 * HOSTS_PER_ZONE + 7, 4 * HOSTS_PER_ZONE + 20];
            let known = |seed: &usize| player.table.get(&fact(*seed).host).is_some();
            let unknown = seeds.into_iter().filter(|seed| !known(seed));
            if player.zones.as_ref().is_none_or(|zones| !zones.is_connected(&player.table)) {
                targets.extend(unknown.map(|seed| (seed, true)));
            }
        }
        let wants_all = self.round < ALL_FACTS_ROUNDS as usize;
        match &player.zones {
            None => targets.extend(player.table.next_probe().map(|f| (index_of(&f), wants_all))),
            Some(zones) => {
                let table = &player.table;
                let target = table.next_probe_after(&mut player.cursor, |f| f.zone == zone);
                targets.extend(target.map(|f| (index_of(&f), wants_all)));
                if self.round.is_multiple_of(2) {
                    let is_target = |f: &HostFact| zones.is_probed_across_zones(table.own(), f);
                    let target = table.next_probe_after(&mut player.other_zones_cursor, is_target);
                    targets.extend(target.map(|f| (index_of(&f), wants_all)));
                }
            }
        }
        for (target, wants_all) in targets.into_iter().filter(|(target, _)| *target != index) {
            self.send(index, target, false);
            match self.players[target].alive {
                true => self.send(target, index, wants_all),
                false => {
                    let host = fact(target).host;
                    self.players[index].table.suspect(&host, self.now);
                }
            }
        }
    }

    /// Has one host send its gossip, or all that the other needs, to another host.
    fn send(&mut self, from: usize, to: usize, all: bool) {
        let zone = self.players[to].table.own().zone.clone();
        let knows_receiver = self.players[from].table.get(&fact(to).host).is_some();
        let sender = &mut self.players[from];
        let facts = match &sender.zones {
            None if all => sender.table.all_facts(),
            None => sender.table.gossip(),
            Some(zones) if all => {
                let mut facts = sender.table.all_facts();
                facts.retain(|f| f.zone == zone || zones.is_representative(&f.host));
                facts
            }
            Some(_) if !knows_receiver => vec![sender.table.own().clone()],
            Some(zones) if sender.table.own().zone == zone => {
                sender.table.gossip_where(|f| zones.is_kept(f))
            }
            Some(zones) => zones.facts_for_other_zone(&sender.table, &zone, self.now),
        };
        if sender.table.own().zone != zone {
            self.crossing_facts += facts.len();
        }
        if self.players[to].alive {
            for fact in facts {
                self.players[to].table.apply(fact, self.now);
            }
        }
    }

    /// Returns how many hosts regard `host` as active, by zone.
    fn active_views(&self, host: usize) -> Vec<usize> {
        let id = fact(host).host;
        let knows = |player: &&Player| player.table.active().any(|f| f.host == id);
        let in_zone = |zone: usize| {
            let players = &self.players[zone * HOSTS_PER_ZONE..(zone + 1) * HOSTS_PER_ZONE];
            players.iter().filter(|player| player.alive).filter(knows).count()
        };
        (0..ZONES.len()).map(in_zone).collect()
    }
}

fn fact(index: usize) -> HostFact {
    let zone = ZONES[index / HOSTS_PER_ZONE];
    let number = index % HOSTS_PER_ZONE;
    let is_large = number < LARGE_HOSTS;
    HostFact {
        host: format!("{zone}-{number:02}").into(),
        zone: zone.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        capacity: if is_large { FULL_CORE_CAPACITY / 2 } else { 120 },
        incarnation: index as u64,
        generation: 1,
        state: HostState::Alive,
        adopted: Vec::new(),
    }
}

fn index_of(fact: &HostFact) -> usize {
    fact.incarnation as usize
}

#[test]
fn a_fleet_that_starts_at_once_knows_its_zones_and_the_representatives_of_the_others() {
    let mut fleet = Fleet::start();
    fleet.play(5_000 * MS);
    let everywhere = vec![HOSTS_PER_ZONE; ZONES.len()];
    for zone in 0..ZONES.len() {
        for host in 0..LARGE_HOSTS {
            assert_eq!(fleet.active_views(zone * HOSTS_PER_ZONE + host), everywhere);
        }
    }
    // The whole fleet is known before callers come, 14 s after the start.
    fleet.play(8_000 * MS);
    for zone in 0..ZONES.len() {
        let mut in_own_zone = vec![0; ZONES.len()];
        in_own_zone[zone] = HOSTS_PER_ZONE;
        for host in LARGE_HOSTS + 1..HOSTS_PER_ZONE {
            assert_eq!(fleet.active_views(zone * HOSTS_PER_ZONE + host), in_own_zone);
        }
    }
}

#[test]
fn gossip_between_zones_ends_once_the_fleet_is_known() {
    let mut fleet = Fleet::start();
    fleet.play(20_000 * MS);
    // Each of the 20 representatives probes one of another zone every 400 ms; a message and its
    // reply each have the facts about the four representatives of their sender's zone.
    let mut total = 0;
    for _ in 0..10 {
        fleet.play_round();
        total += fleet.crossing_facts;
    }
    assert_eq!(total, 20 * 2 * 4 * 5);
}

#[test]
fn the_death_of_a_representative_is_known_to_nearly_all_zones_in_four_seconds() {
    let mut fleet = Fleet::start();
    fleet.play(10_000 * MS);
    fleet.players[HOSTS_PER_ZONE].alive = false;
    fleet.play(4_000 * MS);
    let views = fleet.active_views(HOSTS_PER_ZONE);
    assert!(views.iter().all(|uninformed| *uninformed <= HOSTS_PER_ZONE / 10), "{views:?}");
    fleet.play(6_000 * MS);
    assert_eq!(fleet.active_views(HOSTS_PER_ZONE), vec![0; ZONES.len()]);
    // The next host in the order of capacities has taken its place.
    let successor = fact(HOSTS_PER_ZONE + LARGE_HOSTS + 1).host;
    for zone in 0..ZONES.len() {
        let zones = fleet.players[zone * HOSTS_PER_ZONE + 30].zones.as_ref().unwrap();
        assert!(zones.is_representative(&successor), "{zone}");
    }
}
