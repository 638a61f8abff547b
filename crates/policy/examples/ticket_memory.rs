//! Prints the resident memory of the process while a ticket table grows.

use std::fs;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::ticket::TicketKey;
use galenaloft_policy::ticket::TicketTable;
use galenaloft_policy::verdict::Verdict;

/// Size of a memory page on x86-64, in KiB.
const PAGE_KIB: u64 = 4;

/// Number of measurements after the one of the empty table.
const STEPS: u32 = 4;

const TICKETS_PER_STEP: u32 = 50_000;

fn resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("the second field of statm is a number of pages") * PAGE_KIB
}

fn main() {
    let now = Instant::now();
    let lifetime = Duration::from_secs(600);
    let mut table = TicketTable::new("h1".into(), 1, TicketKey(1, 2), lifetime, usize::MAX, now);
    println!("tickets kilobytes");
    for step in 0..=STEPS {
        println!("{} {}", step * TICKETS_PER_STEP, resident_kib());
        for _ in 0..TICKETS_PER_STEP {
            let ticket =
                table.issue(now).expect("the table holds the right of its own incarnation");
            table.begin(&ticket, 1, now);
            let receipt = "billing-13-ec1b68253aa9bf83-1".to_owned();
            let reason = String::new();
            let verdict = Verdict::Ran;
            let outcome = StoredOutcome { verdict, receipt, reason, digest: 1 };
            table.finish(&ticket, outcome);
        }
    }
}
