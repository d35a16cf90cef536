//! Roll-outs: which version a new session gets, and when the next step is due.

use crate::hash::hash64;
use crate::{Config, Intent, Name, Rollout, RolloutState, VersionRef};

/// The id of the roll-out of `model` in `workspace`; there is one at a time.
pub fn id(workspace: &str, model: &str) -> Name {
    format!("{workspace}.{model}").into()
}

/// The share that roll-out `id` gives to `version` now, in thousandths.
pub fn share_of(config: &Config, id: &str, version: &str) -> u32 {
    config
        .rollouts
        .get(id)
        .filter(|r| r.to.as_ref() == version)
        .map_or(0, |r| r.share_permille)
}

/// The version that a new session or single request of `workspace` gets for `model`.
///
/// `nonce` decides the split, so that every box agrees without a message. The answer may be
/// withdrawn or not allowed: [`Config::permits`] decides that.
pub fn resolve(config: &Config, workspace: &str, model: &str, nonce: &str) -> Option<VersionRef> {
    let entry = config.models.get(model)?;
    let rolled = config
        .rollouts
        .get(&id(workspace, model))
        .filter(|r| r.state != RolloutState::Halted)
        .filter(|r| position_permille(nonce, model) < r.share_permille)
        .map(|r| r.to.clone());
    Some(VersionRef::new(
        model,
        rolled.unwrap_or_else(|| entry.current.clone()),
    ))
}

/// Where a nonce falls between 0 and 999.
fn position_permille(nonce: &str, model: &str) -> u32 {
    (hash64(&[b"split", nonce.as_bytes(), model.as_bytes()]) % 1_000) as u32
}

/// What the guard of a roll-out looks at.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// Number of ratings.
    pub rated: u64,
    /// Mean rating, 0 to 1.
    pub mean_quality: f64,
    /// Number of answers.
    pub done: u64,
    /// Number of failed ones among them.
    pub failed: u64,
}

/// Ratings needed before the quality floor counts.
const MIN_RATED: u64 = 12;
/// Answers needed before the failure floor counts.
const MIN_DONE: u64 = 20;

/// The next change a roll-out needs, if any: a halt by its guard or a due step.
pub fn next(id: &Name, rollout: &Rollout, seen: Observation, now_ms: u64) -> Option<Intent> {
    if rollout.state == RolloutState::Halted {
        return None;
    }
    if let Some(reason) = breach(rollout, seen) {
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

/// Takes one step per interval; one that was interrupted catches up only at its deadline.
fn due_share(rollout: &Rollout, now_ms: u64) -> u32 {
    if now_ms >= rollout.until_ms {
        return rollout.target_permille;
    }
    let waited_ms = now_ms.saturating_sub(rollout.stepped_ms);
    if waited_ms < rollout.step_interval_ms {
        return rollout.share_permille;
    }
    (rollout.share_permille + rollout.step_permille).min(rollout.target_permille)
}

fn breach(rollout: &Rollout, seen: Observation) -> Option<String> {
    let guard = &rollout.guard;
    if seen.rated >= MIN_RATED && seen.mean_quality < guard.quality_floor {
        return Some(format!(
            "mean rating {:.3} under {:.3}",
            seen.mean_quality, guard.quality_floor
        ));
    }
    let failed_permille = seen.failed * 1_000 / seen.done.max(1);
    if seen.done >= MIN_DONE && failed_permille > u64::from(guard.failed_permille) {
        return Some(format!("{failed_permille}/1000 answers failed"));
    }
    None
}
