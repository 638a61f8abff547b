//! Callers: each keeps a connection for many requests and notes what it got.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::caller::Answer;
use galenaloft_platform_standin::caller::Call;
use galenaloft_platform_standin::caller::Caller;
use galenaloft_platform_standin::scene::FETCH_PATH;
use galenaloft_platform_standin::scene::FILE_PATH;
use galenaloft_platform_standin::scene::GATHER_PATH;
use galenaloft_platform_standin::scene::HOST;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

/// How long a caller waits for its answer.
pub const PATIENCE: Duration = Duration::from_millis(1_500);

/// How much longer it listens, to see answers that come too late.
const LISTENS_ON: Duration = Duration::from_secs(1);

/// Longest pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;

/// Share of the requests whose caller leaves before the answer.
const LEAVES: f64 = 0.03;

/// Part of the requests after which a connection is opened anew, perhaps to another host.
const RECONNECTS: f64 = 0.05;

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Over all shards.
    Gather,
    /// To one searcher, may be repeated.
    Fetch,
    /// To one searcher, at most once.
    File,
}

/// How a request ended for its caller.
#[derive(Debug, Clone)]
pub enum End {
    /// With an answer.
    Answered(Answer),
    /// The connection ended first.
    Closed,
    /// Nothing came.
    Nothing,
    /// The caller left.
    Left,
    /// The host could not be reached.
    NotSent,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Id.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Index of the host.
    pub host: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How.
    pub end: End,
}

impl Seen {
    /// Returns whether the request was answered with success.
    pub fn is_served(&self) -> bool {
        matches!(&self.end, End::Answered(answer) if answer.status == 200)
    }
}

/// What all callers saw.
#[derive(Debug, Default, Clone)]
pub struct Record(Arc<Mutex<Vec<Seen>>>);

impl Record {
    /// Returns everything that was seen.
    pub fn all(&self) -> Vec<Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn add(&self, seen: Seen) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(seen);
    }
}

/// Sends requests of all kinds until `stop` says so. `number` is unique among the callers of a run.
pub async fn call_until(
    hosts: Arc<Vec<SocketAddr>>,
    record: Record,
    seed: u64,
    number: usize,
    stop: watch::Receiver<bool>,
) {
    let mut rng = SmallRng::seed_from_u64(seed ^ (number as u64) << 32);
    let mut host = number % hosts.len();
    let mut connection: Option<Caller> = None;
    let mut count = 0_u32;
    while !*stop.borrow() {
        sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        if rng.random_bool(RECONNECTS) {
            host = rng.random_range(0..hosts.len());
            connection = None;
        }
        count += 1;
        let request = request(number, count, &mut rng);
        let leaves = rng.random_bool(LEAVES).then(|| rng.random_range(1..40));
        let sent = Instant::now();
        let end = exchange(&mut connection, hosts[host], &request, leaves).await;
        let answered = matches!(end, End::Answered(_));
        record.add(Seen { host, sent, ended: Instant::now(), end, ..request });
        if !answered {
            connection = None;
            host = (host + 1) % hosts.len();
        }
    }
}

fn request(number: usize, count: u32, rng: &mut SmallRng) -> Seen {
    let (kind, prefix) = match rng.random_range(0..10) {
        0..=5 => (Kind::Gather, GATHER_PATH),
        6 | 7 => (Kind::Fetch, FETCH_PATH),
        _ => (Kind::File, FILE_PATH),
    };
    let body = match kind {
        Kind::File => format!("filing {number} {count}").into_bytes(),
        Kind::Gather | Kind::Fetch => Vec::new(),
    };
    let now = Instant::now();
    Seen {
        id: format!("{number:08x}{count:08x}"),
        kind,
        path: format!("{prefix}{number}/{count}"),
        body,
        host: 0,
        sent: now,
        ended: now,
        end: End::NotSent,
    }
}

async fn exchange(
    connection: &mut Option<Caller>,
    host: SocketAddr,
    request: &Seen,
    leaves: Option<u64>,
) -> End {
    let caller = match connection {
        Some(caller) => caller,
        None => match timeout(PATIENCE, Caller::connect(host)).await {
            Ok(Ok(caller)) => connection.insert(caller),
            Ok(Err(_)) | Err(_) => return End::NotSent,
        },
    };
    let method = if request.kind == Kind::File { "POST" } else { "GET" };
    let call = Call {
        method,
        host: HOST,
        path: &request.path,
        id: &request.id,
        deadline: PATIENCE,
        body: &request.body,
    };
    if let Some(ms) = leaves {
        // The caller drops its connection whatever came until then.
        let _ = timeout(Duration::from_millis(ms), caller.call(&call)).await;
        return End::Left;
    }
    match timeout(PATIENCE + LISTENS_ON, caller.call(&call)).await {
        Ok(Ok(answer)) => {
            let closes = answer.headers.get("connection").is_some_and(|value| value == "close");
            if closes {
                *connection = None;
            }
            End::Answered(answer)
        }
        Ok(Err(_)) => End::Closed,
        Err(_) => End::Nothing,
    }
}
