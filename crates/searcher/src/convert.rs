//! Conversion between wire messages and the types of the policy crate.

use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::attempt::Operation;
use galenaloft_policy::attempt::ShardResult;
use galenaloft_policy::catalogue::Entry;
use galenaloft_policy::verdict::Verdict;
use hyper::HeaderMap;
use hyper::StatusCode;
use prost::Message;

use crate::paths::BEGAN_HEADER;
use crate::paths::CANCELLED_STATUS;
use crate::wire;

/// Reply to an attempt that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RanReply {
    /// Result of the attempt.
    pub result: ShardResult,
    /// Whether the searcher is draining and accepts no new work.
    pub draining: bool,
}

/// Converts an attempt to its wire message.
pub fn request_to_wire(req: &AttemptRequest) -> wire::ShardRequest {
    let operation = match req.operation {
        Operation::Search => wire::Operation::Search,
        Operation::Fetch => wire::Operation::Fetch,
        Operation::Submit => wire::Operation::Submit,
    };
    wire::ShardRequest {
        attempt: req.attempt,
        operation: operation.into(),
        kind: req.kind.to_string(),
        collection: req.collection.to_string(),
        snapshot: req.snapshot,
        shard: req.shard,
        text: req.text.clone(),
        limit: req.limit,
        deadline_ms: u32::try_from(req.time_left.as_millis()).unwrap_or(u32::MAX),
        body: req.body.clone(),
    }
}

/// Decodes the reply to an attempt into its result or the reason for its failure.
///
/// A reply that belongs to another attempt, snapshot or shard is an error, never a result.
pub fn read_reply(
    req: &AttemptRequest,
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<RanReply, AttemptFailure> {
    match status.as_u16() {
        200 => read_result(req, body),
        400 | 404 | 409 | 429 | 503 => Err(read_refusal(req, body)),
        CANCELLED_STATUS => {
            decode_refusal(req, body).map_err(bad_reply)?;
            let not_started = headers.get(BEGAN_HEADER).is_some_and(|value| value == "false");
            let verdict = if not_started { Verdict::NotRun } else { Verdict::MayHaveRun };
            Err(AttemptFailure { verdict, reason: FailureReason::Cancelled })
        }
        other => Err(bad_reply(format!("unexpected status {other}"))),
    }
}

/// Decodes a refusal, which proves that the attempt did not run.
///
/// A refusal of another attempt, or one that cannot be decoded, proves nothing, so that the attempt
/// may have run.
pub fn read_refusal(req: &AttemptRequest, body: &[u8]) -> AttemptFailure {
    match decode_refusal(req, body) {
        Ok(refusal) if refusal.draining => AttemptFailure::not_run(FailureReason::Draining),
        Ok(refusal) if !refusal.held_snapshots.is_empty() => {
            AttemptFailure::not_run(FailureReason::WrongSnapshot(refusal.held_snapshots))
        }
        Ok(refusal) => AttemptFailure::not_run(FailureReason::Refused(refusal.reason)),
        Err(why) => bad_reply(why),
    }
}

/// Decodes a refusal, or says why it is none of this attempt.
fn decode_refusal(req: &AttemptRequest, body: &[u8]) -> Result<wire::Refusal, String> {
    let refusal =
        wire::Refusal::decode(body).map_err(|e| format!("refusal cannot be decoded: {e}"))?;
    match refusal.attempt == req.attempt {
        true => Ok(refusal),
        false => Err(format!("refusal of another attempt, {:x}", refusal.attempt)),
    }
}

fn read_result(req: &AttemptRequest, body: &[u8]) -> Result<RanReply, AttemptFailure> {
    let reply = wire::ShardReply::decode(body).map_err(|e| bad_reply(e.to_string()))?;
    if reply.attempt != req.attempt {
        return Err(bad_reply(format!("reply to another attempt, {:x}", reply.attempt)));
    }
    if (reply.snapshot, reply.shard) != (req.snapshot, req.shard) {
        let (snapshot, shard) = (reply.snapshot, reply.shard);
        return Err(bad_reply(format!(
            "reply for another shard: snapshot {snapshot}, shard {shard}"
        )));
    }
    let entries = reply.entries.into_iter().map(|entry| Entry {
        key: entry.key,
        firm: entry.firm.into(),
        title: entry.title,
        score: entry.score,
    });
    let result = ShardResult {
        snapshot: reply.snapshot,
        shard: reply.shard,
        documents: reply.documents,
        total_hits: reply.total_hits,
        entries: entries.collect(),
        receipt: reply.receipt,
    };
    Ok(RanReply { result, draining: reply.draining })
}

fn bad_reply(why: String) -> AttemptFailure {
    AttemptFailure::may_have_run(FailureReason::BadReply(why))
}
