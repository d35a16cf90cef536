//! Calls to plain services under `/services/POOL/...`.

use std::time::Duration;

use ivyweir_caller::{Header, Reply};
use ivyweir_policy::billing::Call;
use ivyweir_policy::hash::hash64;
use ivyweir_policy::{Code, Name, PoolKind, Refusal};
use ivyweir_service::CallError;

use crate::caller_api::ParsedRequest;
use crate::context::Context;
use crate::dispatcher::DispatchRequest;
use crate::engine_call;

/// Path prefix of calls to plain services.
pub const PATH_PREFIX: &str = "/services/";

/// Lower-case prefix of the headers that address ivyweir and are not forwarded to services.
const IVYWEIR_HEADER_PREFIX: &str = "x-ivyweir-";

/// Splits `/services/POOL/...` into the pool and the path at the service.
fn split_path(path_and_query: &str) -> Option<(&str, String)> {
    let pool_and_path = path_and_query.strip_prefix(PATH_PREFIX)?;
    let end = pool_and_path
        .find(['/', '?'])
        .unwrap_or(pool_and_path.len());
    let (pool, service_path) = pool_and_path.split_at(end);
    let service_path = if service_path.starts_with('/') {
        service_path.to_owned()
    } else {
        format!("/{service_path}")
    };
    (!pool.is_empty()).then_some((pool, service_path))
}

/// Answers a call to a plain service.
///
/// # Errors
///
/// Returns a refusal if the call was not answered or could not be billed.
pub fn answer(context: &Context<'_>, parsed: &ParsedRequest) -> Result<Reply, Refusal> {
    let not_found = || Refusal::not_run(Code::NotFound, "no service pool in the path");
    let (pool, service_path) = split_path(&parsed.path_and_query).ok_or_else(not_found)?;
    check_allowed(context, pool)?;
    context.node.ledger.check_available()?;
    let call = ivyweir_service::Call {
        method: parsed.method.clone(),
        path_and_query: service_path,
        headers: forwarded_headers(&parsed.headers),
        body: parsed.body.clone(),
    };
    let reply = call_with_retries(context, pool, &call)?;
    let charge = Call {
        version: pool.into(),
        tokens: 0,
        cost_micro: 0,
    };
    engine_call::bill(context, vec![charge])?;
    Ok(caller_reply(context, reply))
}

fn check_allowed(context: &Context<'_>, pool: &str) -> Result<(), Refusal> {
    let current = context.node.current();
    let is_service = current
        .config
        .pools
        .get(pool)
        .is_some_and(|p| p.kind == PoolKind::Service);
    if !is_service {
        return Err(Refusal::not_run(
            Code::NotFound,
            format!("no service pool named {pool}"),
        ));
    }
    let workspace = current.config.workspaces.get(&context.workspace);
    if workspace.is_some_and(|w| w.services.iter().any(|s| s.as_ref() == pool)) {
        return Ok(());
    }
    Err(Refusal::not_run(
        Code::Forbidden,
        format!("the workspace is not allowed to use service {pool}"),
    ))
}

fn call_with_retries(
    context: &Context<'_>,
    pool: &str,
    call: &ivyweir_service::Call,
) -> Result<ivyweir_service::Reply, Refusal> {
    let node = context.node;
    let mut tried: Vec<Name> = Vec::new();
    loop {
        let acquired = node.dispatcher.acquire(
            dispatch_request(context, pool, &tried),
            context.fleet_snapshot(),
        );
        let reservation = acquired.map_err(|refusal| context.adjust_refusal(refusal))?;
        let checked = check_allowed(context, pool).and_then(|()| context.prepare_send());
        if let Err(refusal) = checked {
            reservation.finish(true, None, context.fleet_snapshot());
            return Err(refusal);
        }
        if tried.is_empty() {
            node.dispatcher.count_first_attempt();
        }
        tried.push(reservation.upstream.name.clone());
        let timeout = Duration::from_millis(context.remaining_ms().max(1));
        let called = node.service.call(&reservation.upstream.addr, call, timeout);
        reservation.finish(called.is_ok(), None, context.fleet_snapshot());
        node.metrics
            .count_upstream_call(pool, if called.is_ok() { "ok" } else { "failed" });
        match called {
            Ok(reply) => return Ok(reply),
            Err(error) if should_retry(context, call, &error, &tried) => {}
            Err(error) => return Err(refusal(context, &error)),
        }
    }
}

fn dispatch_request(context: &Context<'_>, pool: &str, tried: &[Name]) -> DispatchRequest {
    let session = context.session.as_ref();
    DispatchRequest {
        pool: Some(pool.into()),
        version: None,
        prefix: session.map(|s| hash64(&[s.nonce.as_bytes()])),
        tried: tried.to_vec(),
        workspace: context.workspace.clone(),
        weight: context.weight(),
        priority: context.metadata.priority,
        deadline_ms: context.deadline_ms,
        random: rand::random(),
    }
}

/// Whether to retry a failed call, because it did not run or the request is safe to repeat. If so,
/// takes one retry from the budget.
///
/// A request is safe to repeat if its method is idempotent or the caller sent a request key, unless
/// the caller asked for at most one execution.
fn should_retry(
    context: &Context<'_>,
    call: &ivyweir_service::Call,
    error: &CallError,
    tried: &[Name],
) -> bool {
    if !error.may_have_run {
        context.mark_not_run();
    }
    let is_idempotent_method = matches!(
        call.method.as_str(),
        "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE"
    );
    let repeatable = !context.metadata.at_most_once
        && (is_idempotent_method || context.metadata.request_key.is_some());
    let allowed = (repeatable || !error.may_have_run)
        && tried.len() < engine_call::MAX_ATTEMPTS
        && context.remaining_ms() > 0
        && context.node.dispatcher.take_retry();
    if allowed {
        context.node.metrics.retries.add(1, &[]);
    }
    allowed
}

fn refusal(context: &Context<'_>, error: &CallError) -> Refusal {
    let code = if context.remaining_ms() == 0 {
        Code::DeadlinePassed
    } else if error.may_have_run {
        Code::OutcomeUnknown
    } else {
        Code::UpstreamFailed
    };
    context.adjust_refusal(Refusal::not_run(code, format!("service: {error}")))
}

/// The caller's headers without its ivyweir credentials and without headers that address ivyweir.
fn forwarded_headers(headers: &[Header]) -> Vec<ivyweir_service::Header> {
    headers
        .iter()
        .filter(|h| !h.name.eq_ignore_ascii_case("authorization"))
        .filter(|h| {
            !h.name
                .to_ascii_lowercase()
                .starts_with(IVYWEIR_HEADER_PREFIX)
        })
        .map(|h| ivyweir_service::Header {
            name: h.name.clone(),
            value: h.value.clone(),
        })
        .collect()
}

fn caller_reply(context: &Context<'_>, reply: ivyweir_service::Reply) -> Reply {
    let headers = reply
        .headers
        .into_iter()
        .map(|h| Header::new(h.name, h.value));
    Reply {
        status: reply.status,
        headers: headers.collect(),
        body: reply.body,
    }
    .with_header("X-Ivyweir-Request-Key", context.key.as_ref())
    .with_header("X-Ivyweir-Box", context.node.incarnation.box_name.as_ref())
}
