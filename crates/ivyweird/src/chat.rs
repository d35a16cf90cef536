//! Chat completions that are answered whole.

use ivyweir_caller::{ChatRequest, Reply};
use ivyweir_policy::Refusal;
use ivyweir_policy::billing::Call;
use ivyweir_policy::model_selection::Choice;

use crate::context::Context;
use crate::route::{self, Route};
use crate::run::{self, Answered};

/// Answers a request as a whole.
///
/// # Errors
///
/// A refusal.
pub fn answer(context: &Context<'_>, request: &ChatRequest) -> Result<Reply, Refusal> {
    let route = route::find(context, request)?;
    context.node.ledger.check_available()?;
    let mut request = request.clone();
    request.stream = false;
    request.body.remove("stream");
    request.body.remove("stream_options");
    let (answered, calls) = call(context, &request, &route)?;
    run::bill(context, calls)?;
    Ok(reply(context, &answered))
}

fn call(
    context: &Context<'_>,
    request: &ChatRequest,
    route: &Route,
) -> Result<(Answered, Vec<Call>), Refusal> {
    let first_at = &route.first().version;
    let first = run::call_whole(context, request, first_at, route.prefix)?;
    run::sample(context, &request.prompt(), &first);
    let mut calls = vec![run::charge(context, &first.at, first.answer.usage)];
    let Choice::Cascade {
        fallback,
        min_accepted_bucket,
        ..
    } = route.choice
    else {
        return Ok((first, calls));
    };
    if first.observation.bucket >= min_accepted_bucket {
        return Ok((first, calls));
    }
    // Without a second answer, the first one is still whole and allowed.
    let Ok(second) = run::call_whole(
        context,
        request,
        &route.candidates[fallback].version,
        route.prefix,
    ) else {
        return Ok((first, calls));
    };
    run::sample(context, &request.prompt(), &second);
    calls.push(run::charge(context, &second.at, second.answer.usage));
    Ok((second, calls))
}

fn reply(context: &Context<'_>, answered: &Answered) -> Reply {
    let body = serde_json::to_vec(&answered.answer.body).expect("an answer is always valid JSON");
    Reply::json(200, body)
        .with("X-Ivyweir-Version", answered.at.to_string())
        .with("X-Ivyweir-Request-Key", context.key.as_ref())
        .with("X-Ivyweir-Box", context.node.me.box_name.as_ref())
}
