//! The gateway's settings file: strict JSON with errors that name the field.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::cascade::{CONFIDENCE_FLOOR, MAX_CONFIDENCE};
use ivyweir_policy::gateway::duty::report::UsageSchedule;
use ivyweir_policy::gateway::retry_budget::RetryLimits;
use serde::Deserialize;
use snafu::ensure;

use crate::settings_file::{self, RangeSnafu, SettingsError};

/// Header names and message formats that callers, upstreams and the store use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DialectChoice {
    /// The gateway's own names and formats.
    #[default]
    Native,
    /// Names and formats of the users' platform.
    Platform,
}

/// Settings of a gateway process, read at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the box.
    pub box_name: Name,
    /// Data hall of the box.
    pub hall: Name,
    /// Dialect of callers, upstreams and the store.
    #[serde(default)]
    pub dialect: DialectChoice,
    /// Listening address for callers.
    pub caller_addr: SocketAddr,
    /// Listening address for readiness checks of the load balancer.
    pub ready_addr: SocketAddr,
    /// Listening address for metrics.
    pub metrics_addr: SocketAddr,
    /// Listening address for other boxes.
    pub peer_addr: SocketAddr,
    /// Addresses of the seed boxes, through which boxes discover each other. This box may be one of
    /// them.
    #[serde(default)]
    pub seed_addrs: Vec<SocketAddr>,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Resource limits of the process.
    pub machine: Machine,
    /// Bounds that the operators guarantee to their users.
    pub bounds: Bounds,
    /// Contracts that the platform has with its users.
    #[serde(default)]
    pub contracts: Vec<Name>,
    /// Choices of the operators.
    #[serde(default)]
    pub policy: Policy,
    /// Duties that one box performs for the whole fleet, if the platform requires them.
    #[serde(default)]
    pub duties: Option<Duties>,
    /// Path of the file that the settings were read from, if any.
    #[serde(skip)]
    pub file: Option<PathBuf>,
}

/// Settings of the duties: calls to the platform that one box makes for the whole fleet.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Address at which the platform receives the calls.
    pub addr: SocketAddr,
    /// Time for which a box may perform the duties after proving that it holds them.
    pub lease_ms: u64,
    /// Usage reports, if the platform requires them.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// Whether upstreams are ordered for pools whose configuration states how many they may have.
    #[serde(default)]
    pub order_upstreams: bool,
}

/// Settings of the usage reports.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Length of a reporting window.
    pub window_s: f64,
    /// Time between the end of a window and the due time of its report.
    pub late_s: f64,
}

impl Usage {
    /// Returns the window and report times in milliseconds.
    pub fn schedule(&self) -> UsageSchedule {
        UsageSchedule {
            window_ms: (self.window_s * 1_000.0) as u64,
            late_ms: (self.late_s * 1_000.0) as u64,
        }
    }
}

/// Choices of the operators.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Handling of requests with a key while the configuration is not proven to be the newest.
    pub unproven_keys: UnprovenKeys,
    /// Cost of sending a request to another hall, expressed as engine time.
    pub far_engine_ms: f64,
    /// Confidence, 0 to 100, below which the request is sent to a larger model; 0 disables this.
    pub confidence_floor: u8,
    /// Whether the speed of engines is estimated from their responses.
    pub learn_pace: bool,
    /// Whether requests with a shared prompt part are preferably sent to an engine that has it
    /// cached.
    pub draw_shared: bool,
    /// Whether requests carry a priority for the engine's queue.
    pub rank_prompts: bool,
    /// Whether the load of an engine includes work sent by other boxes.
    pub hear_work: bool,
    /// Whether upstreams with recent failures are skipped.
    pub avoid_failing: bool,
    /// Whether decisions under load are made by urgency, room and shares.
    pub load_control: LoadControl,
    /// Maximum back-off that an upstream can request.
    pub max_backoff_ms: u64,
    /// Time after a restore of the store in which operators and upstreams repeat the lost writes.
    pub store_settle_ms: u64,
}

/// Default of `store_settle_ms`. Upstreams write every one to two seconds, and operators repeat
/// their writes as soon as they see the restore.
const DEFAULT_STORE_SETTLE_MS: u64 = 2_000;

/// Default of `max_backoff_ms`. Overload passes within minutes, whereas a back-off of days or years
/// requested by a faulty upstream would take it out of service until its next start.
const DEFAULT_MAX_BACKOFF_MS: u64 = 600_000;

/// Default of `far_engine_ms`. If traffic between halls costs a twentieth of all revenue, 400 ms
/// reduces that traffic by a third with hardly more late responses than 0 ms. If it costs a
/// hundredth, 300 to 600 ms lose up to 0.014 of the revenue.
const DEFAULT_FAR_ENGINE_MS: f64 = 400.0;

impl Default for Policy {
    fn default() -> Self {
        Self {
            unproven_keys: UnprovenKeys::default(),
            far_engine_ms: DEFAULT_FAR_ENGINE_MS,
            confidence_floor: CONFIDENCE_FLOOR,
            learn_pace: true,
            draw_shared: true,
            rank_prompts: true,
            hear_work: true,
            avoid_failing: true,
            load_control: LoadControl::default(),
            max_backoff_ms: DEFAULT_MAX_BACKOFF_MS,
            store_settle_ms: DEFAULT_STORE_SETTLE_MS,
        }
    }
}

/// When decisions under load are made by urgency, room and shares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadControl {
    /// If a contract of the platform calls for it.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

/// Handling of a request with a key if the box has had no proof for `revoke_ms` that its
/// configuration is the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnprovenKeys {
    /// Rejects the request. No withdrawn key is accepted, but an outage of the store also blocks
    /// all requests with a key.
    #[default]
    Refuse,
    /// Serves the request under the newest known configuration. An outage of the store blocks
    /// nothing, but a key withdrawn during it is accepted until the box learns of the withdrawal.
    Serve,
}

/// Resource limits of the process.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Memory limit above which the process is killed.
    pub memory_mb: u64,
    /// Maximum number of file descriptors, including sockets.
    pub max_fds: u64,
    /// Number of processor cores, which may be a fraction.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
}

fn whole_core() -> f64 {
    1.0
}

/// Bounds that the operators guarantee to their users.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time after which a leaving upstream receives no more requests.
    pub leaving_ms: u64,
    /// Time after which a new configuration is in force.
    pub config_ms: u64,
    /// Time after which no box accepts a withdrawn key.
    pub revoke_ms: u64,
    /// Time between the order to stop and the end of the process.
    pub stop_grace_s: f64,
    /// Time after which the upstreams of a drained hall receive no more requests. `None` if
    /// operators drain no halls; boxes do not follow drained halls then.
    #[serde(default)]
    pub hall_drain_ms: Option<u64>,
    /// Maximum ratio of retries to requests, over all boxes.
    pub repeat_ratio: f64,
    /// Retries allowed in addition to that ratio, over all boxes.
    pub repeat_slack: f64,
    /// Length of the window over which retries are counted.
    pub repeat_window_s: f64,
}

/// Fraction of the retry ratio that a box uses, since the counting windows of boxes do not
/// coincide.
const RETRY_RATIO_FRACTION: f64 = 0.85;
/// Minimum number of boxes among which the fleet's retry slack is divided, since a box that has
/// just started does not know all others yet.
const MIN_RETRY_SLACK_BOXES: usize = 20;

/// Fractions of `leaving_ms` and `revoke_ms` within which a box must notice that its proof is not
/// renewed. The remaining time is for reaching the store directly: about 0.3 s if the store is
/// slow, and 0.6 s to read the upstreams too.
const PROOF_RENEWAL_LEAVING_FRACTION: f64 = 0.7;
const PROOF_RENEWAL_REVOKE_FRACTION: f64 = 0.4;
/// Fraction of the proof renewal timeout between two reads of the configuration by the root. When the root loses the
/// store, the boxes that follow it learn so before they call the store themselves.
const ROOT_READ_FRACTION: f64 = 0.43;

/// Fraction of `hall_drain_ms` that a watch of drained halls waits. A response that the store has
/// lost never arrives, so the next watch must report the change within the bound.
const HALL_DRAIN_WATCH_FRACTION: f64 = 0.5;
/// Upper limit of that wait if `hall_drain_ms` is long.
const MAX_HALL_DRAIN_WATCH_MS: u64 = 15_000;

impl Bounds {
    /// Time that a watch of drained halls waits for changes.
    pub fn hall_drain_watch_ms(&self) -> u64 {
        let bound_ms = self.hall_drain_ms.unwrap_or(MAX_HALL_DRAIN_WATCH_MS);
        let wait_ms = (bound_ms as f64 * HALL_DRAIN_WATCH_FRACTION) as u64;
        wait_ms.min(MAX_HALL_DRAIN_WATCH_MS)
    }

    /// Time without a newer proof after which a box calls the store itself, even if it follows
    /// another box.
    pub fn proof_renewal_timeout_ms(&self) -> u64 {
        let by_leaving_ms = self.leaving_ms as f64 * PROOF_RENEWAL_LEAVING_FRACTION;
        let by_revoke_ms = self.revoke_ms as f64 * PROOF_RENEWAL_REVOKE_FRACTION;
        by_leaving_ms.min(by_revoke_ms) as u64
    }

    /// Time between two reads of the configuration by the root.
    pub fn root_read_interval_ms(&self) -> u64 {
        (self.proof_renewal_timeout_ms() as f64 * ROOT_READ_FRACTION) as u64
    }

    /// Returns this box's share of the retry limits of a fleet with this many boxes.
    pub fn retry_limits(&self, boxes: usize) -> RetryLimits {
        RetryLimits {
            ratio: self.repeat_ratio * RETRY_RATIO_FRACTION,
            slack: self.repeat_slack / boxes.max(MIN_RETRY_SLACK_BOXES) as f64,
            fleet_slack: self.repeat_slack,
            window_ms: (self.repeat_window_s * 1_000.0) as u64,
        }
    }

    /// Time between the order to stop and the end of the process.
    pub fn stop_grace_ms(&self) -> u64 {
        (self.stop_grace_s * 1_000.0) as u64
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, is not valid JSON, has an unknown, missing or wrongly typed
    /// field, or has a value out of range.
    pub fn from_file(file: &Path) -> Result<Self, SettingsError> {
        let mut settings: Self = settings_file::read(file)?;
        settings.check()?;
        settings.file = Some(file.to_owned());
        Ok(settings)
    }

    /// Parses and checks settings; errors contain `name` as the file name.
    ///
    /// # Errors
    ///
    /// As for [`from_file`](Self::from_file).
    pub fn from_json(text: &str, name: &str) -> Result<Self, SettingsError> {
        let settings: Self = settings_file::parse(text.as_bytes(), name)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let bounds = &self.bounds;
        let usage = self.duties.and_then(|duties| duties.usage);
        let positive = [
            (
                "duties.lease_ms",
                self.duties.map_or(1, |duties| duties.lease_ms) as f64,
            ),
            (
                "duties.usage.window_s",
                usage.map_or(1.0, |usage| usage.window_s),
            ),
            (
                "duties.usage.late_s",
                usage.map_or(1.0, |usage| usage.late_s),
            ),
            ("bounds.leaving_ms", bounds.leaving_ms as f64),
            ("bounds.config_ms", bounds.config_ms as f64),
            (
                "bounds.hall_drain_ms",
                bounds.hall_drain_ms.unwrap_or(1) as f64,
            ),
            ("bounds.revoke_ms", bounds.revoke_ms as f64),
            ("bounds.stop_grace_s", bounds.stop_grace_s),
            ("bounds.repeat_window_s", bounds.repeat_window_s),
            ("machine.memory_mb", self.machine.memory_mb as f64),
            ("machine.cpu_share", self.machine.cpu_share),
            ("machine.max_fds", self.machine.max_fds as f64),
        ];
        let far_engine_ms = self.policy.far_engine_ms;
        ensure!(
            far_engine_ms >= 0.0,
            RangeSnafu {
                field: "policy.far_engine_ms",
                found: far_engine_ms.to_string(),
                expected: "0 or more",
            }
        );
        let floor = self.policy.confidence_floor;
        ensure!(
            floor <= MAX_CONFIDENCE,
            RangeSnafu {
                field: "policy.confidence_floor",
                found: floor.to_string(),
                expected: "0 to 100",
            }
        );
        for (field, value) in positive {
            ensure!(
                value > 0.0,
                RangeSnafu {
                    field,
                    found: value.to_string(),
                    expected: "more than 0",
                }
            );
        }
        Ok(())
    }
}
