use galenaloft_policy::ticket::TicketKey;
use quickcheck::quickcheck;

use super::*;

quickcheck! {
    /// Guards against hosts that do not get back the copies that others look for with them.
    fn copies_are_told_to_the_hosts_that_are_asked_for_them(hosts: u8, sequence: u64) -> bool {
        let hosts: Vec<HostId> = (0..hosts % 12).map(|i| format!("h{i}").into()).collect();
        let active: BTreeSet<&HostId> = hosts.iter().collect();
        let ticket = Ticket::issue("h3".into(), 1, sequence, 0, TicketKey(1, 2));
        let keepers = copy_keepers(&ticket, &active);
        hosts.iter().all(|host| is_copy_keeper(&ticket, host, &active) == keepers.contains(&host))
    }
}
