//! Requests to one searcher of a service.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use galenaloft_adapter::caller::Answer;
use galenaloft_adapter::searcher::SearcherAnswer;
use galenaloft_policy::ids::ServiceId;

use crate::host::Host;
use crate::query::Plan;
use crate::query::shard::Missed;
use crate::query::shard::ShardQuery;

/// When a caller that found no searcher may come back.
const BACK_AFTER: Duration = Duration::from_millis(300);

/// Asks one searcher of a service, and others as far as the route allows.
pub async fn single(host: &Arc<Host>, plan: &Arc<Plan>, service: &ServiceId) -> Answer {
    let over = Arc::new(AtomicBool::new(false));
    let mut query = ShardQuery::new(host, plan, service, &over);
    let accept = match plan.route.idempotent {
        true => is_final,
        false => |_: &SearcherAnswer| true,
    };
    match query.run(accept).await {
        Ok(answer) => Answer::Relayed(answer),
        Err(_) if !query.may_have_run() => Answer::Refused(BACK_AFTER),
        Err(Missed::Expired) => Answer::TimedOut,
        Err(Missed::Failed(failure)) => Answer::Lost(failure.why),
        Err(Missed::NoSearcher) => Answer::Lost("no searcher is left"),
    }
}

/// Whether another searcher would not do better.
fn is_final(answer: &SearcherAnswer) -> bool {
    !answer.status.is_server_error()
}
