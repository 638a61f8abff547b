//! One request of the load.

use std::net::SocketAddr;
use std::time::Duration;

use galenaloft_caller::CallerClient;
use galenaloft_caller::CallerError;
use galenaloft_caller::FILE_PATH;
use galenaloft_caller::wire::Answer;
use galenaloft_caller::wire::FetchRequest;
use galenaloft_caller::wire::SearchRequest;
use galenaloft_caller::wire::SubmitRequest;
use galenaloft_caller::wire::TicketRequest;
use galenaloft_caller::wire::Verdict;
use galenaloft_policy::attempt::Operation;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::load::pool::Pool;
use crate::load::tally::Ending;
use crate::options::Stream;

/// Words that queries are made of.
const WORDS: [&str; 8] =
    ["altocumulus", "cirrus", "stratus", "undulatus", "gold", "star", "wedding", "e"];

/// How much longer than its deadline an answer is awaited.
const PATIENCE: Duration = Duration::from_secs(15);

/// What varies between the requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Draw {
    /// Random number of this request.
    pub random: u64,
    /// Documents that keys are drawn from.
    pub keys: u32,
}

/// Sends one request and waits for its end.
pub async fn send(
    pool: &Pool,
    host: SocketAddr,
    stream: &Stream,
    draw: Draw,
    due: Instant,
) -> Ending {
    let limit = stream.kind.deadline + PATIENCE;
    let exchange = async {
        let mut client = pool.take(host).await?;
        let result = call(&mut client, stream, draw).await;
        pool.give(host, client);
        result
    };
    match timeout(limit, exchange).await {
        Ok(Ok(coverage)) => {
            let in_time = due.elapsed() <= stream.kind.deadline;
            let good = in_time && coverage >= stream.kind.coverage_floor;
            Ending::Answered { coverage, good }
        }
        Ok(Err(e)) if e.verdict() == Verdict::NotRun => Ending::NotRun,
        Ok(Err(_)) | Err(_) => Ending::MayHaveRun,
    }
}

/// Makes one call. Returns the covered share of its answer.
async fn call(client: &mut CallerClient, stream: &Stream, draw: Draw) -> Result<f64, CallerError> {
    let kind = stream.name.clone();
    let number = draw.random % u64::from(draw.keys);
    let key = format!("{}-{number:06}", stream.kind.collection);
    match stream.kind.operation {
        Operation::Search => {
            let query = WORDS[(draw.random % WORDS.len() as u64) as usize].to_owned();
            let answer = client.search(&SearchRequest { kind, query, limit: 10 }).await?;
            Ok(covered(&answer))
        }
        Operation::Fetch => {
            let answer = client.fetch(&FetchRequest { kind, key }).await?;
            Ok(covered(&answer))
        }
        Operation::Submit => {
            let ticket = client.ticket(&TicketRequest { kind: kind.clone() }).await?.ticket;
            let body = format!("{:016x}", draw.random);
            let req = SubmitRequest { kind, ticket, key, body };
            client.submit(FILE_PATH, &req).await.map(|_| 1.0)
        }
    }
}

fn covered(answer: &Answer) -> f64 {
    let coverage = answer.coverage.clone().unwrap_or_default();
    match coverage.total {
        0 => 1.0,
        total => f64::from(coverage.covered) / f64::from(total),
    }
}
