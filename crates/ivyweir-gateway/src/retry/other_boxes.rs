//! Requests that other boxes send for this one: where it has no path to upstreams, or owns too little of their limits.

use std::sync::Arc;

use ivyweir_policy::Name;

use super::{
    RetryState, choose_among_untried, head_timeout_ms, not_run_reason, record_lost, take_attempt,
};
use crate::attempt::{AttemptOutcome, Reply};
use crate::error_response::ErrorReason;
use crate::handover::{self, Attempts, HandoverOptions};
use crate::job::Job;
use crate::log::Trace;
use crate::state::Gateway;

/// Work by which an upstream that this box reaches may exceed the least of one that it does not reach before requests
/// are handed over.
const MAX_EXTRA_WORK_MS: f64 = 300.0;

/// Asks other boxes to serve a job if this one has no path to upstreams that could. Returns `None` if it has, or if no
/// other box accepts the job. While it is not known whether this box has lost its paths, the job is not sent from here.
///
/// # Errors
///
/// If the response was lost and the job may not run again, or if no other box accepts the job and this one is cut off or
/// may be.
pub(super) async fn hand_over(
    gateway: &Arc<Gateway>,
    job: &Job,
    state: &mut RetryState,
    trace: &mut Trace,
) -> Result<Option<Box<Reply>>, ErrorReason> {
    while !gateway.is_quarantined(&job.identity)
        && hands_over(gateway, job, &state.tried, state.model)
    {
        if state.is_declined {
            let is_refused = gateway.is_cut_off() || state.sends.is_used_up();
            if !is_refused && !gateway.may_be_cut_off() {
                break;
            }
            if is_refused || std::mem::replace(&mut state.has_waited_for_check, true) {
                return Err(not_run_reason(gateway, job, state));
            }
            gateway.wait_for_path_check().await;
            state.is_declined = false;
            continue;
        }
        let now_ms = gateway.clock.now_ms();
        let options = HandoverOptions {
            is_counted: state.is_counted,
            model: (state.model > 0).then_some(state.model),
            resume_after: None,
            head_timeout_ms: head_timeout_ms(job, state, now_ms),
            is_for_share: false,
            may_repeat_box: state.has_waited_for_check,
        };
        let sent = state.sends.sent();
        let attempts = Attempts {
            sends: &mut state.sends,
            tried: &mut state.tried,
            ledger: &mut state.ledger,
        };
        let outcome = handover::send(gateway, job, options, attempts, trace).await;
        // Another box has counted a request that it sent.
        state.is_counted |= state.sends.sent() > sent;
        match outcome {
            AttemptOutcome::Answered(reply) => return Ok(Some(reply)),
            AttemptOutcome::NotRun { .. } => {
                state.is_declined = true;
                // A send from here would be a repeat.
                let is_repeat = state.sends.sent() > sent;
                if is_repeat && !take_attempt(gateway, job, &state.sends) {
                    return Err(not_run_reason(gateway, job, state));
                }
            }
            AttemptOutcome::Lost => record_lost(gateway, job, state)?,
        }
    }
    if state.sends.is_used_up() {
        return Err(not_run_reason(gateway, job, state));
    }
    Ok(None)
}

/// Whether a job that no upstream accepts from this box may still be sent by another one that owns more of their limits.
pub(super) fn may_lack_share(gateway: &Gateway, job: &Job, state: &RetryState) -> bool {
    let handed_over = job.handed_over.as_ref();
    let is_untried = handed_over.is_none_or(|handed_over| state.tried == handed_over.tried);
    let is_for_share = handed_over.is_some_and(|handed_over| handed_over.is_for_share);
    let may_ask =
        is_for_share || job.may_be_handed_over(gateway) && gateway.may_ask_for_share(&job.pool);
    may_ask && is_untried && !state.has_asked_for_share && !state.may_have_run()
}

/// Asks other boxes to send a job where this one owns too little of the upstreams' limits. A job that was handed over
/// for that goes back, since the other box may ask another one. Returns `None` if no box sends it.
///
/// # Errors
///
/// If the job was handed over for that, or its response was lost and it may not run again.
pub(super) async fn hand_over_for_share(
    gateway: &Arc<Gateway>,
    job: &Job,
    state: &mut RetryState,
    trace: &mut Trace,
) -> Result<Option<Box<Reply>>, ErrorReason> {
    state.has_asked_for_share = true;
    if job.handed_over.as_ref().is_some_and(|h| h.is_for_share) {
        return Err(ErrorReason::NoShare);
    }
    let now_ms = gateway.clock.now_ms();
    let options = HandoverOptions {
        is_counted: state.is_counted,
        model: (state.model > 0).then_some(state.model),
        resume_after: None,
        head_timeout_ms: head_timeout_ms(job, state, now_ms),
        is_for_share: true,
        may_repeat_box: false,
    };
    let attempts = Attempts {
        sends: &mut state.sends,
        tried: &mut state.tried,
        ledger: &mut state.ledger,
    };
    match handover::send(gateway, job, options, attempts, trace).await {
        AttemptOutcome::Answered(reply) => Ok(Some(reply)),
        AttemptOutcome::NotRun { .. } => {
            gateway.record_share_declined(&job.pool);
            Ok(None)
        }
        AttemptOutcome::Lost => {
            record_lost(gateway, job, state)?;
            Ok(None)
        }
    }
}

/// Whether a job is handed over, if another box can be asked.
pub fn hands_over(gateway: &Gateway, job: &Job, tried: &[Name], model: usize) -> bool {
    job.may_be_handed_over(gateway) && lacks_path(gateway, job, tried, model)
}

/// Whether this box has no path to the upstreams that are left for a job, or only to much busier ones than others, or
/// may have lost all paths, or owns no slot of upstreams that are brittle.
pub(super) fn lacks_path(gateway: &Gateway, job: &Job, tried: &[Name], model: usize) -> bool {
    if gateway.owns_no_brittle_slots(&job.pool) {
        return true;
    }
    if !gateway.has_path_trouble() {
        return false;
    }
    if gateway.may_be_cut_off() {
        return true;
    }
    let avoided = gateway.avoided_upstreams();
    if avoided.is_empty() {
        return false;
    }
    let Ok(best) = choose_among_untried(gateway, job, tried, model) else {
        return false;
    };
    let reachable = [tried, &avoided].concat();
    match choose_among_untried(gateway, job, &reachable, model) {
        Ok(reached) => reached.work_before_ms > best.work_before_ms + MAX_EXTRA_WORK_MS,
        Err(_) => true,
    }
}
