//! Confirmation of plans: a conditional update of the stored configuration, retried until its
//! outcome is known.

use ivyweir_operator::ConfirmReply;
use ivyweir_platform::{ErrorKind, Precondition, PutOutcome};
use ivyweir_policy::{Config, Plan, freshness, take_excess_audit_entries};

use crate::clock::Clock;
use crate::config::OfferOutcome;
use crate::document_sync::{self, CONFIG_OBJECT};
use crate::node::Node;
use crate::{audit, config::ConfigSnapshot};

/// Attempts to read and conditionally write before the outcome is reported as unknown.
const MAX_ATTEMPTS: usize = 6;

/// The outcome of one attempt.
enum Attempt {
    Done(ConfirmReply),
    /// Another writer updated the configuration since it was read.
    Conflict,
    /// It is not known whether the change was written, for the given reason. The next attempt
    /// reads the configuration to find out.
    Unknown(String),
}

/// Confirms a plan on behalf of an operator.
///
/// # Errors
///
/// Returns the reason why no attempt was made.
pub fn confirm(node: &Node, plan: &Plan, operator: &str) -> Result<ConfirmReply, String> {
    // A change accepted by a box that is not in contact with a majority might not reach the others.
    if !freshness::may_accept_change(node.freshness_evidence()) {
        return Err("this box is in contact with too few other boxes to accept a change".into());
    }
    // If the store was restored to an older state, a change based on it would reuse a generation
    // that was already active.
    if node.is_behind() {
        return Err("another box has a newer configuration; try again".into());
    }
    let mut unknown_reason = None;
    for _ in 0..MAX_ATTEMPTS {
        match attempt(node, plan, operator, unknown_reason.is_some()) {
            Attempt::Done(reply) => return Ok(reply),
            Attempt::Conflict => {}
            Attempt::Unknown(detail) => unknown_reason = Some(detail),
        }
    }
    let detail = unknown_reason
        .unwrap_or_else(|| "every attempt conflicted with another configuration change".into());
    Ok(ConfirmReply::Unknown { detail })
}

fn attempt(node: &Node, plan: &Plan, operator: &str, may_be_written: bool) -> Attempt {
    node.metrics.count_store_call("config_read");
    let object = match node.store.get(CONFIG_OBJECT) {
        Ok(Some(object)) => object,
        Ok(None) => return Attempt::Unknown("the store contains no configuration".into()),
        Err(e) => return Attempt::Unknown(e.to_string()),
    };
    if document_sync::apply_config(node, &object.body, None) == OfferOutcome::Older {
        return Attempt::Unknown(
            "the stored configuration is older than this box's and is being repaired".into(),
        );
    }
    let Ok(base) = Config::from_slice(&object.body) else {
        return Attempt::Unknown("the stored configuration is not valid".into());
    };
    if plan.is_applied(&base) {
        return Attempt::Done(already_applied_reply(node, plan, &base, may_be_written));
    }
    let mut next = match plan.apply(&base, operator, Clock::epoch_ms()) {
        Ok(next) => next,
        Err(_) => return Attempt::Done(moved_reply(node, plan, &base)),
    };
    let excess = take_excess_audit_entries(&mut next);
    if !excess.is_empty()
        && let Err(e) = audit::archive(node, &next, &excess)
    {
        return Attempt::Unknown(e.to_string());
    }
    write_config(node, plan, &base, &next, object.revision)
}

fn write_config(node: &Node, plan: &Plan, base: &Config, next: &Config, revision: u64) -> Attempt {
    let body = next.to_vec();
    node.metrics.count_store_call("config_write");
    match node
        .store
        .put(CONFIG_OBJECT, &body, Precondition::Revision(revision))
    {
        Ok(PutOutcome::Written { .. }) => {
            document_sync::apply_config(node, &body, Some(node.clock.now_ms()));
            document_sync::push_config(node);
            Attempt::Done(ConfirmReply::Applied {
                generation: next.generation,
                rebased: base.generation != plan.base_generation,
            })
        }
        Ok(PutOutcome::Conflict) => Attempt::Conflict,
        Err(e) if e.kind() == ErrorKind::Refused => {
            node.pause(REFUSED_RETRY_DELAY);
            Attempt::Unknown(e.to_string())
        }
        Err(e) => Attempt::Unknown(e.to_string()),
    }
}

const REFUSED_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(200);

/// Builds the reply for a plan that is already in the stored configuration: written by an earlier
/// confirmation, or by this one if the reply to its write was lost.
fn already_applied_reply(
    node: &Node,
    plan: &Plan,
    base: &Config,
    may_be_written: bool,
) -> ConfirmReply {
    if !may_be_written {
        return ConfirmReply::AlreadyApplied {
            generation: base.generation,
        };
    }
    document_sync::push_config(node);
    let generation = base
        .audit
        .iter()
        .find(|entry| entry.plan_id == plan.id)
        .map_or(base.generation, |entry| entry.generation);
    ConfirmReply::Applied {
        generation,
        rebased: generation != plan.base_generation + 1,
    }
}

fn moved_reply(node: &Node, plan: &Plan, base: &Config) -> ConfirmReply {
    match Plan::create(base, plan.intent.clone(), node.settings.fleet_key()) {
        Ok(fresh) => ConfirmReply::PlanOutdated {
            new_plan: Box::new(fresh),
        },
        Err(e) => ConfirmReply::Unknown {
            detail: format!("the intent does not apply to the current configuration: {e}"),
        },
    }
}

/// Applies a change that the system initiates, such as a roll-out step. Returns whether it was
/// applied.
pub fn apply_system_change(
    node: &Node,
    current: &ConfigSnapshot,
    intent: ivyweir_policy::Intent,
) -> bool {
    let Ok(plan) = Plan::create(&current.config, intent, node.settings.fleet_key()) else {
        return false;
    };
    let name = format!("system/{}", node.incarnation.box_name);
    matches!(
        confirm(node, &plan, &name),
        Ok(ConfirmReply::Applied { .. })
    )
}
