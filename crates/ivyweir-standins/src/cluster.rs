//! A complete test cluster on loopback: the fakes run in this process, each box runs in its own process.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ivyweir_operator::{Client, ConfirmReply};
use ivyweir_policy::{
    BoxEntry, BoxKind, BoxState, Intent, Name, Pool, PoolKind, VersionRef, Workspace,
};

use crate::{
    BoxProcess, BoxSpec, Caller, Engine, EngineOptions, FaultProxy, Platform, PlatformOptions,
    Rating, Service, Settings, wait_until,
};

/// Key of the first operator in every cluster.
pub const OPERATOR_KEY: &str = "operator-key-of-the-stand-in-world";
/// Key that the boxes of every cluster share.
const FLEET_KEY_HEX: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
/// Name of the pool of the engines.
pub const ENGINES: &str = "engines";
/// Name of the pool of the echo services.
pub const SERVICES: &str = "activation";

/// Configuration of a [`Cluster`].
pub struct ClusterSpec {
    /// The `ivyweird` binary.
    pub binary: PathBuf,
    /// Hall of each box.
    pub box_halls: Vec<&'static str>,
    /// Configuration of each engine; the engines are assigned to the halls round-robin.
    pub engines: Vec<EngineOptions>,
    /// Number of echo services.
    pub services: usize,
    /// Rate limits of the platform.
    pub platform: PlatformOptions,
    /// The `policy` settings of the boxes.
    pub policy: Option<serde_json::Value>,
    /// The `limits` settings of the boxes.
    pub limits: Option<serde_json::Value>,
    /// Whether each box reaches the platform through its own fault proxy.
    pub platform_proxies: bool,
    /// Whether peers reach each box through a fault proxy.
    pub peer_proxies: bool,
}

/// A running cluster.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// The rating service.
    pub rating: Rating,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The echo services.
    pub services: Vec<Service>,
    /// The box processes; `None` while a box is down.
    pub boxes: Vec<Option<BoxProcess>>,
    /// Configuration of each box process.
    pub specs: Vec<BoxSpec>,
    /// Proxies between each box and the platform.
    pub platform_proxies: Vec<FaultProxy>,
    /// Proxies in front of the peer address of each box.
    pub peer_proxies: Vec<FaultProxy>,
    folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.boxes.clear();
        if !std::thread::panicking() {
            let _remove_result = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn epoch_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis() as u64
}

impl ClusterSpec {
    /// Creates a configuration with one box per hall, the given engines and one echo service.
    pub fn new(
        binary: impl Into<PathBuf>,
        box_halls: &[&'static str],
        engines: Vec<EngineOptions>,
    ) -> Self {
        Self {
            binary: binary.into(),
            box_halls: box_halls.to_vec(),
            engines,
            services: 1,
            platform: PlatformOptions::default(),
            policy: None,
            limits: None,
            platform_proxies: false,
            peer_proxies: false,
        }
    }

    /// Starts the cluster and waits until every box is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound or a process cannot be started.
    pub fn start(self) -> io::Result<Cluster> {
        let platform = Platform::start(self.platform)?;
        let rating = Rating::start()?;
        let halls: Vec<&str> = self.box_halls.clone();
        let engines = start_engines(&platform, &halls, &self.engines)?;
        let services = start_services(&platform, &halls, self.services)?;
        let folder_name = format!("ivyweir-{}", platform.addr().replace([':', '.'], "-"));
        let mut cluster = Cluster {
            platform,
            rating,
            engines,
            services,
            boxes: Vec::new(),
            specs: Vec::new(),
            platform_proxies: Vec::new(),
            peer_proxies: Vec::new(),
            folder: std::env::temp_dir().join(folder_name),
        };
        for (index, hall) in self.box_halls.iter().enumerate() {
            cluster.prepare_box(&self, index, hall)?;
        }
        for index in 0..cluster.specs.len() {
            cluster.start_box(index)?;
        }
        cluster.wait_ready();
        Ok(cluster)
    }
}

fn start_engines(
    platform: &Platform,
    halls: &[&str],
    options: &[EngineOptions],
) -> io::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for (at, options) in options.iter().enumerate() {
        let engine = Engine::start(options.clone())?;
        platform.register_box(upstream_entry(
            &format!("engine-{at:02}"),
            &engine.addr(),
            halls,
            at,
            ENGINES,
        ));
        engines.push(engine);
    }
    Ok(engines)
}

fn start_services(platform: &Platform, halls: &[&str], count: usize) -> io::Result<Vec<Service>> {
    let mut services = Vec::new();
    for at in 0..count {
        let service = Service::start()?;
        platform.register_box(upstream_entry(
            &format!("service-{at}"),
            &service.addr(),
            halls,
            at,
            SERVICES,
        ));
        services.push(service);
    }
    Ok(services)
}

fn upstream_entry(name: &str, addr: &str, halls: &[&str], index: usize, pool: &str) -> BoxEntry {
    BoxEntry {
        name: name.into(),
        kind: BoxKind::Upstream,
        addr: addr.into(),
        hall: halls[index % halls.len()].into(),
        pool: pool.into(),
        state: BoxState::Live,
    }
}

impl Cluster {
    fn prepare_box(&mut self, spec: &ClusterSpec, index: usize, hall: &str) -> io::Result<()> {
        let name = format!("box-{}", index + 1);
        let free_port_addr = || "127.0.0.1:0".to_owned();
        let mut platform_url = self.platform.base_url();
        if spec.platform_proxies {
            let proxy = FaultProxy::start(&self.platform.addr())?;
            platform_url = format!("http://{}", proxy.addr());
            self.platform_proxies.push(proxy);
        }
        let settings = Settings {
            box_name: name.clone(),
            hall: hall.to_owned(),
            caller_addr: free_port_addr(),
            operator_addr: free_port_addr(),
            peer_addr: free_port_addr(),
            platform_url,
            rating_url: Some(self.rating.base_url()),
            fleet_key_hex: FLEET_KEY_HEX.to_owned(),
            bootstrap_operator_key_hash: Some(hash_hex(OPERATOR_KEY)),
            policy: spec.policy.clone(),
            limits: spec.limits.clone(),
            advertised_peer_addr: None,
            seed_peers: Vec::new(),
        };
        let mut settings = settings;
        if spec.peer_proxies {
            // Port 1 is a placeholder; the target is set once the box has logged its listen addresses.
            let proxy = FaultProxy::start("127.0.0.1:1")?;
            settings.advertised_peer_addr = Some(proxy.addr());
            self.peer_proxies.push(proxy);
        }
        self.specs.push(BoxSpec {
            binary: spec.binary.clone(),
            folder: self.folder.clone(),
            settings,
            env: Vec::new(),
        });
        self.boxes.push(None);
        Ok(())
    }

    /// Adds a running box to the platform's box list under the address that peers connect to.
    fn register_running_box(&self, index: usize) {
        let settings = &self.running_box(index).settings;
        let mut addr = settings.peer_addr.clone();
        if let Some(proxy) = self.peer_proxies.get(index) {
            proxy.set_target(&addr);
            addr = proxy.addr();
        }
        self.platform.register_box(BoxEntry {
            name: settings.box_name.as_str().into(),
            kind: BoxKind::Entry,
            addr: addr.as_str().into(),
            hall: settings.hall.as_str().into(),
            pool: "".into(),
            state: BoxState::Live,
        });
    }

    /// Starts a box and adds it to the platform's box list.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_box(&mut self, index: usize) -> io::Result<()> {
        self.boxes[index] = Some(self.specs[index].start()?);
        self.register_running_box(index);
        Ok(())
    }

    /// Kills a box with `SIGKILL`.
    pub fn kill_box(&mut self, index: usize) {
        if let Some(mut process) = self.boxes[index].take() {
            process.kill();
        }
    }

    /// Returns the process of a running box.
    ///
    /// # Panics
    ///
    /// Panics if the box is down.
    pub fn running_box(&self, index: usize) -> &BoxProcess {
        self.boxes[index].as_ref().expect("box is not running")
    }

    /// Waits until every running box is ready, sees all other running boxes as alive and knows as many
    /// upstreams as there are engines.
    pub fn wait_ready(&self) {
        let up: Vec<&BoxProcess> = self.boxes.iter().flatten().collect();
        for process in &up {
            wait_until(
                &format!("{} to be ready", process.settings.box_name),
                || process.is_ready(),
            );
        }
        for process in &up {
            let client = Client::new(process.operator_url(), OPERATOR_KEY);
            let sees_all = || {
                client.status().is_ok_and(|s| {
                    let alive = s.boxes.iter().filter(|b| b.health == "alive").count();
                    alive >= up.len() && s.upstreams.len() >= self.engines.len()
                })
            };
            wait_until(
                &format!("{} to see all boxes and engines", process.settings.box_name),
                sees_all,
            );
        }
    }

    /// Returns a client of the first operator at a box.
    pub fn operator(&self, index: usize) -> Client {
        Client::new(self.running_box(index).operator_url(), OPERATOR_KEY)
    }

    /// Returns a client of a workspace at a box.
    pub fn caller(&self, index: usize, workspace: &str) -> Caller {
        Caller::new(
            &self.running_box(index).caller_url(),
            &workspace_key(workspace),
        )
    }

    /// Plans and confirms an intent at a box and returns the resulting generation.
    ///
    /// # Panics
    ///
    /// Panics if the intent cannot be planned or the plan is not applied within 50 attempts.
    pub fn apply_intent(&self, index: usize, intent: &Intent) -> u64 {
        let operator = self.operator(index);
        let mut plan = operator.plan(intent).expect("failed to plan the intent");
        for _ in 0..MAX_CONFIRM_ATTEMPTS {
            match operator.confirm(&plan) {
                Ok(ConfirmReply::Applied { generation, .. })
                | Ok(ConfirmReply::AlreadyApplied { generation }) => return generation,
                Ok(ConfirmReply::PlanOutdated { new_plan: fresh }) => plan = *fresh,
                Ok(ConfirmReply::Unknown { .. }) | Err(_) => {
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
        }
        panic!("plan not applied after {MAX_CONFIRM_ATTEMPTS} attempts: {plan:?}");
    }

    /// Waits until every running box has applied a configuration generation.
    pub fn wait_for_generation(&self, generation: u64) {
        for process in self.boxes.iter().flatten() {
            let client = Client::new(process.operator_url(), OPERATOR_KEY);
            let is_applied = || client.status().is_ok_and(|s| s.generation >= generation);
            wait_until(
                &format!(
                    "generation {generation} to be applied at {}",
                    process.settings.box_name
                ),
                is_applied,
            );
        }
    }

    /// Adds pools, versions and workspaces, and waits until every running box has applied them.
    pub fn configure(&self, versions: &[(&str, u64, f64)], workspaces: &[(&str, f64, u32)]) {
        let pool = |kind| Pool {
            kind,
            checks_fence: kind == PoolKind::Engine,
        };
        self.apply_intent(
            0,
            &Intent::PutPool {
                name: ENGINES.into(),
                pool: pool(PoolKind::Engine),
            },
        );
        self.apply_intent(
            0,
            &Intent::PutPool {
                name: SERVICES.into(),
                pool: pool(PoolKind::Service),
            },
        );
        for (at, cost_micro_per_ktoken, prior_quality) in versions {
            let at: VersionRef = at.parse().expect("version has the form model@version");
            self.apply_intent(
                0,
                &Intent::AddVersion {
                    at,
                    cost_micro_per_ktoken: *cost_micro_per_ktoken,
                    prior_quality: *prior_quality,
                },
            );
        }
        let allowed: Vec<VersionRef> = versions
            .iter()
            .map(|(at, ..)| at.parse().expect("version has the form model@version"))
            .collect();
        let mut generation = 0;
        for (name, quality_target, weight) in workspaces {
            let workspace = Workspace {
                key_hash: hash_hex(&workspace_key(name)).as_str().into(),
                quality_target: *quality_target,
                weight: *weight,
                allowed: allowed.clone(),
                services: vec![SERVICES.into()],
            };
            let name: Name = (*name).into();
            generation = self.apply_intent(0, &Intent::PutWorkspace { name, workspace });
        }
        self.wait_for_generation(generation);
    }

    /// Returns the folder of the settings files and logs.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }
}

const MAX_CONFIRM_ATTEMPTS: usize = 50;

/// Returns the caller key of a workspace.
pub fn workspace_key(workspace: &str) -> String {
    format!("caller-key-of-{workspace}")
}

/// Returns the hash of a key in the form that the configuration stores.
pub fn hash_hex(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Returns options of a fast engine with the given versions, each with its skill.
pub fn fast_engine_options(versions: &[(&str, f64)]) -> EngineOptions {
    let versions: BTreeMap<String, crate::Behaviour> = versions
        .iter()
        .map(|(at, skill)| ((*at).to_owned(), crate::Behaviour::good(*skill)))
        .collect();
    EngineOptions {
        speed: crate::Speed {
            slots: 16,
            step_us: 1_000,
            per_sequence_us: 20,
            prefill_us_per_token: 2,
            cache_blocks: 4_096,
        },
        versions,
        load_lag_ms: 100,
        checks_fence: true,
    }
}
