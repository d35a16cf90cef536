//! The gateway's settings file: strict JSON whose errors name the field.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::cascade::{CONFIDENCE_FLOOR, MAX_CONFIDENCE};
use ivyweir_policy::gateway::duty::report::UsageSchedule;
use ivyweir_policy::gateway::retry_budget::RetryLimits;
use serde::Deserialize;
use snafu::ensure;

use crate::settings_file::{self, RangeSnafu, SettingsError};

/// Whose names callers, upstreams and the store use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DialectChoice {
    /// The gateway's own.
    #[default]
    Native,
    /// Those of the users' platform.
    Platform,
}

/// What a gateway process is told at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The box's name.
    pub box_name: Name,
    /// Its hall.
    pub hall: Name,
    /// Whose names are used.
    #[serde(default)]
    pub dialect: DialectChoice,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where the balancer asks.
    pub ready_addr: SocketAddr,
    /// Where metrics are served.
    pub metrics_addr: SocketAddr,
    /// Where other boxes connect.
    pub peer_addr: SocketAddr,
    /// Where some boxes, the seeds, are found by others; this box may be one of them.
    #[serde(default)]
    pub seed_addrs: Vec<SocketAddr>,
    /// Where the store is.
    pub store_addr: SocketAddr,
    /// What the machine gives.
    pub machine: Machine,
    /// What the operators promise.
    pub bounds: Bounds,
    /// What the operators choose.
    #[serde(default)]
    pub policy: Policy,
    /// Duties that one box does for all, where the platform asks for them.
    #[serde(default)]
    pub duties: Option<Duties>,
    /// The file that this was read from, if there is one.
    #[serde(skip)]
    pub file: Option<PathBuf>,
}

/// Calls to the platform that one box makes for all.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Where the platform takes them.
    pub addr: SocketAddr,
    /// Time for which a box that proved to hold the duties may act on that.
    pub lease_ms: u64,
    /// Reports of usage, where they are asked for.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// Whether upstreams are ordered of pools whose configuration tells how many there may be.
    #[serde(default)]
    pub order_upstreams: bool,
}

/// Reports of usage.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Length of a window.
    pub window_s: f64,
    /// Time between a window's end and when its report is due.
    pub late_s: f64,
}

impl Usage {
    /// When windows are fixed and reported.
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
    /// What becomes of keyed requests while the configuration is unproven.
    pub unproven_keys: UnprovenKeys,
    /// Time of an engine that costs as much as sending a request to another hall.
    pub far_engine_ms: f64,
    /// Confidence, 0 to 100, under which a larger model is asked; 0 to ask none.
    pub confidence_floor: u8,
    /// Whether the pace of engines is learned from their answers.
    pub learn_pace: bool,
    /// Whether requests with a shared prompt part are drawn to an engine that keeps it.
    pub draw_shared: bool,
    /// Whether engines are told which prompts to read first.
    pub rank_prompts: bool,
    /// Whether other boxes' work counts in an engine's load.
    pub hear_work: bool,
    /// Whether upstreams that failed lately are passed over.
    pub avoid_failing: bool,
    /// Longest time for which an upstream that says so is left alone.
    pub max_backoff_ms: u64,
    /// Time after a restore of the store during which operators and upstreams repeat the lost writes.
    pub store_settle_ms: u64,
}

/// Upstreams write every one to two seconds; operators repeat their writes as soon as they see the restore.
const STORE_SETTLE_MS: u64 = 2_000;

/// Longest time for which an upstream is left alone on its own word. Overload passes within minutes; a time that a
/// faulty upstream says, of days or years, would take it out of service until it starts again.
const MAX_BACKOFF_MS: u64 = 600_000;

/// Sending to another hall, as time of an engine. Where bytes between halls cost a twentieth of all that
/// is earned, 400 ms takes a third off them at hardly more late answers than 0 ms; where they cost a
/// hundredth, 300 to 600 ms lose up to 0.014 of what is earned.
const FAR_ENGINE_MS: f64 = 400.0;

impl Default for Policy {
    fn default() -> Self {
        Self {
            unproven_keys: UnprovenKeys::default(),
            far_engine_ms: FAR_ENGINE_MS,
            confidence_floor: CONFIDENCE_FLOOR,
            learn_pace: true,
            draw_shared: true,
            rank_prompts: true,
            hear_work: true,
            avoid_failing: true,
            max_backoff_ms: MAX_BACKOFF_MS,
            store_settle_ms: STORE_SETTLE_MS,
        }
    }
}

/// What a box does with a keyed request once it has not heard for `revoke_ms` that its configuration
/// is the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnprovenKeys {
    /// Refuses it: no withdrawn key is honoured, and an outage of the store stops keyed work.
    #[default]
    Refuse,
    /// Serves it by the newest configuration known: an outage stops nothing, and a key that was
    /// withdrawn meanwhile works until the box hears of it.
    Serve,
}

/// What the machine gives a process.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Memory over which the process is killed.
    pub memory_mb: u64,
    /// File descriptors, sockets among them.
    pub max_fds: u64,
    /// Share of a processor core.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
}

fn whole_core() -> f64 {
    1.0
}

/// Bounds that the operators promise their users.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time after which an upstream that leaves gets no more work.
    pub leaving_ms: u64,
    /// Time after which a configuration is in force.
    pub config_ms: u64,
    /// Time after which a withdrawn key is not honoured by any box.
    pub revoke_ms: u64,
    /// Time between the order to stop and the end of the process.
    pub stop_grace_s: f64,
    /// Time after which the upstreams of a hall that is drained get no more work; none where operators drain
    /// no halls, and boxes do not ask for that.
    #[serde(default)]
    pub hall_drain_ms: Option<u64>,
    /// Repeats allowed for each request, over all boxes.
    pub repeat_ratio: f64,
    /// Repeats allowed beyond that, over all boxes.
    pub repeat_slack: f64,
    /// Span over which repeats are counted.
    pub repeat_window_s: f64,
}

/// Part of the ratio that a box uses, since boxes count windows that do not coincide.
const REPEAT_RATIO_USED: f64 = 0.85;
/// Number of boxes among which the fleet's slack is shared out at least: boxes that just started do not
/// know all others yet.
const REPEAT_SLACK_BOXES: usize = 20;

/// Part of the time for a leaving upstream's last work, and of that for a withdrawn key's, in which a box
/// must notice that nobody renews its proof. It then has the rest to reach the store itself: some 0.3 s
/// where a slow store answers, and 0.6 s to hear of upstreams too.
const UNRENEWED_LEAVING: f64 = 0.7;
const UNRENEWED_REVOKE: f64 = 0.4;
/// Part of that time for which a watch of the root waits. When the root loses the store, the boxes that
/// follow it hear so before they try the store themselves.
const ROOT_WATCH: f64 = 0.43;

/// Part of the time for a drained hall's last work for which a watch of drained halls waits. A store that
/// lost an answer never gives it, so the next watch must hear what that one would have told.
const HALL_DRAIN_WATCH: f64 = 0.5;
/// The longest such wait, where operators leave much time.
const HALL_DRAIN_WATCH_MAX_MS: u64 = 15_000;

impl Bounds {
    /// How long a watch of drained halls waits.
    pub fn hall_drain_watch_ms(&self) -> u64 {
        let bound_ms = self.hall_drain_ms.unwrap_or(HALL_DRAIN_WATCH_MAX_MS);
        let wait_ms = (bound_ms as f64 * HALL_DRAIN_WATCH) as u64;
        wait_ms.min(HALL_DRAIN_WATCH_MAX_MS)
    }

    /// Time without a newer proof after which a box tries the store itself, whoever it follows.
    pub fn proof_renewal_timeout_ms(&self) -> u64 {
        let by_leaving_ms = self.leaving_ms as f64 * UNRENEWED_LEAVING;
        let by_revoke_ms = self.revoke_ms as f64 * UNRENEWED_REVOKE;
        by_leaving_ms.min(by_revoke_ms) as u64
    }

    /// How long the root's watch of the configuration waits.
    pub fn root_watch_ms(&self) -> u64 {
        (self.proof_renewal_timeout_ms() as f64 * ROOT_WATCH) as u64
    }

    /// This box's own part of the bounds on repeats of a fleet of so many boxes.
    pub fn retry_limits(&self, boxes: usize) -> RetryLimits {
        RetryLimits {
            ratio: self.repeat_ratio * REPEAT_RATIO_USED,
            slack: self.repeat_slack / boxes.max(REPEAT_SLACK_BOXES) as f64,
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
    /// When it cannot be read, has an unknown or missing field, or a value out of range.
    pub fn from_file(file: &Path) -> Result<Self, SettingsError> {
        let mut settings: Self = settings_file::read(file)?;
        settings.check()?;
        settings.file = Some(file.to_owned());
        Ok(settings)
    }

    /// Checks settings; `name` stands in errors.
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
