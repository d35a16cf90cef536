//! The configuration: one object, one order of generations.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Result};

/// A shared immutable name.
pub type Name = Arc<str>;

/// The whole configuration, as the Object API keeps it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Grows by one with each accepted change and never falls.
    pub generation: u64,
    /// Models by name.
    pub models: BTreeMap<Name, Model>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Name, Workspace>,
    /// Events by name.
    pub events: BTreeMap<Name, Event>,
    /// Roll-outs by id.
    pub rollouts: BTreeMap<Name, Rollout>,
    /// Groups of upstreams by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Operators by name.
    pub operators: BTreeMap<Name, Operator>,
    /// Keys that sign session tokens; the last one signs, all verify.
    pub session_keys: Vec<SessionKey>,
    /// Ids of the plans applied last, oldest first.
    pub applied_plans: Vec<Name>,
    /// The newest audit entries, oldest first; older ones are in archive objects.
    pub audit: Vec<AuditEntry>,
    /// How many audit entries have moved to archive objects.
    pub archived_entries: u64,
}

/// A model and its versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Versions by name.
    pub versions: BTreeMap<Name, Version>,
    /// The version that serves where no roll-out says otherwise.
    pub current: Name,
}

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Price of one thousand tokens, in millionths of the billing unit.
    pub cost_micro_per_ktoken: u64,
    /// Quality expected before any rating is in, 0 to 1.
    pub prior_quality: f64,
    /// Whether it may be used.
    pub state: VersionState,
}

/// Whether a version may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Takes new work.
    Active,
    /// Takes no new work.
    Withdrawn,
}

/// A customer of the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Hex hash of the caller key.
    pub key_hash: Name,
    /// Mean quality that answers must reach, 0 to 1.
    pub quality_target: f64,
    /// Share of capacity relative to other workspaces.
    pub weight: u32,
    /// Versions this workspace may use.
    pub allowed: Vec<VersionRef>,
    /// Pools of plain services this workspace may call.
    pub services: Vec<Name>,
}

/// A version with its model, written `model@version`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VersionRef {
    /// The model's name.
    pub model: Name,
    /// The version's name.
    pub version: Name,
}

/// Something with a fixed start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Start, in milliseconds since the epoch.
    pub start_ms: u64,
    /// Workspaces that take part.
    pub workspaces: Vec<Name>,
}

/// A move of a workspace's new sessions from one version to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The workspace whose new sessions move.
    pub workspace: Name,
    /// The model.
    pub model: Name,
    /// The version that is rolled out.
    pub to: Name,
    /// Share in force now, in thousandths.
    pub share_permille: u32,
    /// Share at the end, in thousandths.
    pub target_permille: u32,
    /// Size of one step, in thousandths.
    pub step_permille: u32,
    /// Time between steps.
    pub step_interval_ms: u64,
    /// When the last step was taken, in milliseconds since the epoch.
    pub stepped_ms: u64,
    /// The target share must be reached by then, in milliseconds since the epoch.
    pub until_ms: u64,
    /// Where it stands.
    pub state: RolloutState,
    /// What halts it without an operator.
    pub guard: Guard,
}

/// Where a roll-out stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// Steps are taken.
    Running,
    /// The target share is reached.
    Done,
    /// The guard or an operator stopped it; new work goes to the old version.
    Halted,
}

/// Floors under which a roll-out halts by itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guard {
    /// Lowest mean rating, 0 to 1.
    pub quality_floor: f64,
    /// Highest share of failed answers, in thousandths.
    pub failed_permille: u32,
}

impl Default for Guard {
    fn default() -> Self {
        Self {
            quality_floor: 0.0,
            failed_permille: 200,
        }
    }
}

/// A group of upstreams of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What its upstreams are.
    pub kind: PoolKind,
    /// Whether its upstreams refuse orders of an older generation.
    pub checks_fence: bool,
}

/// What the upstreams of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// Somebody who may operate the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Hex hash of the operator key.
    pub key_hash: Name,
    /// What they may do.
    pub role: Role,
}

/// What an operator may do; each role includes the ones before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// May look.
    Viewer,
    /// May plan and confirm.
    Editor,
}

/// A key that signs session tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionKey {
    /// Its id, carried by tokens.
    pub id: Name,
    /// Hex of 32 secret bytes.
    pub secret_hex: Name,
    /// When it was made, in milliseconds since the epoch.
    pub created_ms: u64,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// Who confirmed it.
    pub operator: Name,
    /// When, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The plan's id.
    pub plan_id: Name,
    /// The generation it made.
    pub generation: u64,
    /// What was asked for.
    pub intent: String,
    /// What changed, one line each.
    pub changes: Vec<String>,
}

/// The platform's list of machines; it lags.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxList {
    /// Grows with every change of the list.
    pub generation: u64,
    /// The machines.
    pub boxes: Vec<BoxEntry>,
}

/// One machine on the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxEntry {
    /// Its name.
    pub name: Name,
    /// What runs on it.
    pub kind: BoxKind,
    /// IP address and port: of the peer protocol for an entry box, of HTTP for an upstream.
    pub addr: Name,
    /// Its data hall.
    pub hall: Name,
    /// The pool of an upstream; empty for an entry box.
    pub pool: Name,
    /// Whether it stays.
    pub state: BoxState,
}

/// What runs on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxKind {
    /// A process of ivyweir.
    Entry,
    /// A back end.
    Upstream,
}

/// Whether a machine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// In service.
    Live,
    /// About to go: no new work.
    Leaving,
}

impl Config {
    /// Reads a configuration from JSON bytes.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] with the place where the JSON is not a configuration.
    pub fn from_slice(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes)
            .map_err(|e| Error::new(ErrorKind::Invalid, format!("configuration: {e}")))
    }

    /// The JSON bytes of this configuration.
    pub fn to_vec(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a configuration is always valid JSON")
    }

    /// The version behind a reference, whatever its state.
    pub fn version(&self, at: &VersionRef) -> Option<&Version> {
        self.models.get(&at.model)?.versions.get(&at.version)
    }

    /// Whether `workspace` may send new work to `at` now.
    pub fn permits(&self, workspace: &str, at: &VersionRef) -> bool {
        let allowed = self
            .workspaces
            .get(workspace)
            .is_some_and(|w| w.allowed.contains(at));
        allowed && self.is_active(at)
    }

    /// Whether a version exists and is active.
    pub fn is_active(&self, at: &VersionRef) -> bool {
        self.version(at)
            .is_some_and(|v| v.state == VersionState::Active)
    }

    /// The workspace whose caller key hashes to `key_hash`.
    pub fn workspace_by_key(&self, key_hash: &blake3::Hash) -> Option<(&Name, &Workspace)> {
        self.workspaces
            .iter()
            .find(|(_, w)| hash_matches(&w.key_hash, key_hash))
    }

    /// The operator whose key hashes to `key_hash`.
    pub fn operator_by_key(&self, key_hash: &blake3::Hash) -> Option<(&Name, &Operator)> {
        self.operators
            .iter()
            .find(|(_, o)| hash_matches(&o.key_hash, key_hash))
    }
}

/// Compares in constant time, as `blake3::Hash` does.
fn hash_matches(stored_hex: &str, given: &blake3::Hash) -> bool {
    blake3::Hash::from_hex(stored_hex).is_ok_and(|stored| stored == *given)
}

impl VersionRef {
    /// A reference from its two names.
    pub fn new(model: impl Into<Name>, version: impl Into<Name>) -> Self {
        Self {
            model: model.into(),
            version: version.into(),
        }
    }
}

impl fmt::Display for VersionRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

impl FromStr for VersionRef {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text.split_once('@') {
            Some((model, version)) if !model.is_empty() && !version.is_empty() => {
                Ok(Self::new(model, version))
            }
            _ => Err(Error::new(
                ErrorKind::Invalid,
                format!("version {text:?}, expected model@version"),
            )),
        }
    }
}

impl Serialize for VersionRef {
    fn serialize<S: serde::Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for VersionRef {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
