//! Requests that another box holds the authority for.

use std::time::Duration;

use ivyweir_caller::{Header, Reply};
use ivyweir_peer::pb;
use ivyweir_policy::claim::{Incarnation, Journal};
use ivyweir_policy::{Code, Refusal};

use crate::caller_api::{self, Parsed};
use crate::context::Context;
use crate::document_sync;
use crate::idempotency::ExecutionDecision;
use crate::node::Node;

/// Says that a request was forwarded; a second forward is refused.
const FORWARDED: &str = "X-Ivyweir-Forwarded";

/// Runs a request at most once: here, or at the box that answers for its session.
pub fn at_most_once(
    context: &Context<'_>,
    parsed: &Parsed,
    run: impl FnOnce() -> Result<Reply, Refusal>,
) -> Result<Reply, Refusal> {
    let node = context.node;
    let opener = context.opener();
    let entry = Journal::entry_name(&context.workspace, &context.key);
    let mine = opener == node.opener();
    let permit = node.once.begin(&opener, &entry);
    match permit {
        ExecutionDecision::Run => run_and_keep(context, &entry, run),
        ExecutionDecision::Completed(reply) => Ok(reply),
        ExecutionDecision::Forward(successor) => send(context, parsed, &successor),
        ExecutionDecision::Refused(refusal) if mine => Err(refusal),
        ExecutionDecision::Refused(refusal) if refusal.code == Code::SessionLost => {
            let holder = holder(node, &opener).ok_or(refusal)?;
            send(context, parsed, &holder)
        }
        ExecutionDecision::Refused(refusal) => Err(refusal),
    }
}

fn run_and_keep(
    context: &Context<'_>,
    entry: &ivyweir_policy::Name,
    run: impl FnOnce() -> Result<Reply, Refusal>,
) -> Result<Reply, Refusal> {
    let once = &context.node.once;
    let outcome = run();
    match &outcome {
        Ok(reply) => once.finish(entry, reply),
        Err(_) if context.may_have_run() => once.mark_lost(entry),
        Err(refusal) if refusal.code == Code::Duplicate => {
            once.release(entry);
            if let Some(reply) = kept_elsewhere(context) {
                return Ok(reply);
            }
        }
        Err(_) => once.release(entry),
    }
    outcome
}

/// The answer of a key that another box ran, if that box still keeps it.
fn kept_elsewhere(context: &Context<'_>) -> Option<Reply> {
    let request = pb::OutcomeRequest {
        workspace: context.workspace.to_string(),
        key: context.key.to_string(),
    };
    let others = context.node.serving();
    let holder = context.claim_holder()?;
    let holder = others.iter().find(|m| m.name == holder.box_name)?;
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

/// Who answers for the sessions of `opener` now: itself, or whoever took over.
fn holder(node: &Node, opener: &Incarnation) -> Option<Incarnation> {
    let record = node.member(&opener.box_name)?;
    if record.incarnation != opener.number {
        return None;
    }
    let successor = record
        .successor
        .map(|(box_name, number)| Incarnation { box_name, number });
    Some(successor.unwrap_or_else(|| opener.clone()))
}

/// Sends the request to `holder` and gives its answer.
fn send(context: &Context<'_>, parsed: &Parsed, holder: &Incarnation) -> Result<Reply, Refusal> {
    let lost = || Refusal::unknown(Code::SessionLost, "the box that opened the session is gone");
    if *holder == context.node.opener() || parsed.header(FORWARDED).is_some() {
        return Err(lost());
    }
    let addr = document_sync::incarnation_addr(context.node, &holder.box_name, holder.number);
    let addr = addr.ok_or_else(lost)?;
    let mut headers: Vec<pb::Header> = parsed.headers.iter().map(header_out).collect();
    headers.push(pb::Header {
        name: FORWARDED.into(),
        value: context.node.me.box_name.to_string(),
    });
    let request = pb::ForwardRequest {
        method: parsed.method.clone(),
        path: parsed.path_and_query.clone(),
        headers,
        body: parsed.body.clone(),
        for_box: holder.box_name.to_string(),
        for_incarnation: holder.number,
    };
    let timeout = Duration::from_millis(context.left_ms().max(1));
    match context.node.peers.forward(&addr, request, timeout) {
        Ok(reply) => Ok(Reply {
            status: reply.http_status as u16,
            headers: reply.headers.into_iter().map(header_in).collect(),
            body: reply.body,
        }),
        Err(e) if e.certainly_not_received() => {
            Err(Refusal::not_run(Code::SessionLost, e.to_string()))
        }
        Err(e) => Err(Refusal::unknown(Code::OutcomeUnknown, e.to_string())),
    }
}

/// Answers a request that a peer forwarded; none if it is for another incarnation.
pub fn answer(node: &Node, request: pb::ForwardRequest) -> Option<pb::ForwardReply> {
    let for_me =
        request.for_box == node.me.box_name.as_ref() && request.for_incarnation == node.me.number;
    if !for_me {
        return None;
    }
    // Counted, so that a planned stop waits for it; a stopping box still tells what it kept.
    let entered = node.enter_forwarded();
    let parsed = Parsed {
        method: request.method,
        path_and_query: request.path,
        headers: request.headers.into_iter().map(header_in).collect(),
        body: request.body,
    };
    let reply = match &entered {
        Ok(_in_progress) => caller_api::respond(node, &parsed),
        Err(refusal) => Reply::from(refusal),
    };
    Some(pb::ForwardReply {
        http_status: u32::from(reply.status),
        headers: reply.headers.iter().map(header_out).collect(),
        body: reply.body,
    })
}

fn header_out(header: &Header) -> pb::Header {
    pb::Header {
        name: header.name.clone(),
        value: header.value.clone(),
    }
}

fn header_in(header: pb::Header) -> Header {
    Header::new(header.name, header.value)
}
