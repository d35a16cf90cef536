//! Whether the answer of a smaller model is discarded and the largest model asked instead.

use ivyweir_policy::gateway::cascade::{
    DisplacementRule, Escalation, EscalationInput, EscalationRule, WaitRule, Withheld,
};
use ivyweir_policy::gateway::forecast::Slot;
use ivyweir_policy::gateway::occupancy::PoolOccupancy;
use ivyweir_policy::gateway::urgency::Band;
use ivyweir_policy::hash::mix;
use serde_json::{Value, json};

use crate::attempt::Reply;
use crate::job::Job;
use crate::log::Trace;
use crate::retry::{RetryState, choose_upstream, take_retry};
use crate::state::Gateway;

/// Separates the draw of the escalation from other choices that are made by the request's seed.
const DRAW_SALT: u64 = 0x6573_6361_6c61_7465;
/// Bits of a seed that fit into the mantissa of a floating-point number.
const DRAW_BITS: u32 = 53;

/// Returns the larger model to escalate to, if the confidence of the reply is low, the pool has capacity, and a retry
/// can be taken from the budget.
pub fn escalation_target(
    gateway: &Gateway,
    job: &Job,
    state: &RetryState,
    reply: &Reply,
    trace: &mut Trace,
) -> Option<usize> {
    if !is_doubtful(gateway, job, state.model, reply) {
        return None;
    }
    let (decision, input) = decide(gateway, job, state, reply);
    let decision = match decision {
        Escalation::Ask(_) if !take_retry(gateway, job, state) => {
            Escalation::Withhold(Withheld::RetryBudget)
        }
        decision => decision,
    };
    let count = |name| {
        let labels = &[&*job.route.name, name];
        gateway.metrics.escalations.with_label_values(labels).inc();
    };
    match decision {
        Escalation::NotNeeded => None,
        Escalation::Ask(larger) => {
            count("asked");
            let mut detail = input.as_ref().map_or_else(|| json!({}), figures);
            detail["from"] = json!(state.model);
            detail["to"] = json!(larger);
            trace.step("larger_model", detail);
            Some(larger)
        }
        Escalation::Withhold(why) => {
            count(why.name());
            let mut detail = input.as_ref().map_or_else(|| json!({}), figures);
            detail["from"] = json!(state.model);
            detail["reason"] = json!(why.name());
            trace.step("larger_model_withheld", detail);
            None
        }
    }
}

/// Counts the relay of a reply if its confidence is low and there is a larger model.
pub fn count_relayed(gateway: &Gateway, job: &Job, model: usize, reply: &Reply) {
    let is_at_upstream = reply.in_flight.upstream().is_some();
    if is_at_upstream && is_doubtful(gateway, job, model, reply) {
        let labels = &[&*job.route.name];
        let relayed = &gateway.metrics.low_confidence_relayed;
        relayed.with_label_values(labels).inc();
    }
}

/// Whether a smaller model than the largest answered successfully with a confidence below the floor.
fn is_doubtful(gateway: &Gateway, job: &Job, model: usize, reply: &Reply) -> bool {
    let floor = gateway.settings.policy.confidence_floor;
    job.chooses_model()
        && reply.response.status().is_success()
        && model + 1 < job.route.models.len()
        && reply.metadata.confidence.is_some_and(|c| c < floor)
}

/// Decides by the rule of the pool; the input is missing if no upstream accepts the request.
fn decide(
    gateway: &Gateway,
    job: &Job,
    state: &RetryState,
    reply: &Reply,
) -> (Escalation, Option<EscalationInput>) {
    let has_load_control = gateway.has_load_control();
    let models = job.route.models.len();
    let largest = models.saturating_sub(1);
    let compared = if has_load_control {
        largest
    } else {
        state.model
    };
    let Ok(choice) = choose_upstream(gateway, job, &[], &[], compared) else {
        return (Escalation::Withhold(Withheld::NoUpstream), None);
    };
    let (wait_ms, occupancy) = if has_load_control {
        (choice.work_before_ms, choice.pool_occupancy)
    } else {
        (choice.mean_work_ms, PoolOccupancy::default())
    };
    let remaining_ms = job.target_ms().saturating_sub(gateway.clock.now_ms());
    let mut input = EscalationInput {
        confidence: reply.metadata.confidence,
        floor: gateway.settings.policy.confidence_floor,
        model: state.model,
        models,
        wait_ms: wait_ms + gateway.estimate(job, largest).prefill_ms,
        remaining_ms: remaining_ms as f64,
        band: Band::of_priority(job.class),
        waits_for_slot: choice
            .forecast
            .is_some_and(|forecast| forecast.slot == Slot::Waits),
        occupancy,
        sustained_share: 1.0,
        draw: draw(job),
    };
    if has_load_control {
        input.sustained_share = gateway.sustained_share(job, &input);
    }
    let rule: &dyn EscalationRule = if has_load_control {
        &DisplacementRule
    } else {
        &WaitRule
    };
    (rule.decide(&input), Some(input))
}

/// A number in `[0, 1)`, the same for all attempts of a request.
fn draw(job: &Job) -> f64 {
    let bits = mix(job.seed, DRAW_SALT) >> (u64::BITS - DRAW_BITS);
    bits as f64 / (1_u64 << DRAW_BITS) as f64
}

/// The figures that decided, for the log.
fn figures(input: &EscalationInput) -> Value {
    json!({
        "confidence": input.confidence, "floor": input.floor,
        "wait_ms": input.wait_ms, "remaining_ms": input.remaining_ms,
        "occupancy": input.occupancy.up_to(input.band), "more_urgent_occupancy": input.occupancy.more_urgent(input.band),
        "total_occupancy": input.occupancy.total(), "crowding": input.crowding(), "sustained_share": input.sustained_share, "draw": input.draw,
    })
}
