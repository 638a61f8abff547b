//! Calls of callers.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_caller::FETCH_PATH;
use galenaloft_caller::FILE_PATH;
use galenaloft_caller::SEARCH_PATH;
use galenaloft_caller::TICKETS_PATH;
use galenaloft_caller::wire::Answer;
use galenaloft_caller::wire::FetchRequest;
use galenaloft_caller::wire::SearchRequest;
use galenaloft_caller::wire::SubmitRequest;
use galenaloft_caller::wire::TicketReply;
use galenaloft_caller::wire::TicketRequest;
use galenaloft_host::Phase;
use galenaloft_host::api::handle_caller;
use hyper::Method;
use hyper::Request;
use serde::Serialize;
use tokio::time::Instant;

use crate::world::Place;
use crate::world::scene::Scene;

/// Longest time to an answer: the kind's deadline and 100 ms.
const SEARCH_LIMIT: Duration = Duration::from_millis(400);

/// Longest time to a submission's verdict: its deadline, two looks for a copy and 100 ms.
const SUBMIT_LIMIT: Duration = Duration::from_millis(1_750);

impl Scene {
    pub fn search(&mut self, host: usize) {
        self.requests += 1;
        let text = format!("q{}", self.requests);
        let req = SearchRequest { kind: "look".to_owned(), query: text.clone(), limit: 1_000 };
        self.ask(host, SEARCH_PATH, &req, text, false);
    }

    pub fn fetch(&mut self, host: usize, document: u8) {
        let text = format!("doc-{}", document % 40);
        let req = FetchRequest { kind: "get".to_owned(), key: text.clone() };
        self.ask(host, FETCH_PATH, &req, text, true);
    }

    pub fn ask(
        &mut self,
        host: usize,
        path: &'static str,
        req: &impl Serialize,
        text: String,
        fetch: bool,
    ) {
        let Some((_, call)) = self.call(host, path, req) else {
            return;
        };
        let world = self.world.clone();
        self.running.spawn(async move {
            let Some(Called { status, body, waited, timely }) = call.await else {
                return;
            };
            let mut inner = world.lock();
            let inner = &mut *inner;
            if timely && waited > SEARCH_LIMIT {
                inner.oracle.note_late(&text, waited);
            }
            match serde_json::from_slice::<Answer>(&body) {
                Ok(answer) if status == 200 || (status == 404 && fetch) => {
                    inner.oracle.note_answer(&inner.catalogue, &text, fetch, &answer);
                }
                _ => inner.oracle.note_failure(&text, status, &body),
            }
        });
    }

    pub fn take_ticket(&mut self, host: usize) {
        let req = TicketRequest { kind: "fee".to_owned() };
        let Some((_, call)) = self.call(host, TICKETS_PATH, &req) else {
            return;
        };
        let tickets = self.tickets.clone();
        self.running.spawn(async move {
            let Some(Called { status: 200, body, .. }) = call.await else {
                return;
            };
            let reply: TicketReply = serde_json::from_slice(&body).unwrap();
            tickets.lock().unwrap().push(reply.ticket);
        });
    }

    pub fn submit(&mut self, host: usize, back: u8, other_body: bool) {
        let tickets = self.tickets.lock().unwrap().clone();
        let Some(ticket) = tickets.iter().rev().nth(usize::from(back)).cloned() else {
            return;
        };
        let body = format!("{ticket}{}", if other_body { "-other" } else { "" });
        self.submit_under(host, ticket, body);
    }

    pub fn submit_under(&mut self, host: usize, ticket: String, body: String) {
        let req = SubmitRequest {
            kind: "fee".to_owned(),
            ticket,
            key: "shop".to_owned(),
            body: body.clone(),
        };
        let Some((_, call)) = self.call(host, FILE_PATH, &req) else {
            return;
        };
        let world = self.world.clone();
        self.running.spawn(async move {
            let Some(Called { status, body: reply, waited, timely }) = call.await else {
                return;
            };
            let mut inner = world.lock();
            if timely && waited > SUBMIT_LIMIT {
                inner.oracle.note_late(&body, waited);
            }
            inner.oracle.note_receipt(&body, status, &reply);
        });
    }

    /// Prepares a call to a host, as its HTTP server would make it.
    pub fn call(&self, host: usize, path: &str, req: &impl Serialize) -> Option<(u64, Call)> {
        let (process, node) = self.process(host)?;
        let body = Bytes::from(serde_json::to_vec(req).unwrap());
        let req = Request::builder().method(Method::POST).uri(path).body(body).unwrap();
        let world = self.world.clone();
        let call: Call = Box::pin(async move {
            let here = Place::Host(host);
            if !world.carry(process, here, here).await || *node.phase().borrow() == Phase::Stopping
            {
                return None;
            }
            *world.lock().in_progress.entry(process).or_default() += 1;
            let sent = Instant::now();
            let reply = handle_caller(node, req).await;
            let waited = sent.elapsed();
            *world.lock().in_progress.entry(process).or_default() -= 1;
            let timely = !world.lock().frozen.contains(&host);
            if !world.carry(process, here, here).await {
                return None;
            }
            let status = reply.status().as_u16();
            let body = http_body(reply).await;
            Some(Called { status, body, waited, timely })
        });
        Some((process, call))
    }
}

pub type Call = Pin<Box<dyn Future<Output = Option<Called>> + Send>>;

/// What a call came to.
pub struct Called {
    pub status: u16,
    pub body: Vec<u8>,
    pub waited: Duration,
    /// Whether the host was not frozen, so that the time may be judged.
    pub timely: bool,
}

async fn http_body(reply: galenaloft_http::Reply) -> Vec<u8> {
    let mut body = reply.into_body();
    let mut bytes = Vec::new();
    while let Some(Ok(frame)) =
        std::future::poll_fn(|cx| hyper::body::Body::poll_frame(Pin::new(&mut body), cx)).await
    {
        bytes.extend(frame.into_data().unwrap_or_default());
    }
    bytes
}
