//! One step of a run: something a caller, an operator or a fault does.

use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::world::HOSTS;
use crate::world::catalogue::SEARCHERS;
use crate::world::platform::PlatformFault;
use crate::world::searchers::Fault;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    Search {
        host: usize,
    },
    Fetch {
        host: usize,
        document: u8,
    },
    TakeTicket {
        host: usize,
    },
    /// Sends a submission under one of the last tickets, for the first time or again.
    Submit {
        host: usize,
        ticket: u8,
        other_body: bool,
    },
    Kill {
        host: usize,
    },
    Restart {
        host: usize,
    },
    Freeze {
        host: usize,
    },
    Wake {
        host: usize,
    },
    Drain {
        host: usize,
    },
    Split,
    Isolate {
        host: usize,
    },
    Heal,
    SearcherFault {
        searcher: usize,
        fault: Fault,
    },
    PlatformFault {
        fault: PlatformFault,
    },
    Publish {
        worth: u8,
        valid: bool,
    },
    /// Publishes a second text under the present version.
    Race {
        worth: u8,
    },
    /// Puts the platform back to an older version.
    Restore {
        worth: u8,
    },
    NewSnapshot {
        repartition: bool,
    },
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % HOSTS;
        let searcher = usize::arbitrary(g) % SEARCHERS;
        let number = u8::arbitrary(g);
        let flag = bool::arbitrary(g);
        match u8::arbitrary(g) % 64 {
            0..=11 => Self::Search { host },
            12..=15 => Self::Fetch { host, document: number },
            16..=20 => Self::TakeTicket { host },
            21..=31 => Self::Submit { host, ticket: number % 6, other_body: number > 240 },
            32 | 33 => Self::Kill { host },
            34..=37 => Self::Restart { host },
            38 => Self::Freeze { host },
            39 | 40 => Self::Wake { host },
            41 => Self::Drain { host },
            42 => Self::Split,
            43 => Self::Isolate { host },
            44 | 45 => Self::Heal,
            46..=49 => Self::SearcherFault { searcher, fault: fault(g) },
            50 | 51 => Self::SearcherFault { searcher, fault: Fault::None },
            52 => Self::PlatformFault { fault: platform_fault(g) },
            53 | 54 => Self::Publish { worth: number, valid: flag || number > 30 },
            55 => Self::Race { worth: number },
            56 if flag => Self::Restore { worth: number },
            56 | 57 => Self::NewSnapshot { repartition: flag },
            _ => Self::Wait { ms: u16::arbitrary(g) % if flag { 20 } else { 2_000 } },
        }
    }
}

fn fault(g: &mut Gen) -> Fault {
    let faults = [
        Fault::Killed,
        Fault::Slow,
        Fault::Draining,
        Fault::LostReplies,
        Fault::LateReplies,
        Fault::CrossedReplies,
        Fault::NoNewSnapshot,
        Fault::Shedding,
    ];
    *g.choose(&faults).expect("not empty")
}

fn platform_fault(g: &mut Gen) -> PlatformFault {
    let faults = [PlatformFault::None, PlatformFault::Down, PlatformFault::Stale];
    *g.choose(&faults).expect("not empty")
}
