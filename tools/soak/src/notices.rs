//! Statements of searchers about themselves: drawn from the seed, played and checked.

use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::searcher::Fault;
use galenaloft_platform_standin::searcher::Searcher;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::check::DRAIN_BOUND;

const MS: Duration = Duration::from_millis(1);

/// Time after a refusal from which a pause holds.
const PAUSE_GRACE: Duration = Duration::from_millis(500);

/// Most requests of one host in a pause.
const PAUSE_SLACK: usize = 2;

/// Time after which a limit holds, the window in which requests are counted, and the bound in it.
const LIMIT_GRACE: Duration = Duration::from_secs(4);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_RATIO: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Most requests of one host that are under way when the first answer tells it something.
const UNTOLD: usize = 4;

/// What a searcher states in its answers for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Statement {
    /// That it is leaving, while its entry says that it is ready. It ends some seconds later.
    Leaving,
    /// In refusals, that it wants no requests for so long.
    Pause(Duration),
    /// How many requests a second it takes from all hosts together.
    Limit(f64),
}

/// A statement of some searcher that lasts for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// The searcher, modulo what there is.
    pub searcher: usize,
    /// What it states.
    pub statement: Statement,
    /// For how long.
    pub time: Duration,
}

/// A statement that was made.
#[derive(Debug, Clone)]
pub struct Stated {
    /// The searcher.
    pub searcher: Searcher,
    /// What it stated.
    pub statement: Statement,
    /// When it first sent an answer with it.
    pub from: Instant,
    /// When it no longer did.
    pub until: Instant,
}

/// Draws the next statement.
pub fn draw(rng: &mut SmallRng) -> Notice {
    let searcher = rng.random_range(0..usize::from(u16::MAX));
    let (statement, time) = match rng.random_range(0..5) {
        0 => (Statement::Leaving, rng.random_range(3_500..5_000) * MS),
        1 | 2 => {
            let pause = rng.random_range(700..3_000) * MS;
            (Statement::Pause(pause), rng.random_range(200..2_000) * MS)
        }
        _ => {
            let limits = [0.0, 0.5, 1.0, 3.0, 8.0];
            let limit = limits[rng.random_range(0..limits.len())];
            (Statement::Limit(limit), rng.random_range(2_000..10_000) * MS)
        }
    };
    Notice { searcher, statement, time }
}

/// Draws the pause after a statement.
pub fn pause(rng: &mut SmallRng) -> Duration {
    rng.random_range(0..2_500) * MS
}

impl Statement {
    /// Begins to make the statement.
    pub fn begin(self, searcher: &Searcher) {
        match self {
            Self::Leaving => searcher.state_leaving(),
            Self::Pause(pause) => {
                searcher.set_fault(Fault::Busy);
                searcher.state_pause(pause);
            }
            Self::Limit(limit) => searcher.state_limit(limit),
        }
    }

    /// No longer makes the statement. One that is leaving goes on until its end.
    pub fn end(self, searcher: &Searcher) {
        match self {
            Self::Leaving => {}
            Self::Pause(_) => {
                searcher.set_fault(Fault::None);
                searcher.state_in_answers(&[]);
            }
            Self::Limit(_) => searcher.state_in_answers(&[]),
        }
    }
}

impl Stated {
    /// Returns what broke the statement, if `hosts` hosts ran undisturbed all the while. Arrivals do not
    /// tell their host, so that the bounds of all hosts are added up, and a host that was not told yet
    /// may send what it has under way.
    pub fn broken(&self, hosts: usize) -> Option<String> {
        let arrivals: Vec<Instant> = self.searcher.arrivals().iter().map(|a| a.at).collect();
        let count = |from: Instant, until: Instant| {
            arrivals.iter().filter(|at| (from..until).contains(*at)).count()
        };
        let (most, bound) = match self.statement {
            Statement::Leaving => (count(self.from + DRAIN_BOUND, self.until), hosts * UNTOLD),
            Statement::Pause(pause) => {
                (count(self.from + PAUSE_GRACE, self.from + pause), hosts * (PAUSE_SLACK + UNTOLD))
            }
            Statement::Limit(limit) => {
                let begins = arrivals.iter().filter(|at| **at >= self.from + LIMIT_GRACE);
                let in_window = |at: &Instant| count(*at, (*at + LIMIT_WINDOW).min(self.until));
                let bound = LIMIT_RATIO * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
                (begins.map(in_window).max().unwrap_or_default(), bound as usize)
            }
        };
        let what = format!(
            "{} stated {:?} and got {most} requests, bound {bound}",
            self.searcher.spec.id, self.statement
        );
        (most > bound).then_some(what)
    }

    /// Returns from when until when hosts must run undisturbed for the statement to bind them.
    pub fn binding(&self) -> (Instant, Instant) {
        let until = match self.statement {
            Statement::Pause(pause) => self.until.max(self.from + pause),
            Statement::Leaving | Statement::Limit(_) => self.until,
        };
        (self.from, until)
    }
}
