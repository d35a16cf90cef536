//! Sends a job to one upstream after the other until one answers.

use std::sync::Arc;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::upstreams::{Choice, ChooseError, Scope};
use ivyweir_policy::gateway::wait::spread_retry_after_ms;
use serde_json::json;

use crate::attempt::{self, Reply, Sending, Sent};
use crate::error_response::ErrorReason;
use crate::job::Job;
use crate::log::Trace;
use crate::state::{Gateway, Suspicion, Waiter};

/// Upstreams that could not be reached, after which a request is refused unless it can still come in time.
const FEW_UNREACHED: u32 = 4;
/// Such upstreams after which it is refused in any case. Where half of a pool is gone, one request in 16 finds
/// four of those in a row, and one in 65,000 finds sixteen.
const MOST_UNREACHED: u32 = 16;
/// How many times the latency aim one send of a safe request may take while another is left.
const SAFE_WAIT_AIMS: u64 = 4;

/// The tries of one request.
#[derive(Debug, Default)]
pub struct Tries {
    /// Upstreams that are not asked again while there are others.
    pub tried: Vec<Name>,
    /// Upstreams that were sent the request.
    pub sent: u32,
    /// Upstreams that could not be reached.
    unreached: u32,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
    /// The model, by its place from the smallest.
    pub model: usize,
}

/// Sends until an upstream answers.
pub async fn next_reply(
    gateway: &Arc<Gateway>,
    job: &Job,
    tries: &mut Tries,
    trace: &mut Trace,
) -> Result<Box<Reply>, ErrorReason> {
    let mut waiter: Option<Waiter> = None;
    loop {
        let now_ms = gateway.clock.now_ms();
        if now_ms >= job.deadline_ms {
            return Err(gave_up(
                tries,
                ErrorReason::DeadlineExceededNotRun,
                ErrorReason::DeadlineExceeded,
            ));
        }
        if gateway.is_quarantined(job.fingerprint) {
            return Err(gave_up(
                tries,
                ErrorReason::Quarantined,
                ErrorReason::ResponseLost,
            ));
        }
        let choice = match choose(gateway, job, &tries.tried, tries.model) {
            Ok(choice) => choice,
            Err(ChooseError::AllBackingOff { for_ms })
                if waits(gateway, job, tries, for_ms, &waiter) =>
            {
                trace.step("waits", json!({"backing_off_for_ms": for_ms}));
                let waiter = waiter.get_or_insert_with(|| gateway.join_queue(job));
                waiter.wait(for_ms).await;
                continue;
            }
            Err(why) => return Err(gave_up(tries, refusal(job, why), ErrorReason::ResponseLost)),
        };
        waiter = None;
        trace.step(
            "chosen",
            json!({
                "upstream": choice.upstream.id, "version": choice.upstream.version,
                "hall": choice.upstream.hall, "mean_work_ms": choice.mean_work_ms,
                "candidates": choice.candidates, "model": tries.model,
                "load_ms": choice.load_ms, "read_ms": choice.prefill_ms, "kept_part_ms": choice.saved_ms,
                "pace_answers": gateway.with_pace(&job.pool, |pace| pace.sample_count(tries.model)),
            }),
        );
        let sending = Sending {
            model: tries.model,
            resume_after: None,
            wait_ms: wait_ms(job, tries, now_ms),
        };
        match attempt::send(gateway, job, &choice.upstream, sending, trace).await {
            Sent::Answered(reply) => {
                tries.sent += 1;
                return Ok(reply);
            }
            Sent::NotRun { arrived } => {
                tries.tried.push(choice.upstream.id.clone());
                not_run(gateway, job, tries, arrived)?;
            }
            Sent::Lost => {
                tries.tried.push(choice.upstream.id.clone());
                // Before its caller hears of it too, who may come again at once: an end counts for the next try.
                gateway.until_looked(&choice.upstream.id).await;
                lost(gateway, job, tries)?;
            }
        }
    }
}

/// Whether a job waits for upstreams that want nothing for `for_ms`. One that may have run already does not: what is
/// known of it is told at once.
fn waits(
    gateway: &Gateway,
    job: &Job,
    tries: &Tries,
    for_ms: u64,
    waiter: &Option<Waiter>,
) -> bool {
    let read_ms = gateway.estimate(job, tries.model).prefill_ms;
    let ahead = waiter.as_ref().map(Waiter::ahead);
    !tries.may_have_run && gateway.is_worth_waiting(job, for_ms, read_ms, ahead)
}

/// Takes in that an upstream did not run the job; an error where no other is to be tried.
fn not_run(
    gateway: &Gateway,
    job: &Job,
    tries: &mut Tries,
    arrived: bool,
) -> Result<(), ErrorReason> {
    let goes_on = if arrived {
        tries.sent += 1;
        has_attempt(gateway, job, tries.sent)
    } else {
        tries.unreached += 1;
        may_try_another(gateway, job, tries) && (!job.is_keyed || gateway.may_serve_keys())
    };
    if goes_on {
        return Ok(());
    }
    let why = match choose(gateway, job, &[], tries.model) {
        Err(why @ ChooseError::AllBackingOff { .. }) => refusal(job, why),
        _ => ErrorReason::NoUpstream,
    };
    Err(gave_up(tries, why, ErrorReason::ResponseLost))
}

/// Whether another upstream is tried after some that could not be reached. Nothing was sent to them, so it costs
/// only time; but where all are tried there is nobody left.
fn may_try_another(gateway: &Gateway, job: &Job, tries: &Tries) -> bool {
    if tries.unreached < FEW_UNREACHED {
        return true;
    }
    let is_in_time = gateway.clock.now_ms() < job.arrived_ms + job.route.latency_aim_ms;
    let [before @ .., last] = &tries.tried[..] else {
        return true;
    };
    is_in_time && tries.unreached < MOST_UNREACHED && !before.contains(last)
}

/// Takes in that an upstream may have run the job; an error where it may not run again.
fn lost(gateway: &Gateway, job: &Job, tries: &mut Tries) -> Result<(), ErrorReason> {
    tries.sent += 1;
    tries.may_have_run = true;
    if may_repeat(gateway, job, tries) {
        return Ok(());
    }
    if gateway.clock.now_ms() >= job.deadline_ms {
        Err(ErrorReason::DeadlineExceeded)
    } else {
        Err(ErrorReason::ResponseLost)
    }
}

/// Chooses an upstream for a job: one that was not tried, or else any but the last that was.
///
/// # Errors
///
/// When none may take it now.
pub fn choose(
    gateway: &Gateway,
    job: &Job,
    tried: &[Name],
    model: usize,
) -> Result<Choice, ChooseError> {
    let mut ask = job.ask(model, gateway.estimate(job, model), &gateway.settings);
    if gateway.suspicion(job.fingerprint) == Suspicion::UpstreamEnded {
        ask.isolation_hash = Some(job.fingerprint.bits());
    }
    let among = |tried: &[Name]| {
        let scope = Scope {
            pool: &job.pool,
            side: job.side,
            tried,
        };
        gateway.choose(&scope, &ask)
    };
    among(tried).or_else(|_| among(tried.last().map_or(&[], std::slice::from_ref)))
}

/// The refusal of a request that no upstream takes.
fn refusal(job: &Job, why: ChooseError) -> ErrorReason {
    match why {
        ChooseError::NoUpstream => ErrorReason::NoUpstream,
        ChooseError::HallsDrained => ErrorReason::HallsDrained,
        ChooseError::AllCold => ErrorReason::AllCold,
        ChooseError::AllBackingOff { for_ms } => ErrorReason::AllBackingOff {
            retry_after_ms: spread_retry_after_ms(for_ms, job.rank(), job.seed),
        },
    }
}

/// The reason to give up with, by whether the request may have run.
fn gave_up(tries: &Tries, not_run: ErrorReason, may_have_run: ErrorReason) -> ErrorReason {
    if tries.may_have_run {
        may_have_run
    } else {
        not_run
    }
}

/// Takes a repeat of the pool's budget, if one of the job's attempts is left after those `sent`.
pub fn has_attempt(gateway: &Gateway, job: &Job, sent: u32) -> bool {
    sent < job.route.max_attempts
        && gateway.clock.now_ms() < job.deadline_ms
        && gateway.take_repeat(&job.pool)
}

/// Whether a request that may have run may run again, and there is an attempt left for it.
pub fn may_repeat(gateway: &Gateway, job: &Job, tries: &Tries) -> bool {
    job.route.kind.is_repeatable() && has_attempt(gateway, job, tries.sent)
}

/// How long the head of the answer is waited for: all the time, unless a repeat is left.
fn wait_ms(job: &Job, tries: &Tries, now_ms: u64) -> u64 {
    let left_ms = job.deadline_ms.saturating_sub(now_ms);
    let is_plain_safe = !job.route.kind.is_stream() && job.route.kind.is_repeatable();
    if is_plain_safe && tries.sent + 1 < job.route.max_attempts {
        left_ms.min(job.route.latency_aim_ms * SAFE_WAIT_AIMS)
    } else {
        left_ms
    }
}
