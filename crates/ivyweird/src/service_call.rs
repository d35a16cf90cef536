//! Calls to plain services under `/services/POOL/...`.

use std::time::Duration;

use ivyweir_caller::{Header, Reply};
use ivyweir_policy::billing::Call;
use ivyweir_policy::hash::hash64;
use ivyweir_policy::{Code, Name, PoolKind, Refusal};
use ivyweir_service::CallError;

use crate::caller_api::Parsed;
use crate::context::Context;
use crate::gate::Ask;
use crate::run;

/// Where plain services are reached.
pub const PREFIX: &str = "/services/";

/// Headers meant for ivyweir alone.
const OWN_HEADERS: &str = "x-ivyweir-";

/// The pool and the service's own path.
fn split_path(path_and_query: &str) -> Option<(&str, String)> {
    let rest = path_and_query.strip_prefix(PREFIX)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (pool, tail) = rest.split_at(end);
    let tail = if tail.starts_with('/') {
        tail.to_owned()
    } else {
        format!("/{tail}")
    };
    (!pool.is_empty()).then_some((pool, tail))
}

/// Answers a call to a plain service.
///
/// # Errors
///
/// A refusal.
pub fn answer(context: &Context<'_>, parsed: &Parsed) -> Result<Reply, Refusal> {
    let not_found = || Refusal::not_run(Code::NotFound, "no such service");
    let (pool, path) = split_path(&parsed.path_and_query).ok_or_else(not_found)?;
    check_allowed(context, pool)?;
    context.node.ledger.check_available()?;
    let call = ivyweir_service::Call {
        method: parsed.method.clone(),
        path_and_query: path,
        headers: carried_headers(&parsed.headers),
        body: parsed.body.clone(),
    };
    let reply = call_with_retries(context, pool, &call)?;
    let charge = Call {
        version: pool.into(),
        tokens: 0,
        cost_micro: 0,
    };
    run::bill(context, vec![charge])?;
    Ok(carried_reply(context, reply))
}

fn check_allowed(context: &Context<'_>, pool: &str) -> Result<(), Refusal> {
    let config = context.node.current();
    let is_service = config
        .config
        .pools
        .get(pool)
        .is_some_and(|p| p.kind == PoolKind::Service);
    if !is_service {
        return Err(Refusal::not_run(
            Code::NotFound,
            format!("no service {pool}"),
        ));
    }
    let workspace = config.config.workspaces.get(&context.workspace);
    if workspace.is_some_and(|w| w.services.iter().any(|s| s.as_ref() == pool)) {
        return Ok(());
    }
    Err(Refusal::not_run(
        Code::Forbidden,
        format!("the workspace may not use {pool}"),
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
        let acquired = node
            .gate
            .acquire(ask(context, pool, &tried), context.moment());
        let held = acquired.map_err(|refusal| context.refuse(refusal))?;
        let checked = check_allowed(context, pool).and_then(|()| context.before_send());
        if let Err(refusal) = checked {
            held.finish(true, None, context.moment());
            return Err(refusal);
        }
        if tried.is_empty() {
            node.gate.count_try();
        }
        tried.push(held.upstream.name.clone());
        let timeout = Duration::from_millis(context.left_ms().max(1));
        let called = node.service.call(&held.upstream.addr, call, timeout);
        held.finish(called.is_ok(), None, context.moment());
        node.metrics
            .upstream_call(pool, if called.is_ok() { "ok" } else { "failed" });
        match called {
            Ok(reply) => return Ok(reply),
            Err(error) if may_try_again(context, call, &error, &tried) => {}
            Err(error) => return Err(refusal(context, &error)),
        }
    }
}

fn ask(context: &Context<'_>, pool: &str, tried: &[Name]) -> Ask {
    let session = context.session.as_ref();
    Ask {
        pool: Some(pool.into()),
        version: None,
        prefix: session.map(|s| hash64(&[s.nonce.as_bytes()])),
        tried: tried.to_vec(),
        workspace: context.workspace.clone(),
        weight: context.weight(),
        priority: context.marks.priority,
        deadline_ms: context.deadline_ms,
        random: rand::random(),
    }
}

/// A call is repeated if it did not run, or if running it twice does no harm.
fn may_try_again(
    context: &Context<'_>,
    call: &ivyweir_service::Call,
    error: &CallError,
    tried: &[Name],
) -> bool {
    if !error.may_have_run {
        context.nothing_ran();
    }
    let by_method = matches!(
        call.method.as_str(),
        "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE"
    );
    let repeatable =
        !context.marks.at_most_once && (by_method || context.marks.request_key.is_some());
    let allowed = (repeatable || !error.may_have_run)
        && tried.len() < run::MAX_TRIES
        && context.left_ms() > 0
        && context.node.gate.may_retry();
    if allowed {
        context.node.metrics.retries.add(1, &[]);
    }
    allowed
}

fn refusal(context: &Context<'_>, error: &CallError) -> Refusal {
    let code = if context.left_ms() == 0 {
        Code::DeadlinePassed
    } else if error.may_have_run {
        Code::OutcomeUnknown
    } else {
        Code::UpstreamFailed
    };
    context.refuse(Refusal::not_run(code, format!("service: {error}")))
}

/// The caller's headers without its key to ivyweir and without marks for ivyweir.
fn carried_headers(headers: &[Header]) -> Vec<ivyweir_service::Header> {
    headers
        .iter()
        .filter(|h| !h.name.eq_ignore_ascii_case("authorization"))
        .filter(|h| !h.name.to_ascii_lowercase().starts_with(OWN_HEADERS))
        .map(|h| ivyweir_service::Header {
            name: h.name.clone(),
            value: h.value.clone(),
        })
        .collect()
}

fn carried_reply(context: &Context<'_>, reply: ivyweir_service::Reply) -> Reply {
    let headers = reply
        .headers
        .into_iter()
        .map(|h| Header::new(h.name, h.value));
    Reply {
        status: reply.status,
        headers: headers.collect(),
        body: reply.body,
    }
    .with("X-Ivyweir-Request-Key", context.key.as_ref())
    .with("X-Ivyweir-Box", context.node.me.box_name.as_ref())
}
