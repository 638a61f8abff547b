use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use super::*;

fn fact(host: u8, generation: u64, state: HostState) -> HostFact {
    HostFact {
        host: format!("h{host}").into(),
        zone: "a".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        capacity: FULL_CORE_CAPACITY,
        incarnation: u64::from(host),
        generation,
        state,
        adopted: Vec::new(),
    }
}

fn state(n: u8) -> HostState {
    let states = [HostState::Alive, HostState::Suspect, HostState::Dead, HostState::Leaving];
    states[usize::from(n) % 4]
}

#[test]
fn a_suspected_host_refutes_the_suspicion_or_is_declared_dead() {
    let now = Instant::now();
    let mut one = MemberTable::new(fact(1, 1, HostState::Alive));
    let mut two = MemberTable::new(fact(2, 1, HostState::Alive));
    one.apply(two.own().clone(), now);
    one.suspect(&"h2".into(), now);
    for suspicion in one.gossip() {
        two.apply(suspicion, now);
    }
    assert_eq!(two.own().generation, 2);
    one.apply(two.own().clone(), now);
    assert_eq!(one.get("h2").unwrap().state, HostState::Alive);
    one.suspect(&"h2".into(), now);
    let later = now + Duration::from_secs(2);
    let declared_dead =
        StateChange { host: "h2".into(), old: Some(HostState::Suspect), new: HostState::Dead };
    assert_eq!(one.expire(later), vec![declared_dead]);
    assert_eq!(one.active().count(), 1);
}

#[test]
fn a_host_on_the_platforms_list_does_not_replace_a_known_fact() {
    let now = Instant::now();
    let mut table = MemberTable::new(fact(1, 1, HostState::Alive));
    table.apply(fact(2, 5, HostState::Dead), now);
    table.add_listed(fact(2, 0, HostState::Alive), now);
    assert_eq!(table.get("h2").unwrap().state, HostState::Dead);
}

quickcheck! {
    fn gossip_in_any_order_converges(facts: Vec<(u8, u8, u8)>, skip: usize) -> bool {
        let now = Instant::now();
        let facts: Vec<HostFact> = facts
            .into_iter()
            .map(|(host, generation, n)| fact(host % 4 + 2, u64::from(generation), state(n)))
            .collect();
        let skip = skip % (facts.len() + 1);
        let mut one = MemberTable::new(fact(1, 1, HostState::Alive));
        let mut two = MemberTable::new(fact(1, 1, HostState::Alive));
        facts.iter().for_each(|f| drop(one.apply(f.clone(), now)));
        facts[skip..].iter().chain(&facts[..skip]).for_each(|f| drop(two.apply(f.clone(), now)));
        one.all_facts() == two.all_facts()
    }
}
