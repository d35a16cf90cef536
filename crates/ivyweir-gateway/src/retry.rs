//! Retry loop: sends a job to upstreams one after another until one responds.

mod other_boxes;

use std::sync::Arc;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::promise::SendLedger;
use ivyweir_policy::gateway::quarantine::Refusal;
use ivyweir_policy::gateway::send_count::SendCount;
use ivyweir_policy::gateway::upstreams::{Choice, ChooseError, Scope};
use ivyweir_policy::gateway::wait::spread_retry_after_ms;
use serde_json::{Value, json};

use crate::attempt::{self, AttemptOptions, AttemptOutcome, Reply};
use crate::error_response::ErrorReason;
use crate::job::Job;
use crate::log::Trace;
use crate::room;
use crate::state::{Gateway, RoomWaiter, Suspicion, Waiter, forecast_json};

pub use self::other_boxes::hands_over;
use self::other_boxes::{hand_over, hand_over_for_share, lacks_path, may_lack_share};

/// Number of unreachable upstreams after which a request is refused, unless it can still meet its latency target and
/// there are upstreams left to try.
const UNREACHABLE_SOFT_LIMIT: u32 = 4;
/// Number of unreachable upstreams after which a request is refused in any case. If half of a pool is gone, one
/// request in 16 meets four of these in a row, and one in 65,000 meets sixteen.
const UNREACHABLE_HARD_LIMIT: u32 = 16;
/// Least `Retry-After` of a request that is refused for a part of its prompt: one request at a time tries the part.
const MIN_PART_RETRY_AFTER_MS: u64 = 5_000;
/// Time limit for the head of the response to a repeatable request while another attempt is left, as a multiple of
/// the latency target.
const HEAD_TIMEOUT_FACTOR: u64 = 4;

/// Attempts of one request so far.
#[derive(Debug, Default)]
pub struct RetryState {
    /// Upstreams that were tried, in order; others are preferred.
    pub tried: Vec<Name>,
    /// Attempts that reached an upstream, of all boxes that had the request.
    pub sends: SendCount,
    /// Number of attempts in which no byte of the request was sent.
    unreachable: u32,
    /// What became of the sends of this box.
    pub ledger: SendLedger,
    /// Index of the model, from the smallest.
    pub model: usize,
    /// Whether the request was counted as one for its pool.
    is_counted: bool,
    /// Whether other boxes were asked to serve the request and declined.
    is_declined: bool,
    /// Whether other boxes were asked to send the request because this one owns too little of the upstreams' limits.
    has_asked_for_share: bool,
    /// Whether the request has waited for a check of this box's paths since.
    has_waited_for_check: bool,
    /// The quarantine for which the request was refused, if it was.
    quarantine: Option<Refusal>,
    /// Figures of the pool's capacity that led to the refusal, if it was refused for lack of it.
    pub capacity: Option<Value>,
}

impl RetryState {
    /// Creates the state of a job before its first attempt by this box.
    pub fn new(job: &Job) -> Self {
        let handed_over = job.handed_over.as_ref();
        Self {
            sends: job.send_count(),
            tried: handed_over.map_or_else(Vec::new, |handed| handed.tried.clone()),
            is_counted: handed_over.is_some_and(|handed| handed.is_counted),
            model: handed_over.and_then(|handed| handed.model).unwrap_or(0),
            ..Self::default()
        }
    }

    /// Whether an upstream may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.ledger.may_have_run()
    }

    /// Counts the job as a request for its pool, once.
    fn count(&mut self, gateway: &Gateway, job: &Job) {
        if !std::mem::replace(&mut self.is_counted, true) {
            gateway.count_request(&job.pool);
            gateway.count_room_arrival(job);
        }
    }

    /// Details of the log line about a refusal.
    pub fn refusal_detail(&self, reason: ErrorReason) -> Value {
        let mut detail = json!({"reason": reason.name(), "sends": self.sends.sent()});
        if let Some(capacity) = &self.capacity {
            detail["capacity"] = capacity.clone();
        }
        if let Some(Refusal::Part { part, .. }) = &self.quarantine {
            detail["part"] = json!(part.to_string());
        }
        detail
    }
}

/// Sends a job to upstreams until one responds.
pub async fn next_reply(
    gateway: &Arc<Gateway>,
    job: &Job,
    state: &mut RetryState,
    trace: &mut Trace,
) -> Result<Box<Reply>, ErrorReason> {
    // The box that handed the job over may find one with a path.
    if let Some(handed_over) = &job.handed_over {
        let is_untried = state.tried == handed_over.tried && !state.may_have_run();
        if is_untried && lacks_path(gateway, job, &state.tried, state.model) {
            return Err(ErrorReason::NoUpstream);
        }
    }
    if let Some(reply) = hand_over(gateway, job, state, trace).await? {
        return Ok(reply);
    }
    state.count(gateway, job);
    gateway.record_workspace_demand(job);
    gateway.take_part_trial(&job.identity);
    let mut waiter: Option<Waiter> = None;
    let mut room_waiter: Option<RoomWaiter> = None;
    // Whether the capacity of the pool allows the next send.
    let mut is_admitted = !gateway.has_room_control(&job.pool);
    loop {
        let now_ms = gateway.clock.now_ms();
        if now_ms >= job.deadline_ms {
            return Err(failure_reason(
                state,
                ErrorReason::DeadlineExceededNotRun,
                ErrorReason::DeadlineExceeded,
            ));
        }
        if let Some(refusal) = gateway.refusal(&job.identity) {
            let reason = quarantine_reason(&refusal);
            state.quarantine = Some(refusal);
            return Err(failure_reason(state, reason, ErrorReason::ResponseLost));
        }
        if let Some(reply) = hand_over(gateway, job, state, trace).await? {
            return Ok(reply);
        }
        if !is_admitted {
            is_admitted = room::admit_or_wait(gateway, job, state, &mut room_waiter, trace).await?;
            continue;
        }
        let rejected = state.sends.rejected();
        let choice = match choose_upstream(gateway, job, &state.tried, rejected, state.model) {
            Ok(choice) => choice,
            Err(ChooseError::AllBackingOff { .. } | ChooseError::AllCold)
                if may_lack_share(gateway, job, state)
                    && gateway.lacks_share(job, &state.tried) =>
            {
                if let Some(reply) = hand_over_for_share(gateway, job, state, trace).await? {
                    return Ok(reply);
                }
                continue;
            }
            Err(ChooseError::AllBackingOff { for_ms })
                if should_wait(gateway, job, state, for_ms, &waiter) =>
            {
                trace.step("waits", json!({"backing_off_for_ms": for_ms}));
                let waiter = waiter.get_or_insert_with(|| gateway.join_queue(job));
                tokio::select! {
                    () = waiter.wait(for_ms) => {}
                    () = gateway.until_quarantined(&job.identity) => {}
                }
                state.sends.forget_rejections();
                continue;
            }
            Err(why) => {
                return Err(failure_reason(
                    state,
                    refusal_reason(job, why),
                    ErrorReason::ResponseLost,
                ));
            }
        };
        waiter = None;
        trace.step("chosen", chosen_detail(gateway, job, &choice, state.model));
        let options = AttemptOptions {
            model: state.model,
            resume_after: None,
            head_timeout_ms: head_timeout_ms(job, state, now_ms),
            forecast: choice.forecast,
        };
        let ledger = &mut state.ledger;
        match attempt::send(gateway, job, &choice.upstream, options, ledger, trace).await {
            AttemptOutcome::Answered(reply) => {
                state.sends.record_send();
                return Ok(reply);
            }
            AttemptOutcome::NotRun { arrived } => {
                // A request that reached no upstream has not used the place that was granted to it.
                is_admitted = !arrived || !gateway.has_room_control(&job.pool);
                let upstream = &choice.upstream.id;
                state.tried.push(upstream.clone());
                if arrived {
                    state.sends.record_rejection(upstream);
                }
                record_not_run(gateway, job, state, arrived)?;
            }
            AttemptOutcome::Lost => {
                is_admitted = !gateway.has_room_control(&job.pool);
                state.tried.push(choice.upstream.id.clone());
                // Waits for the liveness probe also before the request fails: its caller may retry at once, and the
                // termination of an upstream affects where the retry is sent.
                gateway
                    .wait_for_termination_check(&choice.upstream.id)
                    .await;
                state.sends.record_send();
                record_lost(gateway, job, state)?;
            }
        }
    }
}

/// Returns the figures that decided, for the log.
fn chosen_detail(gateway: &Gateway, job: &Job, choice: &Choice, model: usize) -> Value {
    let mut detail = json!({
        "upstream": choice.upstream.id, "version": choice.upstream.version,
        "hall": choice.upstream.hall, "mean_work_ms": choice.mean_work_ms,
        "candidates": choice.candidates, "model": model,
        "load_ms": choice.load_ms, "work_before_ms": choice.work_before_ms, "occupancy": choice.occupancy, "read_ms": choice.prefill_ms, "kept_part_ms": choice.saved_ms,
        "forecast": choice.forecast.as_ref().map(forecast_json),
        "pace_answers": gateway.with_prefill_pace(&job.pool, |pace| pace.sample_count(model)),
    });
    if gateway.has_load_control() {
        detail["over_share"] = json!(gateway.over_share(job));
    }
    if gateway.containment(job.identity.request).is_some() {
        detail["contained"] = json!(true);
    }
    if let Some(part) = gateway.contained_part(&job.identity) {
        detail["contained_part"] = json!(part.to_string());
    }
    detail
}

/// Returns whether a job waits for upstreams that accept no requests for `for_ms`. A job that may have run does not
/// wait, so that its outcome is reported at once.
fn should_wait(
    gateway: &Gateway,
    job: &Job,
    state: &RetryState,
    for_ms: u64,
    waiter: &Option<Waiter>,
) -> bool {
    let prefill_ms = gateway.estimate(job, state.model).prefill_ms;
    let ahead = waiter.as_ref().map(Waiter::ahead);
    !state.may_have_run() && gateway.should_wait(job, for_ms, prefill_ms, ahead)
}

/// Records that an upstream did not run the job. Fails if no other upstream is to be tried.
fn record_not_run(
    gateway: &Gateway,
    job: &Job,
    state: &mut RetryState,
    arrived: bool,
) -> Result<(), ErrorReason> {
    let tries_another = if arrived {
        take_attempt(gateway, job, &state.sends)
    } else {
        state.unreachable += 1;
        may_try_another(gateway, job, state) && (!job.is_authenticated || gateway.may_serve_keys())
    };
    if tries_another {
        return Ok(());
    }
    Err(not_run_reason(gateway, job, state))
}

/// Returns the reason to fail with where no upstream that was asked has run the job, and no other one is.
fn not_run_reason(gateway: &Gateway, job: &Job, state: &RetryState) -> ErrorReason {
    let why = match choose_upstream(gateway, job, &[], &[], state.model) {
        Err(why @ ChooseError::AllBackingOff { .. }) => refusal_reason(job, why),
        _ => ErrorReason::NoUpstream,
    };
    failure_reason(state, why, ErrorReason::ResponseLost)
}

/// Returns whether another upstream is tried after unreachable ones. Nothing was sent to them, so this costs only
/// time; but once the last choice is a repeated one, all upstreams have been tried.
fn may_try_another(gateway: &Gateway, job: &Job, state: &RetryState) -> bool {
    if state.unreachable < UNREACHABLE_SOFT_LIMIT {
        return true;
    }
    let is_in_time = gateway.clock.now_ms() < job.arrived_ms + job.route.latency_aim_ms;
    let [before @ .., last] = &state.tried[..] else {
        return true;
    };
    is_in_time && state.unreachable < UNREACHABLE_HARD_LIMIT && !before.contains(last)
}

/// Fails if a job that an upstream may have run may not run again.
fn record_lost(gateway: &Gateway, job: &Job, state: &RetryState) -> Result<(), ErrorReason> {
    if take_retry(gateway, job, state) {
        return Ok(());
    }
    if gateway.clock.now_ms() >= job.deadline_ms {
        Err(ErrorReason::DeadlineExceeded)
    } else {
        Err(ErrorReason::ResponseLost)
    }
}

/// Chooses an upstream for a job: one that was not tried, or else any but the last one tried and those that rejected the
/// job. A contained job may only be sent to upstreams to which its connections broke.
///
/// # Errors
///
/// Fails if no upstream can take the job now.
pub fn choose_upstream(
    gateway: &Gateway,
    job: &Job,
    tried: &[Name],
    rejected: &[Name],
    model: usize,
) -> Result<Choice, ChooseError> {
    if gateway.has_path_trouble() {
        let avoided = [tried, &gateway.avoided_upstreams()].concat();
        if let Ok(choice) = choose_among_untried(gateway, job, &avoided, model) {
            return Ok(choice);
        }
    }
    if let Ok(choice) = choose_among_untried(gateway, job, tried, model) {
        return Ok(choice);
    }
    let last = tried.last().map_or(&[][..], std::slice::from_ref);
    let any_but_last = choose_among_untried(gateway, job, last, model)?;
    if !rejected.contains(&any_but_last.upstream.id) {
        return Ok(any_but_last);
    }
    let excluded = [last, rejected].concat();
    // Where only upstreams are left that rejected the job, it is not a matter of waiting for them.
    choose_among_untried(gateway, job, &excluded, model).map_err(|_| ChooseError::NoUpstream)
}

/// Chooses an upstream that was not tried. A contained job may only be sent to upstreams to which its connections
/// broke, tried or not.
fn choose_among_untried(
    gateway: &Gateway,
    job: &Job,
    tried: &[Name],
    model: usize,
) -> Result<Choice, ChooseError> {
    let estimate = gateway.estimate(job, model);
    let mut request = job.placement_request(model, estimate, &gateway.settings);
    if gateway.has_load_control() {
        request.band = gateway.urgency(job, estimate).band();
        request.forecast = true;
    }
    if gateway.suspicion(job.identity.request) == Suspicion::UpstreamEnded {
        request.isolation_hash = Some(job.identity.request.bits());
    }
    if let Some(part) = gateway.contained_part(&job.identity) {
        request.isolation_hash = Some(part.bits());
    }
    let scope = Scope {
        pool: &job.pool,
        side: job.side,
        tried,
    };
    match gateway.containment(job.identity.request) {
        Some(containment) => gateway.choose_contained(&containment, &scope, &request),
        None => gateway.choose_upstream(&scope, &request),
    }
}

/// Returns the refusal reason of a request that no upstream can take.
fn refusal_reason(job: &Job, why: ChooseError) -> ErrorReason {
    match why {
        ChooseError::NoUpstream => ErrorReason::NoUpstream,
        ChooseError::HallsDrained => ErrorReason::HallsDrained,
        ChooseError::AllCold => ErrorReason::AllCold,
        ChooseError::AllBackingOff { for_ms } => ErrorReason::AllBackingOff {
            retry_after_ms: spread_retry_after_ms(for_ms, job.priority(), job.seed),
        },
    }
}

fn quarantine_reason(refusal: &Refusal) -> ErrorReason {
    match refusal {
        Refusal::Request(_) => ErrorReason::Quarantined,
        Refusal::Part { retry_in_ms, .. } => ErrorReason::PartQuarantined {
            retry_after_ms: (*retry_in_ms).max(MIN_PART_RETRY_AFTER_MS),
        },
    }
}

/// Returns the reason to fail with, depending on whether the request may have run.
pub fn failure_reason(
    state: &RetryState,
    not_run: ErrorReason,
    may_have_run: ErrorReason,
) -> ErrorReason {
    if state.may_have_run() {
        may_have_run
    } else {
        not_run
    }
}

/// Takes a retry from the pool's budget, if the job has attempts left and its deadline has not passed. Returns whether it
/// did.
pub fn take_attempt(gateway: &Gateway, job: &Job, sends: &SendCount) -> bool {
    !sends.is_used_up()
        && gateway.clock.now_ms() < job.deadline_ms
        && gateway.try_take_retry(&job.pool)
}

/// Takes a retry from the pool's budget for a request that may have run, if it may run again and has attempts left.
/// Returns whether it did.
pub fn take_retry(gateway: &Gateway, job: &Job, state: &RetryState) -> bool {
    job.route.kind.is_repeatable() && take_attempt(gateway, job, &state.sends)
}

/// Returns the time limit for the head of the response: the time left until the deadline, or less if another attempt
/// is left for a repeatable request.
fn head_timeout_ms(job: &Job, state: &RetryState, now_ms: u64) -> u64 {
    let left_ms = job.deadline_ms.saturating_sub(now_ms);
    let is_repeatable_unary = !job.route.kind.is_stream() && job.route.kind.is_repeatable();
    if is_repeatable_unary && state.sends.has_more_than_one_left() {
        left_ms.min(job.route.latency_aim_ms * HEAD_TIMEOUT_FACTOR)
    } else {
        left_ms
    }
}
