//! At-most-once requests, and forwarding them to the box that is the authority for their session.

use std::time::Duration;

use ivyweir_caller::{Header, Reply};
use ivyweir_peer::pb;
use ivyweir_policy::claim::{Incarnation, Journal};
use ivyweir_policy::{Code, Refusal};

use crate::caller_api::{self, ParsedRequest};
use crate::context::Context;
use crate::document_sync;
use crate::idempotency::ExecutionDecision;
use crate::node::Node;

/// Header that marks a forwarded request. A forwarded request is not forwarded again.
const FORWARDED_HEADER: &str = "X-Ivyweir-Forwarded";

/// Runs a request at most once, on this box or on the authority for its session.
pub fn at_most_once(
    context: &Context<'_>,
    parsed: &ParsedRequest,
    run: impl FnOnce() -> Result<Reply, Refusal>,
) -> Result<Reply, Refusal> {
    let node = context.node;
    let opener = context.opener();
    let entry_name = Journal::entry_name(&context.workspace, &context.key);
    let is_local = opener == node.opener();
    let decision = node.idempotency.begin(&opener, &entry_name);
    match decision {
        ExecutionDecision::Run => run_and_store(context, &entry_name, run),
        ExecutionDecision::Completed(reply) => Ok(reply),
        ExecutionDecision::Forward(successor) => forward_to(context, parsed, &successor),
        ExecutionDecision::Refused(refusal) if is_local => Err(refusal),
        ExecutionDecision::Refused(refusal) if refusal.code == Code::SessionLost => {
            let authority = session_authority(node, &opener).ok_or(refusal)?;
            forward_to(context, parsed, &authority)
        }
        ExecutionDecision::Refused(refusal) => Err(refusal),
    }
}

fn run_and_store(
    context: &Context<'_>,
    entry_name: &ivyweir_policy::Name,
    run: impl FnOnce() -> Result<Reply, Refusal>,
) -> Result<Reply, Refusal> {
    let idempotency = &context.node.idempotency;
    let outcome = run();
    match &outcome {
        Ok(reply) => idempotency.finish(entry_name, reply),
        Err(_) if context.may_have_run() => idempotency.mark_lost(entry_name),
        Err(refusal) if refusal.code == Code::Duplicate => {
            idempotency.release(entry_name);
            if let Some(reply) = fetch_stored_reply(context) {
                return Ok(reply);
            }
        }
        Err(_) => idempotency.release(entry_name),
    }
    outcome
}

/// Fetches the stored reply of a key from the box that holds its claim, if it still has one.
fn fetch_stored_reply(context: &Context<'_>) -> Option<Reply> {
    let request = pb::OutcomeRequest {
        workspace: context.workspace.to_string(),
        key: context.key.to_string(),
    };
    let members = context.node.serving_members();
    let holder = context.claim_holder()?;
    let holder = members.iter().find(|m| m.name == holder.box_name)?;
    let reply = context
        .node
        .peers
        .outcome(&holder.peer_addr, request)
        .ok()?;
    (reply.status() == pb::OutcomeStatus::OutcomeKept).then(|| Reply {
        status: reply.http_status as u16,
        headers: vec![Header::new("Content-Type", reply.content_type)],
        body: reply.body,
    })
}

/// The current authority for the sessions of `opener`: itself or its successor.
///
/// Returns `None` if the member is unknown or has another incarnation.
fn session_authority(node: &Node, opener: &Incarnation) -> Option<Incarnation> {
    let record = node.member(&opener.box_name)?;
    if record.incarnation != opener.number {
        return None;
    }
    let successor = record
        .successor
        .map(|(box_name, number)| Incarnation { box_name, number });
    Some(successor.unwrap_or_else(|| opener.clone()))
}

/// Forwards the request to `authority` and returns its reply.
fn forward_to(
    context: &Context<'_>,
    parsed: &ParsedRequest,
    authority: &Incarnation,
) -> Result<Reply, Refusal> {
    let lost = || Refusal::unknown(Code::SessionLost, "the box that opened the session is gone");
    if *authority == context.node.opener() || parsed.header(FORWARDED_HEADER).is_some() {
        return Err(lost());
    }
    let addr = document_sync::incarnation_addr(context.node, &authority.box_name, authority.number);
    let addr = addr.ok_or_else(lost)?;
    let mut headers: Vec<pb::Header> = parsed.headers.iter().map(to_peer_header).collect();
    headers.push(pb::Header {
        name: FORWARDED_HEADER.into(),
        value: context.node.incarnation.box_name.to_string(),
    });
    let request = pb::ForwardRequest {
        method: parsed.method.clone(),
        path: parsed.path_and_query.clone(),
        headers,
        body: parsed.body.clone(),
        for_box: authority.box_name.to_string(),
        for_incarnation: authority.number,
    };
    let timeout = Duration::from_millis(context.remaining_ms().max(1));
    match context.node.peers.forward(&addr, request, timeout) {
        Ok(reply) => Ok(Reply {
            status: reply.http_status as u16,
            headers: reply.headers.into_iter().map(from_peer_header).collect(),
            body: reply.body,
        }),
        Err(e) if e.certainly_not_received() => {
            Err(Refusal::not_run(Code::SessionLost, e.to_string()))
        }
        Err(e) => Err(Refusal::unknown(Code::OutcomeUnknown, e.to_string())),
    }
}

/// Answers a request forwarded by a peer. Returns `None` if it is for another incarnation.
pub fn answer(node: &Node, request: pb::ForwardRequest) -> Option<pb::ForwardReply> {
    let is_for_this_box = request.for_box == node.incarnation.box_name.as_ref()
        && request.for_incarnation == node.incarnation.number;
    if !is_for_this_box {
        return None;
    }
    // Counted as in progress, so that a planned stop waits for it. It is accepted while the box is
    // stopping, because the box can still return stored replies.
    let in_progress = node.admit_forwarded();
    let parsed = ParsedRequest {
        method: request.method,
        path_and_query: request.path,
        headers: request.headers.into_iter().map(from_peer_header).collect(),
        body: request.body,
    };
    let reply = match &in_progress {
        Ok(_in_progress) => caller_api::respond(node, &parsed),
        Err(refusal) => Reply::from(refusal),
    };
    Some(pb::ForwardReply {
        http_status: u32::from(reply.status),
        headers: reply.headers.iter().map(to_peer_header).collect(),
        body: reply.body,
    })
}

fn to_peer_header(header: &Header) -> pb::Header {
    pb::Header {
        name: header.name.clone(),
        value: header.value.clone(),
    }
}

fn from_peer_header(header: pb::Header) -> Header {
    Header::new(header.name, header.value)
}
