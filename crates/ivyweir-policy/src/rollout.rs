//! Roll-outs: assignment of versions to new sessions, and scheduling of roll-out steps.

use crate::hash::hash64;
use crate::{Config, Intent, Name, Rollout, RolloutState, VersionRef};

/// Returns the id of the roll-out of `model` in `workspace`. There is at most one at a time.
pub fn rollout_id(workspace: &str, model: &str) -> Name {
    format!("{workspace}.{model}").into()
}

/// Returns the current share of `version` in roll-out `id`, in thousandths.
pub fn share_permille(config: &Config, id: &str, version: &str) -> u32 {
    config
        .rollouts
        .get(id)
        .filter(|r| r.to.as_ref() == version)
        .map_or(0, |r| r.share_permille)
}

/// Returns the version of `model` for a new session or single request of `workspace`.
///
/// The choice depends only on the configuration and `nonce`, so that all boxes agree on it without
/// communication. The version may be withdrawn or not allowed for the workspace; callers check this
/// with [`Config::permits`].
pub fn resolve_version(
    config: &Config,
    workspace: &str,
    model: &str,
    nonce: &str,
) -> Option<VersionRef> {
    let entry = config.models.get(model)?;
    let rollout_version = config
        .rollouts
        .get(&rollout_id(workspace, model))
        .filter(|r| r.state != RolloutState::Halted)
        .filter(|r| split_position_permille(nonce, model) < r.share_permille)
        .map(|r| r.to.clone());
    Some(VersionRef::new(
        model,
        rollout_version.unwrap_or_else(|| entry.current.clone()),
    ))
}

/// Maps a nonce to a position between 0 and 999 by a hash.
fn split_position_permille(nonce: &str, model: &str) -> u32 {
    (hash64(&[b"split", nonce.as_bytes(), model.as_bytes()]) % 1_000) as u32
}

/// Measurements of the rolled-out version that the guard evaluates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// Number of ratings.
    pub rated: u64,
    /// Mean rating, 0 to 1.
    pub mean_quality: f64,
    /// Number of answers.
    pub done: u64,
    /// Number of failed answers.
    pub failed: u64,
}

/// Minimum number of ratings before the quality limit is enforced.
const MIN_RATINGS: u64 = 12;
/// Minimum number of answers before the failure limit is enforced.
const MIN_ANSWERS: u64 = 20;

/// Returns the next intent for a roll-out, if any: a halt by its guard or a step that is due.
pub fn next_intent(
    id: &Name,
    rollout: &Rollout,
    observation: Observation,
    now_ms: u64,
) -> Option<Intent> {
    if rollout.state == RolloutState::Halted {
        return None;
    }
    if let Some(reason) = guard_violation(rollout, observation) {
        return Some(Intent::Halt {
            rollout: id.clone(),
            reason,
        });
    }
    let share_permille = due_share(rollout, now_ms);
    let due = rollout.state == RolloutState::Running && share_permille > rollout.share_permille;
    due.then(|| Intent::Step {
        rollout: id.clone(),
        share_permille,
        at_ms: now_ms,
    })
}

/// Returns the share that is due now. The share grows by one step per interval. Steps that were
/// missed during an interruption are made up for only at the deadline.
fn due_share(rollout: &Rollout, now_ms: u64) -> u32 {
    if now_ms >= rollout.until_ms {
        return rollout.target_permille;
    }
    let since_step_ms = now_ms.saturating_sub(rollout.stepped_ms);
    if since_step_ms < rollout.step_interval_ms {
        return rollout.share_permille;
    }
    (rollout.share_permille + rollout.step_permille).min(rollout.target_permille)
}

/// Returns the reason for a halt if the observation violates the guard.
fn guard_violation(rollout: &Rollout, observation: Observation) -> Option<String> {
    let guard = &rollout.guard;
    if observation.rated >= MIN_RATINGS && observation.mean_quality < guard.quality_floor {
        return Some(format!(
            "mean rating {:.3} under {:.3}",
            observation.mean_quality, guard.quality_floor
        ));
    }
    let failed_permille = observation.failed * 1_000 / observation.done.max(1);
    if observation.done >= MIN_ANSWERS && failed_permille > u64::from(guard.failed_permille) {
        return Some(format!("{failed_permille}/1000 answers failed"));
    }
    None
}
