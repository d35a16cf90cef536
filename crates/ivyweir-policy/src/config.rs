//! Configuration types. The configuration is one stored object, and its generation number orders
//! all versions of it.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Result};

/// A shared immutable name.
pub type Name = Arc<str>;

/// The configuration, as stored in the Object API.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Incremented by one for each accepted change; never decreases.
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
    /// Session token keys. The last one signs new tokens; tokens are verified against all of them.
    pub session_keys: Vec<SessionKey>,
    /// Ids of the most recently applied plans, oldest first.
    pub applied_plans: Vec<Name>,
    /// The newest audit entries, oldest first; older ones are in archive objects.
    pub audit: Vec<AuditEntry>,
    /// Number of audit entries moved to archive objects.
    pub archived_entries: u64,
}

/// A model and its versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Versions by name.
    pub versions: BTreeMap<Name, Version>,
    /// The default version, used where no roll-out assigns another one.
    pub current: Name,
}

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Price per thousand tokens, in millionths of the billing unit.
    pub cost_micro_per_ktoken: u64,
    /// Expected quality before any rating has been received, 0 to 1.
    pub prior_quality: f64,
    /// Whether the version may be used.
    pub state: VersionState,
}

/// Whether a version may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Receives new requests.
    Active,
    /// Receives no new requests.
    Withdrawn,
}

/// A workspace: its caller key, its quality target, its share of capacity, and the versions and
/// services it may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Hex hash of the caller key.
    pub key_hash: Name,
    /// Target for the mean quality of answers, 0 to 1.
    pub quality_target: f64,
    /// Relative share of capacity, compared with the weights of other workspaces.
    pub weight: u32,
    /// Versions this workspace may use.
    pub allowed: Vec<VersionRef>,
    /// Pools of non-model services this workspace may call.
    pub services: Vec<Name>,
}

/// A reference to a model version, written `model@version`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VersionRef {
    /// The model's name.
    pub model: Name,
    /// The version's name.
    pub version: Name,
}

/// A scheduled event with a fixed start time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Start time, in milliseconds since the epoch.
    pub start_ms: u64,
    /// Participating workspaces.
    pub workspaces: Vec<Name>,
}

/// A gradual move of a workspace's new sessions from one version to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The workspace whose new sessions are moved.
    pub workspace: Name,
    /// The model.
    pub model: Name,
    /// The version being rolled out.
    pub to: Name,
    /// Current share of new sessions, in thousandths.
    pub share_permille: u32,
    /// Final share of new sessions, in thousandths.
    pub target_permille: u32,
    /// Size of one step, in thousandths.
    pub step_permille: u32,
    /// Time between two steps.
    pub step_interval_ms: u64,
    /// Time of the last step, in milliseconds since the epoch.
    pub stepped_ms: u64,
    /// Deadline for reaching the target share, in milliseconds since the epoch.
    pub until_ms: u64,
    /// State of the roll-out.
    pub state: RolloutState,
    /// Conditions that halt the roll-out automatically.
    pub guard: Guard,
}

/// State of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The share is still being increased.
    Running,
    /// The target share has been reached.
    Done,
    /// Stopped by the guard or an operator; new work goes to the old version.
    Halted,
}

/// Limits that halt a roll-out automatically when they are violated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guard {
    /// Lowest permitted mean rating, 0 to 1.
    pub quality_floor: f64,
    /// Highest permitted share of failed answers, in thousandths.
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
    /// Kind of its upstreams.
    pub kind: PoolKind,
    /// Whether its upstreams reject orders of an older generation.
    pub checks_fence: bool,
}

/// Kind of the upstreams in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Non-model services.
    Service,
}

/// A person with access to the operator API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Hex hash of the operator key.
    pub key_hash: Name,
    /// The operator's permissions.
    pub role: Role,
}

/// Operator permissions; each role includes the permissions of the roles before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Read-only access.
    Viewer,
    /// May also create and confirm plans.
    Editor,
}

/// A key that signs session tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionKey {
    /// Key id, which the tokens contain.
    pub id: Name,
    /// The 32 secret bytes, in hex.
    pub secret_hex: Name,
    /// Creation time, in milliseconds since the epoch.
    pub created_ms: u64,
}

/// One accepted configuration change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// The operator who confirmed the plan.
    pub operator: Name,
    /// Time of the change, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Id of the applied plan.
    pub plan_id: Name,
    /// Generation of the configuration after the change.
    pub generation: u64,
    /// Summary of the intent.
    pub intent: String,
    /// The changes, one line each.
    pub changes: Vec<String>,
}

/// The platform's list of machines. It can lag behind the real state of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxList {
    /// Incremented with each change of the list.
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
    /// What runs on the machine.
    pub kind: BoxKind,
    /// IP address and port of the peer protocol for an entry box, or of HTTP for an upstream.
    pub addr: Name,
    /// Its data hall.
    pub hall: Name,
    /// The pool of an upstream; empty for an entry box.
    pub pool: Name,
    /// Whether the machine is in service or leaving.
    pub state: BoxState,
}

/// What runs on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxKind {
    /// An ivyweir process.
    Entry,
    /// A back-end server.
    Upstream,
}

/// Whether a machine is in service or leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// In service.
    Live,
    /// About to be removed; receives no new work.
    Leaving,
}

impl Config {
    /// Deserializes a configuration from JSON.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`], with the position in the input, if the JSON is malformed or does not
    /// match the schema.
    pub fn from_slice(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes)
            .map_err(|e| Error::new(ErrorKind::Invalid, format!("configuration: {e}")))
    }

    /// Serializes the configuration to JSON.
    pub fn to_vec(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a configuration is always valid JSON")
    }

    /// Looks up a version, whatever its state.
    pub fn version(&self, at: &VersionRef) -> Option<&Version> {
        self.models.get(&at.model)?.versions.get(&at.version)
    }

    /// Whether `workspace` may send new requests to `at`: the version must be allowed and active.
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

/// Compares hashes in constant time; `blake3::Hash` implements equality that way.
fn hash_matches(stored_hex: &str, given: &blake3::Hash) -> bool {
    blake3::Hash::from_hex(stored_hex).is_ok_and(|stored| stored == *given)
}

impl VersionRef {
    /// Creates a reference from a model name and a version name.
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
