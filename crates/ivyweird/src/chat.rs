//! Chat completions without streaming.

use ivyweir_caller::{ChatRequest, Reply};
use ivyweir_policy::Refusal;
use ivyweir_policy::billing::Call;
use ivyweir_policy::model_selection::Choice;

use crate::context::Context;
use crate::engine_call::{self, CompletedCall};
use crate::route::{self, Route};

/// Answers a request with one complete response.
///
/// # Errors
///
/// Returns a refusal if the request was not answered or could not be billed.
pub fn answer(context: &Context<'_>, request: &ChatRequest) -> Result<Reply, Refusal> {
    let route = route::find(context, request)?;
    context.node.ledger.check_available()?;
    let mut request = request.clone();
    request.stream = false;
    request.body.remove("stream");
    request.body.remove("stream_options");
    let (completed, calls) = call_route(context, &request, &route)?;
    engine_call::bill(context, calls)?;
    Ok(reply(context, &completed))
}

fn call_route(
    context: &Context<'_>,
    request: &ChatRequest,
    route: &Route,
) -> Result<(CompletedCall, Vec<Call>), Refusal> {
    let first_version = &route.first().version;
    let first = engine_call::call_with_retries(context, request, first_version, route.prefix)?;
    engine_call::offer_for_rating(context, &request.prompt(), &first);
    let mut calls = vec![engine_call::charge(
        context,
        &first.version,
        first.answer.usage,
    )];
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
    // If the second call fails, the first answer is returned: it is complete and permitted.
    let Ok(second) = engine_call::call_with_retries(
        context,
        request,
        &route.candidates[fallback].version,
        route.prefix,
    ) else {
        return Ok((first, calls));
    };
    engine_call::offer_for_rating(context, &request.prompt(), &second);
    calls.push(engine_call::charge(
        context,
        &second.version,
        second.answer.usage,
    ));
    Ok((second, calls))
}

fn reply(context: &Context<'_>, completed: &CompletedCall) -> Reply {
    let body = serde_json::to_vec(&completed.answer.body).expect("an answer is always valid JSON");
    Reply::json(200, body)
        .with_header("X-Ivyweir-Version", completed.version.to_string())
        .with_header("X-Ivyweir-Request-Key", context.key.as_ref())
        .with_header("X-Ivyweir-Box", context.node.incarnation.box_name.as_ref())
}
