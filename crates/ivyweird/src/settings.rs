//! The settings file: strict JSON, with errors that name the invalid field.

use std::net::SocketAddr;
use std::path::Path;

use ivyweir_gateway::settings_file::{self, RangeSnafu, SettingsError};
use ivyweir_policy::Name;
use ivyweir_policy::balance::Policy;
use serde::Deserialize;
use snafu::ensure;

/// Settings of a box, read at start-up.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The box's name, unique in the fleet.
    pub box_name: Name,
    /// The data hall that the box is in.
    pub hall: Name,
    /// IP address and port for callers.
    pub caller_addr: String,
    /// IP address and port for operators.
    pub operator_addr: String,
    /// IP address and port for peers.
    pub peer_addr: String,
    /// IP address and port at which peers reach this box, if not `peer_addr`.
    #[serde(default)]
    pub advertised_peer_addr: Option<String>,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Base URL of the rating service; without it no answer is rated.
    #[serde(default)]
    pub rating_url: Option<String>,
    /// The key that all boxes share, in hexadecimal, 32 bytes or more.
    pub fleet_key_hex: String,
    /// Hash of the first operator's key, in hexadecimal; used only if the store has no configuration.
    #[serde(default)]
    pub bootstrap_operator_key_hash: Option<Name>,
    /// Addresses of peers to contact when no other member is known, for instance because the box list
    /// of the platform is unavailable.
    #[serde(default)]
    pub seed_peers: Vec<String>,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
    /// Policies that experiments vary.
    #[serde(default)]
    pub policy: PolicySettings,
}

/// Limits of one box.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest number of concurrent requests, including queued ones.
    pub max_requests: usize,
    /// Largest number of requests that wait for an upstream, per version.
    pub max_queued: usize,
    /// Longest expected wait for which a request is queued rather than refused.
    pub max_wait_ms: u64,
    /// Largest size in bytes of the billing records that are not in the store yet.
    pub max_billing_bytes: usize,
    /// Ratings requested per second, by all boxes together.
    pub ratings_per_s: u32,
    /// Lifetime of a session.
    pub session_ms: u64,
    /// Time between two writes of billing records, multiplied by the number of boxes.
    pub flush_ms_per_box: u64,
    /// Time between two rotations of the session key.
    pub session_key_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_requests: 512,
            max_queued: 256,
            max_wait_ms: 10_000,
            max_billing_bytes: 8 << 20,
            ratings_per_s: 20,
            session_ms: 3_600_000,
            flush_ms_per_box: 50,
            session_key_ms: 24 * 3_600_000,
        }
    }
}

/// Policies that experiments vary. The defaults are those for production.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// How an upstream is chosen.
    pub balance: BalanceSetting,
    /// How a model is chosen for the alias `auto`.
    pub model: ModelSetting,
    /// Whether a request may be sent to a second model after the answer of a first one.
    pub cascade: bool,
    /// Whether bad versions are detected.
    pub guard: bool,
    /// Whether an interrupted stream is resumed at another engine.
    pub resume: bool,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            balance: BalanceSetting::Affinity,
            model: ModelSetting::Target,
            cascade: true,
            guard: true,
            resume: true,
        }
    }
}

/// How an upstream is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BalanceSetting {
    /// Prefix affinity with bounded load.
    Affinity,
    /// The less loaded of two random upstreams.
    TwoChoices,
    /// Round robin.
    RoundRobin,
    /// A random upstream.
    Random,
    /// The upstream with the fewest calls in flight from this box.
    LeastInFlight,
}

impl From<BalanceSetting> for Policy {
    fn from(setting: BalanceSetting) -> Self {
        match setting {
            BalanceSetting::Affinity => Self::Affinity,
            BalanceSetting::TwoChoices => Self::TwoChoices,
            BalanceSetting::RoundRobin => Self::RoundRobin,
            BalanceSetting::Random => Self::Random,
            BalanceSetting::LeastInFlight => Self::LeastInFlight,
        }
    }
}

/// How a model is chosen for the alias `auto`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelSetting {
    /// The cheapest model that meets the quality target of the workspace.
    Target,
    /// Always the most expensive model.
    Strong,
    /// Always the cheapest model.
    Cheap,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or a setting is invalid. The [`SettingsError`] names the field.
    pub fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = settings_file::read(path)?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        check_name("box_name", &self.box_name)?;
        check_name("hall", &self.hall)?;
        check_addr("caller_addr", &self.caller_addr)?;
        check_addr("operator_addr", &self.operator_addr)?;
        check_addr("peer_addr", &self.peer_addr)?;
        if let Some(addr) = &self.advertised_peer_addr {
            check_addr("advertised_peer_addr", addr)?;
        }
        for peer in &self.seed_peers {
            check_addr("seed_peers", peer)?;
        }
        check_url("platform_url", &self.platform_url)?;
        if let Some(url) = &self.rating_url {
            check_url("rating_url", url)?;
        }
        let is_hex = self.fleet_key_hex.bytes().all(|b| b.is_ascii_hexdigit());
        ensure!(
            is_hex && self.fleet_key_hex.len() >= 64,
            RangeSnafu {
                field: "fleet_key_hex",
                found: "\"(hidden)\"",
                expected: "64 hex digits or more",
            }
        );
        self.limits.validate()
    }

    /// Address at which peers reach this box.
    pub fn reachable_peer_addr(&self) -> &str {
        self.advertised_peer_addr
            .as_deref()
            .unwrap_or(&self.peer_addr)
    }

    /// The key that all boxes share.
    pub fn fleet_key(&self) -> &[u8] {
        self.fleet_key_hex.as_bytes()
    }
}

impl Limits {
    fn validate(&self) -> Result<(), SettingsError> {
        let at_least = |field, value: u64, min: u64, expected| {
            ensure!(
                value >= min,
                RangeSnafu {
                    field,
                    found: format!("{:?}", value.to_string()),
                    expected,
                }
            );
            Ok(())
        };
        at_least(
            "limits.max_requests",
            self.max_requests as u64,
            8,
            "8 or more",
        )?;
        at_least("limits.max_queued", self.max_queued as u64, 1, "1 or more")?;
        at_least(
            "limits.max_billing_bytes",
            self.max_billing_bytes as u64,
            65_536,
            "65536 or more",
        )?;
        at_least("limits.session_ms", self.session_ms, 1_000, "1000 or more")?;
        at_least(
            "limits.flush_ms_per_box",
            self.flush_ms_per_box,
            1,
            "1 or more",
        )?;
        at_least(
            "limits.session_key_ms",
            self.session_key_ms,
            1_000,
            "1000 or more",
        )
    }
}

fn check_name(field: &'static str, name: &str) -> Result<(), SettingsError> {
    let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.';
    ensure!(
        (1..=63).contains(&name.len()) && name.bytes().all(is_name_byte),
        RangeSnafu {
            field,
            found: format!("{name:?}"),
            expected: "1 to 63 letters, digits, dots, dashes or underscores",
        }
    );
    Ok(())
}

fn check_addr(field: &'static str, addr: &str) -> Result<(), SettingsError> {
    ensure!(
        addr.parse::<SocketAddr>().is_ok(),
        RangeSnafu {
            field,
            found: format!("{addr:?}"),
            expected: "an IP address and port",
        }
    );
    Ok(())
}

fn check_url(field: &'static str, url: &str) -> Result<(), SettingsError> {
    ensure!(
        url.starts_with("http://") && !url.ends_with('/'),
        RangeSnafu {
            field,
            found: format!("{url:?}"),
            expected: "http://ADDRESS:PORT without a slash at the end",
        }
    );
    Ok(())
}
