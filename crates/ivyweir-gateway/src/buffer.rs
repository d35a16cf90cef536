//! Buffers a response that is not a stream before it is passed on.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Response, Version, header};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::answer_end::Framing;
use ivyweir_policy::gateway::statement::DeclaredLimit;
use serde_json::json;
use tokio::time::timeout;

use crate::answer_end;
use crate::attempt::Reply;
use crate::error_response::ErrorReason;
use crate::job::{Job, strip_hop_by_hop};
use crate::log::Trace;
use crate::pieces::Pieces;
use crate::promise::is_promise;
use crate::relay_buffer::{BodyRead, RelayBuffer};
use crate::response::{PieceBody, ResponseBody};
use crate::state::Gateway;

/// Largest response body that is buffered.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Error of reading a body: it broke off, or it is too large.
type CollectError = Box<dyn std::error::Error + Send + Sync>;

/// Reads a response completely and passes it on.
///
/// # Errors
///
/// Returns the upstream's name if the response is not received completely.
pub async fn buffer_response(
    gateway: &Arc<Gateway>,
    job: &Job,
    reply: Reply,
    trace: &mut Trace,
) -> Result<Response<ResponseBody>, Name> {
    let Reply {
        response,
        mut in_flight,
        keep_alive_ms,
        framing,
        metadata,
        ..
    } = reply;
    let (mut head, body) = response.into_parts();
    let left_ms = job.deadline_ms.saturating_sub(gateway.clock.now_ms());
    let limit = Duration::from_millis(left_ms);
    let upstream = in_flight.place().clone();
    let buffer = job.open_buffer(&gateway.relay_buffers);
    let mut replaced = gateway.watch_replacement(&upstream);
    let body = tokio::select! {
        biased;
        body = timeout(limit, collect(body, &buffer)) => body,
        () = replaced.replaced(gateway) => {
            in_flight.record_broken_connection();
            trace.fail("upstream_replaced", json!({"upstream": upstream}));
            return Err(upstream);
        }
    };
    let pieces = match body {
        Ok(Ok(pieces)) => pieces,
        Ok(Err(e)) => {
            in_flight.record_broken_connection();
            trace.fail(
                "answer_broke_off",
                json!({"upstream": upstream, "error": e.to_string()}),
            );
            return Err(upstream);
        }
        Err(_) => {
            in_flight.judge(true);
            trace.fail("answer_late", json!({"upstream": upstream}));
            return Err(upstream);
        }
    };
    in_flight.record_contact();
    if let Err(cause) = answer_end::check(gateway, &in_flight, framing, false, trace).await {
        in_flight.record_broken_connection();
        trace.fail(
            "answer_broke_off",
            json!({"upstream": upstream, "error": cause.text()}),
        );
        return Err(upstream);
    }
    let is_framed = framing != Framing::Connection;
    in_flight.complete(is_framed && head.status.is_success());
    in_flight.release_connection(keep_alive_ms.filter(|_| is_framed));
    // The version of the upstream decides nothing about the caller's connection.
    head.version = Version::HTTP_11;
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    // Statuses such as 429 and 503 tell the caller that the request was not run. Only the
    // upstream's own statement establishes that, and it was evaluated earlier.
    // Another box states that of its own attempts; those of this box were evaluated earlier too.
    let is_at_upstream = in_flight.upstream().is_some();
    let is_withheld = is_at_upstream && is_promise(head.status);
    let told = if is_withheld {
        ErrorReason::ResponseLost.status()
    } else {
        head.status
    };
    let detail = json!({
        "upstream": upstream, "status": head.status.as_u16(), "told": told.as_u16(),
        "bytes": pieces.iter().map(Bytes::len).sum::<usize>(), "framing": framing.name(),
        "leaving": metadata.statement.is_leaving, "limit_per_s": metadata.statement.limit.map(DeclaredLimit::requests_per_s),
    });
    if head.status.is_server_error() || is_promise(head.status) {
        trace.fail("answered", detail);
    } else {
        trace.step("answered", detail);
    }
    if is_withheld {
        return Ok(ErrorReason::ResponseLost.into_response(false));
    }
    let pieces = pieces.into_iter().map(|piece| buffer.deliver(piece));
    let body = PieceBody::new(pieces.collect()).boxed_unsync();
    Ok(Response::from_parts(head, body))
}

/// Reads a body of limited size into pieces, whose memory is freed one by one as the caller reads. Its bytes count, and no more is read while there is no room.
async fn collect(body: Incoming, buffer: &RelayBuffer) -> Result<VecDeque<Bytes>, CollectError> {
    let mut body = Limited::new(body, MAX_BUFFERED_BYTES);
    let mut pieces = Pieces::default();
    loop {
        buffer.wait_for_room().await;
        let frame = match buffer.next_frame(&mut body).await {
            BodyRead::Frame(frame) => frame,
            BodyRead::End => return Ok(pieces.into_pieces()),
            BodyRead::NoRoom => continue,
        };
        if let Ok(data) = frame?.into_data() {
            buffer.receive(data.len());
            pieces.push(&data);
        }
    }
}
