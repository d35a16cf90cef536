//! Waiting for the capacity of a plain pool with load control.

use std::sync::Arc;

use ivyweir_policy::gateway::room::Admission;
use serde_json::{Value, json};

use crate::error_response::ErrorReason;
use crate::job::Job;
use crate::log::Trace;
use crate::retry::{RetryState, failure_reason};
use crate::state::{Gateway, RoomDecision, RoomWaiter};

/// Returns whether a request may be sent now. If not, it has waited for capacity, and the decision is to be repeated.
///
/// # Errors
///
/// If the pool has no capacity for the request within its budget, or if the request has to wait but may have run: its
/// outcome is then reported at once.
pub async fn admit_or_wait(
    gateway: &Arc<Gateway>,
    job: &Job,
    state: &mut RetryState,
    waiter: &mut Option<RoomWaiter>,
    trace: &mut Trace,
) -> Result<bool, ErrorReason> {
    let decision = gateway.decide_room(job, waiter.as_ref());
    match decision.admission {
        Admission::Send => {
            *waiter = None;
            Ok(true)
        }
        Admission::Wait { .. } if state.may_have_run() => Err(ErrorReason::ResponseLost),
        Admission::Wait { for_ms } => {
            if waiter.is_none() {
                count(gateway, job, &decision);
                trace.step("waits", figures(gateway, job, &decision));
            }
            let waiter = waiter.get_or_insert_with(|| gateway.join_room(job, &decision.outlook));
            tokio::select! {
                () = waiter.wait(for_ms) => {}
                () = gateway.until_quarantined(&job.identity) => {}
            }
            Ok(false)
        }
        Admission::Refuse { retry_after_ms } => {
            count(gateway, job, &decision);
            state.capacity = Some(figures(gateway, job, &decision));
            let not_run = ErrorReason::NoCapacity { retry_after_ms };
            Err(failure_reason(state, not_run, ErrorReason::ResponseLost))
        }
    }
}

fn count(gateway: &Gateway, job: &Job, decision: &RoomDecision) {
    let counter = match decision.admission {
        Admission::Send => return,
        Admission::Wait { .. } => &gateway.metrics.capacity_waits,
        Admission::Refuse { .. } => &gateway.metrics.capacity_refusals,
    };
    let labels = [&*job.pool, reason(gateway, job, decision)];
    counter.with_label_values(&labels).inc();
}

/// Why a request is not sent at once, for metrics and log lines.
fn reason(gateway: &Gateway, job: &Job, decision: &RoomDecision) -> &'static str {
    if decision.outlook.is_starting {
        "starting"
    } else if gateway.over_share(job) > 0.0 {
        "over_share"
    } else {
        "short"
    }
}

/// The figures behind a decision.
fn figures(gateway: &Gateway, job: &Job, decision: &RoomDecision) -> Value {
    let outlook = &decision.outlook;
    let per_s = |per_ms: f64| (per_ms * 1e6).round() / 1e3;
    let (for_ms, retry_after_ms) = match decision.admission {
        Admission::Send => (None, None),
        Admission::Wait { for_ms } => (Some(for_ms), None),
        Admission::Refuse { retry_after_ms } => (None, Some(retry_after_ms)),
    };
    json!({
        "why": reason(gateway, job, decision), "for_ms": for_ms, "retry_after_ms": retry_after_ms,
        "waiting": decision.waiting, "credit": decision.credit, "free": outlook.free,
        "work_ms": outlook.work_ms, "fleet_per_s": per_s(outlook.fleet_per_ms),
        "offered_per_s": per_s(outlook.offered_per_ms), "own_per_s": per_s(outlook.own_per_ms),
        "over_share": gateway.over_share(job),
    })
}
