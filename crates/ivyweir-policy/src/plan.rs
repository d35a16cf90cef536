//! Plans: what the system will do about an intent once an operator confirms.

use serde::{Deserialize, Serialize};

use crate::apply::{apply_intent, footprint};
use crate::{AuditEntry, Config, Error, ErrorKind, Intent, Name, Result, describe};

/// How many applied plan ids the configuration remembers.
pub const APPLIED_PLANS_KEPT: usize = 4_096;

/// How many audit entries stay in the configuration before the oldest are archived.
pub const AUDIT_KEPT: usize = 256;

/// One line of a plan's difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Where in the configuration.
    pub path: String,
    /// What it becomes.
    pub becomes: String,
}

/// What the system will do once an operator confirms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Identifies the plan; a digest of all that it says.
    pub id: Name,
    /// What was asked for.
    pub intent: Intent,
    /// The generation it was drawn on.
    pub base_generation: u64,
    /// Digest of the parts of the configuration that it rests on.
    pub footprint: Name,
    /// The difference.
    pub changes: Vec<Change>,
    /// What it does to live traffic.
    pub effects: Vec<String>,
    /// Proof that a box of this fleet drew it.
    pub signature: Name,
}

impl Plan {
    /// Draws a plan for `intent` on `config` and signs it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`], [`ErrorKind::AlreadyExists`] or [`ErrorKind::Invalid`] when the
    /// intent does not fit the configuration.
    pub fn draw(config: &Config, intent: Intent, fleet_key: &[u8]) -> Result<Self> {
        let outcome = apply_intent(config, &intent)?;
        let mut plan = Self {
            id: "".into(),
            footprint: footprint(config, &intent),
            base_generation: config.generation,
            changes: outcome.changes,
            effects: outcome.effects,
            intent,
            signature: "".into(),
        };
        plan.id = plan.digest_hex("ivyweir plan id", b"")[..16].into();
        plan.signature = plan.digest_hex("ivyweir plan signature", fleet_key).into();
        Ok(plan)
    }

    /// Checks that a box of this fleet drew the plan and that nobody altered it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadSignature`].
    pub fn verify(&self, fleet_key: &[u8]) -> Result<()> {
        let mut unsigned = self.clone();
        unsigned.signature = "".into();
        let expected = unsigned.digest_hex("ivyweir plan signature", fleet_key);
        let matches = blake3::Hash::from_hex(expected.as_bytes())
            .ok()
            .zip(blake3::Hash::from_hex(self.signature.as_bytes()).ok())
            .is_some_and(|(a, b)| a == b);
        if matches {
            Ok(())
        } else {
            Err(Error::new(
                ErrorKind::BadSignature,
                format!("plan {}", self.id),
            ))
        }
    }

    /// Whether `config` shows this plan as applied.
    pub fn is_applied(&self, config: &Config) -> bool {
        config.applied_plans.contains(&self.id)
    }

    /// The configuration after this plan, with its audit entry in it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] when what the plan rests on has changed since it was drawn.
    pub fn apply(&self, config: &Config, operator: &str, now_ms: u64) -> Result<Config> {
        if footprint(config, &self.intent) != self.footprint {
            return Err(Error::new(ErrorKind::Conflict, format!("plan {}", self.id)));
        }
        let outcome = apply_intent(config, &self.intent)?;
        let mut next = outcome.config;
        next.generation = config.generation + 1;
        next.applied_plans.push(self.id.clone());
        let surplus = next.applied_plans.len().saturating_sub(APPLIED_PLANS_KEPT);
        next.applied_plans.drain(..surplus);
        next.audit.push(AuditEntry {
            operator: operator.into(),
            at_ms: now_ms,
            plan_id: self.id.clone(),
            generation: next.generation,
            intent: describe(&self.intent),
            changes: outcome.changes.iter().map(Change::to_string).collect(),
        });
        Ok(next)
    }

    fn digest_hex(&self, context: &str, key: &[u8]) -> String {
        let mut hasher = blake3::Hasher::new_derive_key(context);
        hasher.update(&(key.len() as u64).to_le_bytes());
        hasher.update(key);
        hasher.update(&serde_json::to_vec(self).expect("a plan is always valid JSON"));
        hasher.finalize().to_hex().to_string()
    }
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} = {}", self.path, self.becomes)
    }
}

/// Moves the oldest audit entries out of `config` when there are too many.
///
/// The caller writes them to an archive object before it writes the configuration.
pub fn split_audit(config: &mut Config) -> Vec<AuditEntry> {
    if config.audit.len() <= AUDIT_KEPT {
        return Vec::new();
    }
    let surplus = config.audit.len() - AUDIT_KEPT / 2;
    config.archived_entries += surplus as u64;
    config.audit.drain(..surplus).collect()
}
