//! Requests to one searcher of a service.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use galenaloft_adapter::caller::Answer;
use galenaloft_adapter::searcher::SearcherAnswer;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::quarantine::SUSPICION_TTL;
use galenaloft_runtime::clock::now;
use galenaloft_telemetry::log::Event;

use crate::host::Host;
use crate::query::RoutedRequest;
use crate::query::admission;
use crate::query::admission::Decision;
use crate::query::shard::ShardFailure;
use crate::query::shard::ShardQuery;

/// Time after which a caller may retry when no searcher ran its request.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Sends a request to one searcher of a service, with hedges and retries as far as the route
/// allows.
pub async fn query_service(
    host: &Arc<Host>,
    request: &Arc<RoutedRequest>,
    service: &ServiceId,
) -> Answer {
    if let Decision::Refused(after) = admission::admit_single(host, request, service, now()) {
        return Answer::Refused(after);
    }
    let finished = Arc::new(AtomicBool::new(false));
    let mut query = ShardQuery::new(host, request, service, &finished);
    request.record_demand(host, [service], now());
    let accept = match request.route.idempotent {
        true => is_final,
        false => |_: &SearcherAnswer| true,
    };
    match query.run(accept).await {
        Ok(answer) => Answer::Relayed(answer),
        Err(ShardFailure::Quarantined) if !query.may_have_run() => {
            Event::new("quarantined").with("request", &request.inbound.id).warn();
            Answer::Refused(SUSPICION_TTL)
        }
        Err(_) if !query.may_have_run() => {
            let now = now();
            let opens_at = host.fleet.service(service).opens_at(now);
            let retry_delay = admission::retry_delay(host, request, service, now);
            let retry_delay = retry_delay.unwrap_or(CALLER_RETRY_DELAY);
            Answer::Refused(opens_at.map_or(retry_delay, |at| at - now))
        }
        Err(ShardFailure::Expired) => Answer::TimedOut,
        Err(ShardFailure::AttemptFailed(failure)) => Answer::Lost(failure.reason),
        Err(ShardFailure::Quarantined) => Answer::Lost("the request crashes searchers"),
        Err(ShardFailure::NoSearcher) => Answer::Lost("no searcher is left"),
    }
}

/// Returns whether an answer is final. A server error is not, since another searcher may succeed.
fn is_final(answer: &SearcherAnswer) -> bool {
    !answer.status.is_server_error()
}
