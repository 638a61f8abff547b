//! Queries over many shards.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use futures::stream::FuturesUnordered;
use futures::stream::StreamExt;
use galenaloft_adapter::caller::Answer;
use galenaloft_adapter::searcher::SearcherAnswer;
use galenaloft_policy::gathering::Patience;
use galenaloft_policy::gathering::TopRecords;
use galenaloft_policy::gathering::Wait;
use galenaloft_policy::route::Gather;

use crate::clock::now;
use crate::clock::sleep_until;
use crate::host::Host;
use crate::query::Plan;
use crate::query::attempt;
use crate::query::shard::Missed;
use crate::query::shard::ShardQuery;

use std::time::Duration;

/// Time to merge the parts and to write the answer.
const MERGE_TIME: Duration = Duration::from_millis(4);

/// When a caller that got no answer may come back.
const BACK_AFTER: Duration = Duration::from_millis(300);

/// Asks one searcher of each shard and merges the parts that come in time.
pub async fn gather(host: &Arc<Host>, plan: &Arc<Plan>, gather: &Gather) -> Answer {
    let over = Arc::new(AtomicBool::new(false));
    let mut running: FuturesUnordered<_> = gather
        .shards
        .iter()
        .map(|shard| {
            let mut query = ShardQuery::new(host, plan, shard, &over);
            async move {
                let part = query.run(is_part).await;
                (part, query.may_have_run())
            }
        })
        .collect();
    let patience = patience(host, plan);
    let min_parts = gather.min_parts();
    let mut records = TopRecords::new(gather.top_records);
    let mut signatures = Vec::with_capacity(gather.shards.len());
    let mut open = gather.shards.len();
    let mut ran = false;
    let expired = loop {
        if running.is_empty() || signatures.len() + open < min_parts {
            break false;
        }
        let until = match patience.decide(signatures.len(), min_parts, now()) {
            Wait::Until(until) => until,
            Wait::Answer => break false,
            Wait::GiveUp => break true,
        };
        tokio::select! {
            biased;
            Some((part, may_have_run)) = running.next() => {
                open -= 1;
                ran |= may_have_run;
                match part {
                    Ok(answer) if is_part(&answer) && !signatures.contains(&answer.signature) => {
                        ran = true;
                        records.add(&answer.body);
                        signatures.push(answer.signature);
                    }
                    Ok(_) => ran = true,
                    Err(Missed::Failed(_) | Missed::Expired | Missed::NoSearcher) => {}
                }
            }
            () = sleep_until(until) => {}
        }
    };
    over.store(true, Ordering::Relaxed);
    ran |= !running.is_empty();
    if !running.is_empty() {
        attempt::let_finish(running.for_each(|_| async {}));
    }
    if signatures.len() >= min_parts {
        let missing = gather.shards.len() - signatures.len();
        return Answer::Gathered { signatures, missing, records: records.finish() };
    }
    match (ran, expired) {
        (false, _) => Answer::Refused(BACK_AFTER),
        (true, true) => Answer::TimedOut,
        (true, false) => Answer::Lost("too few shards answered"),
    }
}

fn is_part(answer: &SearcherAnswer) -> bool {
    answer.status.is_success()
}

fn patience(host: &Host, plan: &Plan) -> Patience {
    let round_trip = host.settings.caller_round_trip;
    // Opening a connection takes a caller one more round trip.
    let connects = if plan.call.first_on_connection { round_trip } else { Duration::ZERO };
    let way = round_trip + connects + MERGE_TIME;
    Patience::new(plan.arrived, plan.route.target_latency, way, plan.deadline)
}
