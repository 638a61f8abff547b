//! The faults of a run, drawn from its seed.

use std::time::Duration;

use galenaloft_platform_standin::searcher::Fault;
use galenaloft_platform_standin::store::StoreFault;
use rand::Rng;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::proxy::Harm;

const MS: Duration = Duration::from_millis(1);

/// Faults of a searcher that a run draws from.
const SEARCHER_FAULTS: [Fault; 10] = [
    Fault::Lost,
    Fault::Silent,
    Fault::Busy,
    Fault::Error,
    Fault::Truncated,
    Fault::Garbage,
    Fault::Twice,
    Fault::Unframed,
    Fault::OtherRequest,
    Fault::Encoded,
];

/// One thing that happens to the system. Numbers of hosts and searchers are taken modulo what there
/// is.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A host gets SIGTERM and starts again after its end.
    Stop { host: usize },
    /// A host gets SIGHUP.
    Reload { host: usize },
    /// A host is killed and starts again after a while.
    Kill { host: usize, down: Duration },
    /// A host stands still for a while.
    Pause { host: usize, time: Duration },
    /// The connections of a host to the store are harmed for a while.
    HarmStore { host: usize, harm: Harm, time: Duration },
    /// The store misbehaves towards every host for a while.
    StoreFault { fault: StoreFault, time: Duration },
    /// The store is away for a while, in which every searcher's entry lapses; they are listed again
    /// within the time that the platform states.
    Lapse { time: Duration },
    /// The store forgets its history.
    Compact,
    /// A searcher misbehaves for a while.
    SearcherFault { searcher: usize, fault: Fault, time: Duration },
    /// A searcher takes longer for a while.
    Slow { searcher: usize, work: Duration, time: Duration },
    /// The connections to a searcher are harmed for a while.
    HarmSearcher { searcher: usize, harm: Harm, time: Duration },
    /// A searcher ends without a word, and another one starts after a while.
    Crash { searcher: usize, down: Duration },
    /// A searcher drains and leaves, after another one has started.
    Replace { searcher: usize },
    /// A configuration sends fetches to the other service.
    Configure,
}

/// What kinds of actions a run draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kinds {
    /// Planned work only: nothing may be lost.
    Planned,
    /// Planned work and faults.
    All,
}

impl Kinds {
    /// Returns the kinds that a seed plays: each third one has planned work only.
    pub fn of(seed: u64) -> Self {
        if seed.is_multiple_of(3) { Self::Planned } else { Self::All }
    }
}

/// Draws the next action.
pub fn draw(kinds: Kinds, rng: &mut SmallRng) -> Action {
    let number = rng.random_range(0..usize::from(u16::MAX));
    let time = rng.random_range(300..4_000) * MS;
    let limit = match kinds {
        Kinds::Planned => 5,
        Kinds::All => 17,
    };
    match rng.random_range(0..limit) {
        0 | 1 => Action::Stop { host: number },
        2 => Action::Reload { host: number },
        3 => Action::Configure,
        4 => Action::Replace { searcher: number },
        5 => Action::Kill { host: number, down: time / 2 },
        6 => Action::Pause { host: number, time },
        7 => Action::HarmStore { host: number, harm: harm(rng), time },
        8 => Action::StoreFault { fault: store_fault(rng), time },
        9 => Action::Compact,
        10 | 11 => {
            let fault = SEARCHER_FAULTS[rng.random_range(0..SEARCHER_FAULTS.len())];
            Action::SearcherFault { searcher: number, fault, time }
        }
        12 => Action::Slow { searcher: number, work: rng.random_range(30..600) * MS, time },
        13 => Action::Lapse { time },
        14 | 15 => Action::HarmSearcher { searcher: number, harm: harm(rng), time },
        _ => Action::Crash { searcher: number, down: time },
    }
}

/// Draws the pause after an action: actions come alone, in series and over each other.
pub fn pause(rng: &mut SmallRng) -> Duration {
    match rng.random_range(0..4) {
        0 => Duration::ZERO,
        1 => rng.random_range(0..200) * MS,
        _ => rng.random_range(200..1_500) * MS,
    }
}

fn harm(rng: &mut impl Rng) -> Harm {
    match rng.random_range(0..5) {
        0 => Harm::Delay(rng.random_range(5..400) * MS),
        1 => Harm::Reset,
        2 => Harm::CutToServer,
        3 => Harm::CutToClient,
        _ => Harm::Silent,
    }
}

fn store_fault(rng: &mut impl Rng) -> StoreFault {
    match rng.random_range(0..4) {
        0 => StoreFault::Refuse(503),
        1 => StoreFault::Refuse(429),
        2 => StoreFault::Silent,
        _ => StoreFault::Slow(rng.random_range(50..900) * MS),
    }
}
