//! Sends a request on a connection and waits for the response that belongs to it.
//!
//! All that is concluded from a response, that a request was not run, that its upstream has left or is slow, is concluded
//! behind this check: a response that is not shown to be the answer to the request says nothing of it, and of its upstream
//! only what cannot change.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use ivyweir_policy::gateway::answer_owner::AnswerOwner;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::statement::{Source, Statement};
use serde_json::json;

use crate::connection::{Connection, LostResponse, SendError, SkipError};
use crate::dialect::ResponseMetadata;
use crate::in_flight::InFlightRequest;
use crate::job::Job;
use crate::log::Trace;
use crate::state::Gateway;

/// Number of responses that are skipped before the answer to a request.
const MAX_SKIPPED: u32 = 4;

/// Error of an exchange.
pub enum ExchangeError {
    /// There is no response.
    Send(SendError),
    /// There is a response, but it is not shown to be the answer, and the answer does not follow.
    Foreign,
}

/// Sends a request on a connection, which `in_flight` keeps, and waits for the head of its answer. Responses that belong
/// to other requests are skipped.
pub async fn exchange(
    gateway: &Gateway,
    job: &Job,
    upstream: &UpstreamRecord,
    request: Request<Full<Bytes>>,
    connection: Connection,
    in_flight: &mut InFlightRequest,
    trace: &mut Trace,
) -> Result<(Response<Incoming>, ResponseMetadata), ExchangeError> {
    let method = request.method().clone();
    let connection = in_flight.set_connection(connection);
    connection.record_request(job.metadata.request_id.as_deref());
    let mut response = match connection.send(request).await {
        Ok(response) => response,
        Err(SendError::ResponseLost(LostResponse::InvalidStatus { response })) => {
            return Err(reject(gateway, job, upstream, &response, trace));
        }
        Err(e) => return Err(ExchangeError::Send(e)),
    };
    for _ in 0..MAX_SKIPPED {
        let metadata = gateway
            .dialect
            .response_metadata(response.status().as_u16(), response.headers());
        let owner = in_flight
            .connection()
            .map_or(AnswerOwner::Unknown, |connection| {
                connection.owner_of_answer(metadata.named_request())
            });
        if owner == AnswerOwner::Current {
            return Ok((response, metadata));
        }
        log_foreign(job, upstream, &response, &metadata, owner, trace);
        apply_departure(gateway, upstream, &metadata);
        let next = match in_flight.take_connection() {
            Some(connection) if owner == AnswerOwner::Surplus => {
                connection.skip_response(response, method.clone()).await
            }
            _ => Err(SkipError::NothingFollows),
        };
        let then = if next.is_ok() { "skipped" } else { "lost" };
        let foreign = &gateway.metrics.foreign_answers;
        foreign.with_label_values(&[upstream.name(), then]).inc();
        let (connection, following) = match next {
            Ok(next) => next,
            Err(SkipError::NothingFollows) => return Err(ExchangeError::Foreign),
            Err(SkipError::Lost(LostResponse::InvalidStatus { response })) => {
                return Err(reject(gateway, job, upstream, &response, trace));
            }
            Err(SkipError::Lost(e)) => {
                return Err(ExchangeError::Send(SendError::ResponseLost(e)));
            }
        };
        in_flight.set_connection(connection);
        response = following;
    }
    Err(ExchangeError::Foreign)
}

/// Handles a response that is no answer to any request; the connection is not used any more.
fn reject(
    gateway: &Gateway,
    job: &Job,
    upstream: &UpstreamRecord,
    response: &Response<Incoming>,
    trace: &mut Trace,
) -> ExchangeError {
    let metadata = gateway
        .dialect
        .response_metadata(response.status().as_u16(), response.headers());
    log_foreign(
        job,
        upstream,
        response,
        &metadata,
        AnswerOwner::Unknown,
        trace,
    );
    apply_departure(gateway, upstream, &metadata);
    let foreign = &gateway.metrics.foreign_answers;
    foreign.with_label_values(&[upstream.name(), "lost"]).inc();
    ExchangeError::Foreign
}

/// Of all that a response says of its upstream, only the departure holds however old the response is.
fn apply_departure(gateway: &Gateway, upstream: &UpstreamRecord, metadata: &ResponseMetadata) {
    if metadata.statement.is_leaving {
        let statement = Statement {
            is_leaving: true,
            ..Statement::new(Source::Answer)
        };
        gateway.apply_statement(&upstream.id, &statement);
    }
}

fn log_foreign(
    job: &Job,
    upstream: &UpstreamRecord,
    response: &Response<Incoming>,
    metadata: &ResponseMetadata,
    owner: AnswerOwner,
    trace: &mut Trace,
) {
    let then = match owner {
        AnswerOwner::Surplus => "answer_awaited",
        AnswerOwner::Current | AnswerOwner::Unknown => "may_have_run",
    };
    let detail = json!({
        "upstream": upstream.id, "status": response.status().as_u16(),
        "sent_id": job.metadata.request_id, "answered_id": metadata.request_id,
        "several_ids": metadata.has_several_ids, "says_not_run": metadata.not_run,
        "owner": owner.name(), "then": then,
    });
    trace.fail("not_our_answer", detail);
}
