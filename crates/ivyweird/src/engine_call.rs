//! Calls to engines: attempts, retries within the retry budget, quality observations and billing.

use std::time::Duration;

use ivyweir_caller::ChatRequest;
use ivyweir_engine::{CallError, CompletionRequest, CompletionResponse, Fault, Usage};
use ivyweir_policy::billing::{Call, Record};
use ivyweir_policy::quality::confidence_bucket;
use ivyweir_policy::{Code, Name, Refusal, VersionRef};

use crate::clock::Clock;
use crate::context::Context;
use crate::dispatcher::{DispatchRequest, Reservation};
use crate::rating::Sample;
use crate::version_stats::Observation;

/// Maximum number of attempts for one call to a version.
pub const MAX_ATTEMPTS: usize = 3;
/// Confidence assumed for an answer whose engine reports none.
const DEFAULT_CONFIDENCE: f64 = 0.5;

/// Attempts made for one call.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Upstreams tried so far, in order.
    pub upstreams: Vec<Name>,
}

/// A complete answer, the version that generated it and the quality observation of the call.
pub struct CompletedCall {
    pub version: VersionRef,
    pub answer: CompletionResponse,
    pub observation: Observation,
}

/// Builds the dispatch request for a call to `version`.
pub fn dispatch_request(
    context: &Context<'_>,
    version: &VersionRef,
    prefix: u64,
    attempts: &Attempts,
) -> DispatchRequest {
    DispatchRequest {
        pool: None,
        version: Some(version.to_string().into()),
        prefix: Some(prefix),
        tried: attempts.upstreams.clone(),
        workspace: context.workspace.clone(),
        weight: context.weight(),
        priority: context.metadata.priority,
        deadline_ms: context.deadline_ms,
        random: rand::random(),
    }
}

/// Waits for an upstream, then checks that the workspace may still use the version.
///
/// The check comes after the wait, because the configuration may change while the request is
/// queued.
///
/// # Errors
///
/// Returns a refusal. Nothing has been sent for this attempt then.
pub fn reserve_upstream<'c>(
    context: &Context<'c>,
    version: &VersionRef,
    prefix: u64,
    attempts: &mut Attempts,
) -> Result<Reservation<'c>, Refusal> {
    let node = context.node;
    let request = dispatch_request(context, version, prefix, attempts);
    let acquired = node.dispatcher.acquire(request, context.fleet_snapshot());
    let reservation = acquired.map_err(|refusal| context.adjust_refusal(refusal))?;
    let checked = context
        .check_permitted(version)
        .and_then(|()| context.prepare_send());
    if let Err(refusal) = checked {
        reservation.finish(true, None, context.fleet_snapshot());
        return Err(refusal);
    }
    if attempts.upstreams.is_empty() {
        node.dispatcher.count_first_attempt();
    }
    attempts.upstreams.push(reservation.upstream.name.clone());
    Ok(reservation)
}

/// Whether to retry a failed call on another upstream. If so, takes one retry from the budget.
pub fn should_retry(context: &Context<'_>, error: &CallError, attempts: &Attempts) -> bool {
    if !error.may_have_run {
        context.mark_not_run();
    }
    let repeatable = !context.metadata.at_most_once || !error.may_have_run;
    let allowed = repeatable
        && error.is_retryable()
        && attempts.upstreams.len() < MAX_ATTEMPTS
        && context.remaining_ms() > 0
        && context.node.dispatcher.take_retry();
    if allowed {
        context.node.metrics.retries.add(1, &[]);
    }
    allowed
}

/// The refusal for a call that failed and is not retried.
pub fn refusal(context: &Context<'_>, error: &CallError) -> Refusal {
    let code = match error.fault {
        Fault::TimedOut => Code::DeadlinePassed,
        Fault::Truncated | Fault::Mismatched => Code::UpstreamTruncated,
        _ if context.metadata.at_most_once && error.may_have_run => Code::OutcomeUnknown,
        _ => Code::UpstreamFailed,
    };
    context.adjust_refusal(Refusal::not_run(code, format!("upstream: {error}")))
}

/// Records the outcome of a call in the metrics and in the quality statistics of the version.
///
/// The statistics skip faults that a version cannot cause: unreachable, busy and rejected.
pub fn record_outcome(context: &Context<'_>, observation: &Observation, fault: Option<Fault>) {
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
    node.metrics.count_upstream_call(&version, outcome);
    let is_attributable = !matches!(
        fault,
        Some(Fault::Unreachable | Fault::Busy | Fault::Rejected)
    );
    if is_attributable {
        let (epoch_ms, now_ms) = (Clock::epoch_ms(), node.clock.now_ms());
        if node.version_stats.record_answer(observation, epoch_ms) {
            node.metrics.verdict_changes.add(1, &[]);
            let verdict = if node.version_stats.is_bad(&version, now_ms) {
                "bad"
            } else {
                "good"
            };
            log::warn!("local quality verdict for version {version} changed to {verdict}");
        }
    }
}

/// Calls a version, with retries, until it returns a complete answer.
///
/// # Errors
///
/// Returns a refusal if no attempt returned a complete answer.
pub fn call_with_retries(
    context: &Context<'_>,
    request: &ChatRequest,
    version: &VersionRef,
    prefix: u64,
) -> Result<CompletedCall, Refusal> {
    let mut attempts = Attempts::default();
    loop {
        let reservation = reserve_upstream(context, version, prefix, &mut attempts)?;
        let completion = completion(context, request, version).with_logprobs();
        let timeout = Duration::from_millis(context.remaining_ms().max(1));
        let called = context
            .node
            .engine
            .complete(&reservation.upstream.addr, &completion, timeout);
        let mut observation = observation(context, version, &reservation);
        let fault = called.as_ref().err().map(|e| e.fault);
        reservation.finish(is_upstream_success(fault), None, context.fleet_snapshot());
        match called {
            Ok(answer) => {
                observation.bucket =
                    confidence_bucket(answer.confidence.unwrap_or(DEFAULT_CONFIDENCE));
                record_outcome(context, &observation, None);
                return Ok(CompletedCall {
                    version: version.clone(),
                    answer,
                    observation,
                });
            }
            Err(error) => {
                observation.failed = true;
                record_outcome(context, &observation, Some(error.fault));
                if !should_retry(context, &error, &attempts) {
                    return Err(refusal(context, &error));
                }
            }
        }
    }
}

/// Whether a call counts as a success of its upstream.
///
/// Rejected and timed-out calls do: a rejected request is not the upstream's fault, and a call
/// times out at the caller's deadline.
pub fn is_upstream_success(fault: Option<Fault>) -> bool {
    matches!(fault, None | Some(Fault::Rejected | Fault::TimedOut))
}

/// The quality observation of a call whose outcome is not yet known.
pub fn observation(
    context: &Context<'_>,
    version: &VersionRef,
    reservation: &Reservation<'_>,
) -> Observation {
    Observation {
        version: version.clone(),
        class: context.class.clone(),
        bucket: confidence_bucket(DEFAULT_CONFIDENCE),
        upstream: reservation.upstream.name.clone(),
        failed: false,
    }
}

/// The completion request for one call.
///
/// Each call gets a new id, so that an answer cannot be attributed to another call.
pub fn completion(
    context: &Context<'_>,
    request: &ChatRequest,
    version: &VersionRef,
) -> CompletionRequest {
    let id = context.node.unique_name();
    let mut body = request.body.clone();
    // Engines serve lower values first; callers give higher values to more urgent requests.
    body.insert("priority".into(), (9 - context.metadata.priority).into());
    CompletionRequest::new(version.to_string(), id.as_ref(), body)
}

/// The charge for a call, rounded up to a whole micro-unit.
pub fn charge(context: &Context<'_>, version: &VersionRef, usage: Usage) -> Call {
    let price = context
        .current
        .config
        .version(version)
        .map_or(0, |v| v.cost_micro_per_ktoken);
    Call {
        version: version.to_string().into(),
        tokens: usage.total_tokens,
        cost_micro: (usage.total_tokens * price).div_ceil(1_000),
    }
}

/// Records the charges of the request in the ledger. The answer is not completed before this.
///
/// # Errors
///
/// Returns a refusal if the record did not become durable in time. The record stays in the ledger
/// and is written later.
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
    let text = "the billing record did not become durable in time";
    Err(Refusal::unknown(Code::BillingUnavailable, text))
}

/// Offers an answer to the rater, which rates a sample of them.
pub fn offer_for_rating(context: &Context<'_>, prompt: &str, call: &CompletedCall) {
    let version = context.current.config.version(&call.version);
    context.node.rating_queue.offer(Sample {
        prompt: prompt.to_owned(),
        answer: call.answer.text.clone(),
        observation: call.observation.clone(),
        expected_quality: version.map_or(1.0, |v| v.prior_quality),
    });
}
