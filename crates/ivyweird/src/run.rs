//! Calls to engines: tries, retries within the budget, and what is learnt of each.

use std::time::Duration;

use ivyweir_caller::ChatRequest;
use ivyweir_engine::{Answer, CallError, Completion, Fault, Usage};
use ivyweir_policy::billing::{Call, Record};
use ivyweir_policy::quality::confidence_bucket;
use ivyweir_policy::{Code, Name, Refusal, VersionRef};

use crate::clock::Clock;
use crate::context::Context;
use crate::gate::{Ask, Held};
use crate::rate::Sample;
use crate::version_stats::Observation;

/// Tries per call to a version.
pub const MAX_TRIES: usize = 3;
/// Confidence of an answer whose engine said nothing.
const NO_CONFIDENCE: f64 = 0.5;

/// Tries made for one call.
#[derive(Debug, Default)]
pub struct Tries {
    /// Upstreams tried.
    pub tried: Vec<Name>,
}

/// A whole answer with the version and upstream that gave it.
pub struct Answered {
    /// The version.
    pub at: VersionRef,
    /// The answer.
    pub answer: Answer,
    /// What is learnt from it.
    pub observation: Observation,
}

/// What an upstream must have for a call.
pub fn ask(context: &Context<'_>, at: &VersionRef, prefix: u64, tries: &Tries) -> Ask {
    Ask {
        pool: None,
        version: Some(at.to_string().into()),
        prefix: Some(prefix),
        tried: tries.tried.clone(),
        workspace: context.workspace.clone(),
        weight: context.weight(),
        priority: context.marks.priority,
        deadline_ms: context.deadline_ms,
        random: rand::random(),
    }
}

/// Waits for an upstream and checks, last of all, that the version may still be used.
///
/// # Errors
///
/// A refusal; nothing was sent for this try.
pub fn hold_upstream<'c>(
    context: &Context<'c>,
    at: &VersionRef,
    prefix: u64,
    tries: &mut Tries,
) -> Result<Held<'c>, Refusal> {
    let node = context.node;
    let ask = ask(context, at, prefix, tries);
    let acquired = node.gate.acquire(ask, context.moment());
    let held = acquired.map_err(|refusal| context.refuse(refusal))?;
    let checked = context
        .check_permitted(at)
        .and_then(|()| context.before_send());
    if let Err(refusal) = checked {
        held.finish(true, None, context.moment());
        return Err(refusal);
    }
    if tries.tried.is_empty() {
        node.gate.count_try();
    }
    tries.tried.push(held.upstream.name.clone());
    Ok(held)
}

/// Whether a failed call may be tried again elsewhere; takes a retry out of the budget.
pub fn may_try_again(context: &Context<'_>, error: &CallError, tries: &Tries) -> bool {
    if !error.may_have_run {
        context.nothing_ran();
    }
    let harmless = !context.marks.at_most_once || !error.may_have_run;
    let allowed = harmless
        && error.is_retryable()
        && tries.tried.len() < MAX_TRIES
        && context.left_ms() > 0
        && context.node.gate.may_retry();
    if allowed {
        context.node.metrics.retries.add(1, &[]);
    }
    allowed
}

/// The refusal for a call that failed for good.
pub fn refusal(context: &Context<'_>, error: &CallError) -> Refusal {
    let code = match error.fault {
        Fault::TimedOut => Code::DeadlinePassed,
        Fault::Truncated | Fault::Mismatched => Code::UpstreamTruncated,
        _ if context.marks.at_most_once && error.may_have_run => Code::OutcomeUnknown,
        _ => Code::UpstreamFailed,
    };
    context.refuse(Refusal::not_run(code, format!("upstream: {error}")))
}

/// Counts a call and learns from it; only what a version itself can cause speaks against it.
pub fn learn(context: &Context<'_>, observation: &Observation, fault: Option<Fault>) {
    let node = context.node;
    let version = observation.version.to_string();
    let outcome = match fault {
        None => "ok",
        Some(Fault::Unreachable) => "unreachable",
        Some(Fault::Busy) => "busy",
        Some(Fault::Rejected) => "rejected",
        Some(Fault::Failed) => "failed",
        Some(Fault::Truncated) => "truncated",
        Some(Fault::Mismatched) => "mismatched",
        Some(Fault::TimedOut) => "timed_out",
    };
    node.metrics.upstream_call(&version, outcome);
    let speaks = !matches!(
        fault,
        Some(Fault::Unreachable | Fault::Busy | Fault::Rejected)
    );
    if speaks {
        let (epoch_ms, now_ms) = (Clock::epoch_ms(), node.clock.now_ms());
        if node.learning.record_answer(observation, epoch_ms) {
            node.metrics.verdict_changes.add(1, &[]);
            let verdict = if node.learning.is_bad(&version, now_ms) {
                "bad"
            } else {
                "good"
            };
            log::warn!("this box holds {version} to be {verdict}");
        }
    }
}

/// Calls one version until there is a whole answer.
///
/// # Errors
///
/// A refusal when there is none.
pub fn call_whole(
    context: &Context<'_>,
    request: &ChatRequest,
    at: &VersionRef,
    prefix: u64,
) -> Result<Answered, Refusal> {
    let mut tries = Tries::default();
    loop {
        let held = hold_upstream(context, at, prefix, &mut tries)?;
        let completion = completion(context, request, at).with_logprobs();
        let timeout = Duration::from_millis(context.left_ms().max(1));
        let called = context
            .node
            .engine
            .complete(&held.upstream.addr, &completion, timeout);
        let mut observation = observation(context, at, &held);
        let fault = called.as_ref().err().map(|e| e.fault);
        held.finish(is_upstream_ok(fault), None, context.moment());
        match called {
            Ok(answer) => {
                observation.bucket = confidence_bucket(answer.confidence.unwrap_or(NO_CONFIDENCE));
                learn(context, &observation, None);
                return Ok(Answered {
                    at: at.clone(),
                    answer,
                    observation,
                });
            }
            Err(error) => {
                observation.failed = true;
                learn(context, &observation, Some(error.fault));
                if !may_try_again(context, &error, &tries) {
                    return Err(refusal(context, &error));
                }
            }
        }
    }
}

/// Whether a call speaks well of its upstream; a refusal for good is no fault of it.
pub fn is_upstream_ok(fault: Option<Fault>) -> bool {
    matches!(fault, None | Some(Fault::Rejected | Fault::TimedOut))
}

/// What is learnt from a call, before it is known how it ended.
pub fn observation(context: &Context<'_>, at: &VersionRef, held: &Held<'_>) -> Observation {
    Observation {
        version: at.clone(),
        class: context.class.clone(),
        bucket: confidence_bucket(NO_CONFIDENCE),
        upstream: held.upstream.name.clone(),
        failed: false,
    }
}

/// The request for one call; its id is new for each, so that answers cannot be mixed up.
pub fn completion(context: &Context<'_>, request: &ChatRequest, at: &VersionRef) -> Completion {
    let id = context.node.unique();
    let mut body = request.body.clone();
    // Engines serve a lower value earlier.
    body.insert("priority".into(), (9 - context.marks.priority).into());
    Completion::new(at.to_string(), id.as_ref(), body)
}

/// The charge for a call.
pub fn charge(context: &Context<'_>, at: &VersionRef, usage: Usage) -> Call {
    let price = context
        .current
        .config
        .version(at)
        .map_or(0, |v| v.cost_micro_per_ktoken);
    Call {
        version: at.to_string().into(),
        tokens: usage.total_tokens,
        cost_micro: (usage.total_tokens * price).div_ceil(1_000),
    }
}

/// Bills the request; the end of its answer waits for this.
///
/// # Errors
///
/// A refusal when the record could not be made safe; it stays and is written later.
pub fn bill(context: &Context<'_>, calls: Vec<Call>) -> Result<(), Refusal> {
    let node = context.node;
    let record = Record {
        workspace: context.workspace.clone(),
        key: context.key.clone(),
        calls,
        at_ms: Clock::epoch_ms(),
    };
    node.metrics.billing_records.add(1, &[]);
    if node.ledger.record(record) {
        return Ok(());
    }
    let text = "the billing record could not be made safe in time";
    Err(Refusal::unknown(Code::BillingUnavailable, text))
}

/// Has some answers rated.
pub fn sample(context: &Context<'_>, prompt: &str, answered: &Answered) {
    let version = context.current.config.version(&answered.at);
    context.node.ratings.offer(Sample {
        prompt: prompt.to_owned(),
        answer: answered.answer.text.clone(),
        observation: answered.observation.clone(),
        expected: version.map_or(1.0, |v| v.prior_quality),
    });
}
