use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;

use super::*;
use crate::verdict::Verdict;

const LIFETIME: Duration = Duration::from_secs(60);

fn table(incarnation: u64, now: Instant) -> TicketTable {
    TicketTable::new("h1".into(), incarnation, TicketKey(incarnation, 7), LIFETIME, 1_000, now)
}

fn outcome(verdict: Verdict, digest: u64) -> StoredOutcome {
    StoredOutcome { verdict, receipt: "r".to_owned(), reason: String::new(), digest }
}

#[test]
fn a_ticket_round_trips_through_its_text_form_and_malformed_text_is_rejected() {
    let ticket = table(9, Instant::now()).issue(Instant::now()).unwrap();
    assert_eq!(ticket.to_string().parse(), Ok(ticket));
    assert_eq!("h1.1.2.3".parse::<Ticket>(), Err(TicketParseError));
    assert_eq!("h1.1.2.3.zz".parse::<Ticket>(), Err(TicketParseError));
}

#[test]
fn a_forged_or_expired_ticket_is_not_run() {
    let now = Instant::now();
    let mut table = table(9, now);
    let ticket = table.issue(now).unwrap();
    let forged = Ticket { sequence: 2, ..ticket.clone() };
    assert_eq!(table.begin(&forged, 1, now), BeginOutcome::Forged);
    assert_eq!(table.begin(&ticket, 1, now + LIFETIME), BeginOutcome::Expired);
    assert_eq!(table.begin(&ticket, 1, now), BeginOutcome::Run);
    assert_eq!(table.begin(&ticket, 2, now), BeginOutcome::OtherRequest);
}

/// One step of a simulation of two ticket tables between which rights are handed over.
#[derive(Debug, Clone)]
enum Step {
    /// `Issue(side)`: issues a ticket from table `side`.
    Issue(bool),
    /// `Begin(side, i)`: begins a request at table `side` with the issued ticket `i`.
    Begin(bool, usize),
    /// `Finish(i, verdict)`: finishes the running request `i` with this verdict.
    Finish(usize, u8),
    /// `HandOver(from, lost)`: hands over the rights of table `from` to the other table. The
    /// messages are lost if `lost` is set, else they arrive twice.
    HandOver(bool, bool),
    /// Advances the clock by this many milliseconds and removes expired tickets.
    AdvanceMs(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let side = bool::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0 | 1 => Self::Issue(side),
            2..=6 => Self::Begin(side, usize::arbitrary(g)),
            7..=9 => Self::Finish(usize::arbitrary(g), u8::arbitrary(g)),
            10 => Self::HandOver(side, bool::arbitrary(g)),
            _ => Self::AdvanceMs(u16::arbitrary(g)),
        }
    }
}

quickcheck! {
    fn a_ticket_runs_at_most_once(steps: Vec<Step>) -> bool {
        let mut now = Instant::now();
        let mut tables = [table(1, now), table(2, now)];
        let mut tickets = Vec::new();
        let mut sent = BTreeSet::new();
        let mut running: Vec<(Ticket, usize)> = Vec::new();
        for step in steps {
            match step {
                Step::Issue(side) => tickets.extend(tables[usize::from(side)].issue(now)),
                Step::Begin(side, i) if !tickets.is_empty() => {
                    let ticket: &Ticket = &tickets[i % tickets.len()];
                    let side = usize::from(side);
                    if tables[side].begin(ticket, 1, now) == BeginOutcome::Run {
                        if !sent.insert(ticket.to_string()) {
                            return false;
                        }
                        running.push((ticket.clone(), side));
                    }
                }
                Step::Finish(i, verdict) if !running.is_empty() => {
                    let (ticket, side) = running.swap_remove(i % running.len());
                    let verdicts = [Verdict::Ran, Verdict::NotRun, Verdict::MayHaveRun];
                    let verdict = verdicts[usize::from(verdict) % 3];
                    tables[side].finish(&ticket, outcome(verdict, 1));
                }
                Step::HandOver(from, lost) => {
                    let from = usize::from(from);
                    for handover in tables[from].release_rights(now) {
                        if !lost {
                            tables[1 - from].adopt(handover.clone(), now);
                            tables[1 - from].adopt(handover, now);
                        }
                    }
                }
                Step::AdvanceMs(ms) => {
                    now += Duration::from_millis(u64::from(ms));
                    tables.iter_mut().for_each(|table| table.forget_expired(now));
                }
                Step::Begin(..) | Step::Finish(..) => {}
            }
        }
        true
    }
}
