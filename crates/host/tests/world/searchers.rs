//! The searchers of the world. What was sent to one runs there even if its sender goes away.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenaloft_host::network::SearcherConn;
use galenaloft_host::network::SearcherConnector;
use galenaloft_http::HttpError;
use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::attempt::Operation;
use galenaloft_policy::ids::AttemptId;
use galenaloft_searcher::BEGAN_HEADER;
use galenaloft_searcher::RanReply;
use galenaloft_searcher::read_reply;
use galenaloft_searcher::wire;
use hyper::HeaderMap;
use hyper::StatusCode;
use prost::Message;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Place;
use crate::world::ProcessId;
use crate::world::World;
use crate::world::catalogue::SEARCHERS;

/// Time to serve one request.
const SERVICE: Duration = Duration::from_millis(5);

/// Time to serve one request of a slow searcher.
const SLOW_SERVICE: Duration = Duration::from_millis(250);

/// Delay of a late reply.
const LATE: Duration = Duration::from_secs(15);

/// Time that a new connection costs.
const CONNECT_COST: Duration = Duration::from_millis(6);

/// How long a leaving searcher may still get new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    Killed,
    Slow,
    Draining,
    LostReplies,
    LateReplies,
    CrossedReplies,
    NoNewSnapshot,
    Shedding,
}

#[derive(Debug)]
pub struct Searcher {
    pub fault: Fault,
    pub since: Instant,
    slots: Arc<Semaphore>,
    cancels: BTreeSet<AttemptId>,
}

impl Default for Searcher {
    fn default() -> Self {
        Self {
            fault: Fault::None,
            since: Instant::now(),
            slots: Arc::new(Semaphore::new(2)),
            cancels: BTreeSet::new(),
        }
    }
}

impl Searcher {
    pub fn set_fault(&mut self, fault: Fault) {
        if self.fault != fault {
            self.fault = fault;
            self.since = Instant::now();
        }
    }
}

#[derive(Debug)]
pub struct FakeLink {
    pub world: World,
    pub process: ProcessId,
    pub host: usize,
}

#[derive(Debug)]
pub struct FakeConn {
    world: World,
    process: ProcessId,
    host: usize,
    searcher: usize,
    connected: Instant,
}

impl SearcherConnector for FakeLink {
    type Conn = FakeConn;

    async fn connect(&self, address: SocketAddr) -> Result<FakeConn, HttpError> {
        let found =
            (0..SEARCHERS).find(|i| address == format!("10.0.1.{}:1", i + 1).parse().unwrap());
        let searcher = found.expect("the layout names the searchers");
        sleep(CONNECT_COST).await;
        let inner = self.world.lock();
        let connected = inner.is_connected(Place::Host(self.host), Place::Searcher(searcher));
        let alive = !inner.dead.contains(&self.process);
        if !connected || !alive || inner.searchers[searcher].fault == Fault::Killed {
            return Err(HttpError::Connect("no route".to_owned()));
        }
        let (world, process, host) = (self.world.clone(), self.process, self.host);
        Ok(FakeConn { world, process, host, searcher, connected: Instant::now() })
    }
}

impl FakeConn {
    fn places(&self) -> (Place, Place) {
        (Place::Host(self.host), Place::Searcher(self.searcher))
    }

    /// Returns whether the searcher was killed since the connection was made.
    fn is_broken(&self) -> bool {
        let inner = self.world.lock();
        let searcher = &inner.searchers[self.searcher];
        searcher.fault == Fault::Killed
    }
}

impl SearcherConn for FakeConn {
    fn is_open(&self) -> bool {
        !self.is_broken() && self.connected.elapsed() < Duration::from_secs(3600)
    }

    async fn send(&mut self, req: &AttemptRequest) -> Result<RanReply, AttemptFailure> {
        let (host, place) = self.places();
        if !self.world.carry(self.process, host, place).await {
            std::future::pending::<()>().await;
        }
        if self.is_broken() {
            return Err(AttemptFailure::may_have_run(FailureReason::ConnectionLost));
        }
        let (tx, rx) = oneshot::channel();
        tokio::spawn(serve(self.world.clone(), self.searcher, req.clone(), tx));
        let lost = AttemptFailure::may_have_run(FailureReason::ConnectionLost);
        let Ok((status, headers, body)) = rx.await else {
            return Err(lost);
        };
        if !self.world.carry(self.process, place, host).await {
            std::future::pending::<()>().await;
        }
        read_reply(req, status, &headers, &body)
    }

    async fn cancel(&mut self, attempt: AttemptId) -> Result<(), HttpError> {
        let (host, place) = self.places();
        self.world.carry(self.process, host, place).await;
        self.world.lock().searchers[self.searcher].cancels.insert(attempt);
        Ok(())
    }

    async fn is_draining(&mut self) -> Result<bool, HttpError> {
        let (host, place) = self.places();
        self.world.carry(self.process, host, place).await;
        Ok(self.world.lock().searchers[self.searcher].fault == Fault::Draining)
    }
}

type Reply = (StatusCode, HeaderMap, Vec<u8>);

/// Serves one attempt. Dropping `tx` unused loses the connection.
async fn serve(world: World, index: usize, req: AttemptRequest, tx: oneshot::Sender<Reply>) {
    if let Some(refusal) = refuse(&world, index, &req) {
        let _ = tx.send(refusal);
        return;
    }
    let slots = world.lock().searchers[index].slots.clone();
    let permit = slots.acquire_owned().await.expect("never closed");
    let slow = world.lock().searchers[index].fault == Fault::Slow;
    sleep(if slow { SLOW_SERVICE } else { SERVICE }).await;
    drop(permit);
    let Some((fault, reply)) = finish(&world, index, &req) else {
        return;
    };
    if fault == Fault::LateReplies {
        sleep(LATE).await;
    }
    if fault != Fault::LostReplies {
        let _ = tx.send(reply);
    }
}

/// Ends the service of an attempt: this is the moment at which it runs.
fn finish(world: &World, index: usize, req: &AttemptRequest) -> Option<(Fault, Reply)> {
    let mut inner = world.lock();
    let searcher = &mut inner.searchers[index];
    let fault = searcher.fault;
    if fault == Fault::Killed {
        return None;
    }
    if req.operation.is_idempotent() && searcher.cancels.remove(&req.attempt) {
        let mut headers = HeaderMap::new();
        headers.insert(BEGAN_HEADER, "true".parse().expect("a header"));
        let status = StatusCode::from_u16(499).expect("a status");
        return Some((fault, (status, headers, Vec::new())));
    }
    let mut reply = wire::ShardReply {
        attempt: req.attempt,
        snapshot: req.snapshot,
        shard: req.shard,
        ..Default::default()
    };
    match req.operation {
        Operation::Submit => {
            let number = inner.oracle.note_run(&req.body);
            reply.receipt = format!("{}#{number}", req.body);
        }
        Operation::Search | Operation::Fetch => {
            let snapshot = &inner.catalogue.snapshots[&req.snapshot];
            let documents: Vec<&String> = snapshot.shard_documents(req.shard).collect();
            reply.documents = documents.len() as u32;
            let wanted = |key: &&&String| req.operation == Operation::Search || ***key == req.text;
            reply.entries.extend(documents.iter().filter(wanted).map(|key| wire::Entry {
                key: (*key).clone(),
                firm: "north".to_owned(),
                // The title tells which request and snapshot the entry answers.
                title: format!("{}@{}", req.text, req.snapshot),
                score: 1,
            }));
            reply.total_hits = reply.entries.len() as u32;
        }
    }
    if fault == Fault::CrossedReplies {
        // The reply to somebody else's request.
        reply.attempt ^= 1;
        reply.receipt = "crossed".to_owned();
        reply.entries.iter_mut().for_each(|entry| entry.title = "crossed".to_owned());
    }
    Some((fault, (StatusCode::OK, HeaderMap::new(), reply.encode_to_vec())))
}

fn refuse(world: &World, index: usize, req: &AttemptRequest) -> Option<Reply> {
    let mut inner = world.lock();
    let newest = *inner.catalogue.snapshots.last_key_value()?.0;
    let current = inner.catalogue.is_current(req.snapshot);
    let searcher = &inner.searchers[index];
    let (fault, since) = (searcher.fault, searcher.since);
    let refusal = wire::Refusal { attempt: req.attempt, ..Default::default() };
    let held = match fault {
        Fault::NoNewSnapshot => vec![newest.saturating_sub(1).max(1)],
        _ => vec![newest.saturating_sub(1).max(1), newest],
    };
    let search = req.operation != Operation::Submit;
    let lacks = search && (!held.contains(&req.snapshot) || !current);
    let (status, refusal) = match fault {
        Fault::Draining => {
            if since.elapsed() > LEAVE_LIMIT {
                inner.oracle.note_late_work(index, since.elapsed());
            }
            (StatusCode::SERVICE_UNAVAILABLE, wire::Refusal { draining: true, ..refusal })
        }
        Fault::Shedding => (StatusCode::TOO_MANY_REQUESTS, refusal),
        _ if lacks => (StatusCode::CONFLICT, wire::Refusal { held_snapshots: held, ..refusal }),
        _ => return None,
    };
    Some((status, HeaderMap::new(), refusal.encode_to_vec()))
}
