//! Reads an answer that is no stream as a whole before it is passed on.

use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::{Response, header};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::statement::DeclaredLimit;
use serde_json::json;
use tokio::time::timeout;

use crate::answer::{AnswerBody, whole};
use crate::attempt::Reply;
use crate::error_response::ErrorReason;
use crate::job::{Job, strip_hop_by_hop};
use crate::log::Trace;
use crate::state::Gateway;

/// Largest answer that is gathered before it is passed on.
const WHOLE_ANSWER_BYTES: usize = 4 << 20;

/// Reads a whole answer and passes it on; gives the upstream where it broke off.
pub async fn gather(
    gateway: &Gateway,
    job: &Job,
    reply: Reply,
    trace: &mut Trace,
) -> Result<Response<AnswerBody>, Name> {
    let Reply {
        response,
        mut lease,
        keep_ms,
        is_framed,
        marks,
        ..
    } = reply;
    let (mut head, body) = response.into_parts();
    let left_ms = job.deadline_ms.saturating_sub(gateway.clock.now_ms());
    let limit = Duration::from_millis(left_ms);
    let upstream = lease.upstream.id.clone();
    let mut replaced = gateway.watch_replaced(&upstream);
    let body = tokio::select! {
        biased;
        body = timeout(limit, Limited::new(body, WHOLE_ANSWER_BYTES).collect()) => body,
        () = replaced.replaced(gateway) => {
            lease.broke();
            trace.fail("upstream_replaced", json!({"upstream": upstream}));
            return Err(upstream);
        }
    };
    let bytes = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) => {
            lease.broke();
            trace.fail(
                "answer_broke_off",
                json!({"upstream": upstream, "error": e.to_string()}),
            );
            return Err(upstream);
        }
        Err(_) => {
            trace.fail("answer_late", json!({"upstream": upstream}));
            return Err(upstream);
        }
    };
    lease.complete(is_framed && head.status.is_success());
    lease.keep_channel(keep_ms);
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let detail = json!({
        "upstream": upstream, "status": head.status.as_u16(), "bytes": bytes.len(),
        "leaving": marks.statement.is_leaving, "limit_per_s": marks.statement.limit.map(DeclaredLimit::requests_per_s),
    });
    if head.status.is_server_error() {
        trace.fail("answered", detail);
    } else {
        trace.step("answered", detail);
    }
    // Only an upstream's own word makes 429, 503 and the like true; it was heard before.
    if promises_not_run(head.status.as_u16()) {
        return Ok(ErrorReason::ResponseLost.into_response(false));
    }
    Ok(Response::from_parts(head, whole(bytes)))
}

fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
