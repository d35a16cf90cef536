//! Plans: the effect of an intent on the configuration, computed and signed for confirmation by an
//! operator.

use serde::{Deserialize, Serialize};

use crate::apply::{apply_intent, footprint};
use crate::{AuditEntry, Config, Error, ErrorKind, Intent, Name, Result, describe_intent};

/// Maximum number of applied plan ids kept in the configuration.
pub const MAX_APPLIED_PLANS: usize = 4_096;

/// Maximum number of audit entries in the configuration; beyond it the oldest are archived.
pub const MAX_AUDIT_ENTRIES: usize = 256;

/// One changed value in a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Path of the value in the configuration.
    pub path: String,
    /// The new value.
    pub becomes: String,
}

/// A signed configuration change that takes effect once an operator confirms it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Plan id, a digest of the plan's content.
    pub id: Name,
    /// The requested change.
    pub intent: Intent,
    /// Generation of the configuration that the plan was computed from.
    pub base_generation: u64,
    /// Digest of the configuration parts that the intent reads or writes.
    pub footprint: Name,
    /// Differences from the base configuration.
    pub changes: Vec<Change>,
    /// Effects on live traffic.
    pub effects: Vec<String>,
    /// Signature with the fleet key; shows that a box of this fleet created the plan.
    pub signature: Name,
}

impl Plan {
    /// Computes the plan for applying `intent` to `config` and signs it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`], [`ErrorKind::AlreadyExists`] or [`ErrorKind::Invalid`] when the
    /// intent cannot be applied to the configuration.
    pub fn create(config: &Config, intent: Intent, fleet_key: &[u8]) -> Result<Self> {
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

    /// Verifies the signature: a box of this fleet created the plan and it has not been altered.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadSignature`] when the signature does not match.
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

    /// Whether `config` lists this plan as applied.
    pub fn is_applied(&self, config: &Config) -> bool {
        config.applied_plans.contains(&self.id)
    }

    /// Returns the configuration with this plan applied, including its audit entry.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] when configuration parts that the plan depends on have changed since it
    /// was created.
    pub fn apply(&self, config: &Config, operator: &str, now_ms: u64) -> Result<Config> {
        if footprint(config, &self.intent) != self.footprint {
            return Err(Error::new(ErrorKind::Conflict, format!("plan {}", self.id)));
        }
        let outcome = apply_intent(config, &self.intent)?;
        let mut next = outcome.config;
        next.generation = config.generation + 1;
        next.applied_plans.push(self.id.clone());
        let excess = next.applied_plans.len().saturating_sub(MAX_APPLIED_PLANS);
        next.applied_plans.drain(..excess);
        next.audit.push(AuditEntry {
            operator: operator.into(),
            at_ms: now_ms,
            plan_id: self.id.clone(),
            generation: next.generation,
            intent: describe_intent(&self.intent),
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

/// Removes and returns the oldest audit entries when `config` holds more than
/// [`MAX_AUDIT_ENTRIES`]; half that number remain.
///
/// The caller must write the returned entries to an archive object before it writes the
/// configuration.
pub fn take_excess_audit_entries(config: &mut Config) -> Vec<AuditEntry> {
    if config.audit.len() <= MAX_AUDIT_ENTRIES {
        return Vec::new();
    }
    let excess = config.audit.len() - MAX_AUDIT_ENTRIES / 2;
    config.archived_entries += excess as u64;
    config.audit.drain(..excess).collect()
}
