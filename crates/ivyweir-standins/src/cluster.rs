//! A whole world on loopback: stand-ins in this process and boxes as processes of their own.

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

/// The first operator's key in every world.
pub const OPERATOR_KEY: &str = "operator-key-of-the-stand-in-world";
/// The key that boxes share in every world.
const FLEET_KEY_HEX: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
/// Pool of the engines.
pub const ENGINES: &str = "engines";
/// Pool of the plain services.
pub const SERVICES: &str = "activation";

/// What a world is made of.
pub struct ClusterSpec {
    /// The `ivyweird` binary.
    pub binary: PathBuf,
    /// Halls of the boxes, one box each.
    pub box_halls: Vec<&'static str>,
    /// The engines, in halls in turn.
    pub engines: Vec<EngineOptions>,
    /// Number of plain services.
    pub services: usize,
    /// Limits of the platform.
    pub platform: PlatformOptions,
    /// The boxes' `policy` settings.
    pub policy: Option<serde_json::Value>,
    /// The boxes' `limits` settings.
    pub limits: Option<serde_json::Value>,
    /// Whether boxes reach the platform through gateways of their own.
    pub platform_proxies: bool,
    /// Whether peers reach boxes through gateways.
    pub peer_proxies: bool,
}

/// A running world.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// The rating service.
    pub rating: Rating,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The plain services.
    pub services: Vec<Service>,
    /// The boxes; a place is empty while its box is down.
    pub boxes: Vec<Option<BoxProcess>>,
    /// What the boxes are started with.
    pub specs: Vec<BoxSpec>,
    /// Between each box and the platform.
    pub platform_proxies: Vec<FaultProxy>,
    /// Before the peer address of each box.
    pub peer_proxies: Vec<FaultProxy>,
    folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.boxes.clear();
        if !std::thread::panicking() {
            let _left_behind = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Milliseconds since the epoch.
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

impl ClusterSpec {
    /// A world of boxes in these halls before `engines` engines of one kind and one service.
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

    /// Starts the world and waits until every box is ready.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound or a process not be started.
    pub fn start(self) -> io::Result<Cluster> {
        let platform = Platform::start(self.platform)?;
        let rating = Rating::start()?;
        let halls: Vec<&str> = self.box_halls.clone();
        let engines = list_engines(&platform, &halls, &self.engines)?;
        let services = list_services(&platform, &halls, self.services)?;
        let unique = format!("ivyweir-{}", platform.addr().replace([':', '.'], "-"));
        let mut world = Cluster {
            platform,
            rating,
            engines,
            services,
            boxes: Vec::new(),
            specs: Vec::new(),
            platform_proxies: Vec::new(),
            peer_proxies: Vec::new(),
            folder: std::env::temp_dir().join(unique),
        };
        for (at, hall) in self.box_halls.iter().enumerate() {
            world.add_box(&self, at, hall)?;
        }
        for at in 0..world.specs.len() {
            world.start_box(at)?;
        }
        world.wait_ready();
        Ok(world)
    }
}

fn list_engines(
    platform: &Platform,
    halls: &[&str],
    options: &[EngineOptions],
) -> io::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for (at, options) in options.iter().enumerate() {
        let engine = Engine::start(options.clone())?;
        platform.register_box(upstream(
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

fn list_services(platform: &Platform, halls: &[&str], count: usize) -> io::Result<Vec<Service>> {
    let mut services = Vec::new();
    for at in 0..count {
        let service = Service::start()?;
        platform.register_box(upstream(
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

fn upstream(name: &str, addr: &str, halls: &[&str], at: usize, pool: &str) -> BoxEntry {
    BoxEntry {
        name: name.into(),
        kind: BoxKind::Upstream,
        addr: addr.into(),
        hall: halls[at % halls.len()].into(),
        pool: pool.into(),
        state: BoxState::Live,
    }
}

impl Cluster {
    fn add_box(&mut self, spec: &ClusterSpec, at: usize, hall: &str) -> io::Result<()> {
        let name = format!("box-{}", at + 1);
        let any_port = || "127.0.0.1:0".to_owned();
        let mut platform_url = self.platform.base_url();
        if spec.platform_proxies {
            let gateway = FaultProxy::start(&self.platform.addr())?;
            platform_url = format!("http://{}", gateway.addr());
            self.platform_proxies.push(gateway);
        }
        let settings = Settings {
            box_name: name.clone(),
            hall: hall.to_owned(),
            caller_addr: any_port(),
            operator_addr: any_port(),
            peer_addr: any_port(),
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
            // Its target is set when the box says where it listens.
            let gateway = FaultProxy::start("127.0.0.1:1")?;
            settings.advertised_peer_addr = Some(gateway.addr());
            self.peer_proxies.push(gateway);
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

    /// Puts a box that is up on the platform's list, at the address where peers reach it.
    fn list_entry(&self, at: usize) {
        let settings = &self.running_box(at).settings;
        let mut addr = settings.peer_addr.clone();
        if let Some(gateway) = self.peer_proxies.get(at) {
            gateway.set_target(&addr);
            addr = gateway.addr();
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

    /// Starts a box that is down.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub fn start_box(&mut self, at: usize) -> io::Result<()> {
        self.boxes[at] = Some(self.specs[at].start()?);
        self.list_entry(at);
        Ok(())
    }

    /// Kills a box at once.
    pub fn kill_box(&mut self, at: usize) {
        if let Some(mut process) = self.boxes[at].take() {
            process.kill();
        }
    }

    /// A box that is up.
    pub fn running_box(&self, at: usize) -> &BoxProcess {
        self.boxes[at].as_ref().expect("the box is up")
    }

    /// Waits until every box that is up is ready and hears all others.
    pub fn wait_ready(&self) {
        let up: Vec<&BoxProcess> = self.boxes.iter().flatten().collect();
        for process in &up {
            wait_until(&format!("{} is ready", process.settings.box_name), || {
                process.is_ready()
            });
        }
        for process in &up {
            let client = Client::new(process.operator_url(), OPERATOR_KEY);
            let hears_all = || {
                client.status().is_ok_and(|s| {
                    let alive = s.boxes.iter().filter(|b| b.health == "alive").count();
                    alive >= up.len() && s.upstreams.len() >= self.engines.len()
                })
            };
            wait_until(
                &format!("{} hears all", process.settings.box_name),
                hears_all,
            );
        }
    }

    /// The first operator, at a box.
    pub fn operator(&self, at: usize) -> Client {
        Client::new(self.running_box(at).operator_url(), OPERATOR_KEY)
    }

    /// A caller of a workspace, at a box.
    pub fn caller(&self, at: usize, workspace: &str) -> Caller {
        Caller::new(
            &self.running_box(at).caller_url(),
            &workspace_key(workspace),
        )
    }

    /// Plans and confirms an intent at a box, until it is accepted.
    pub fn apply_intent(&self, at: usize, intent: &Intent) -> u64 {
        let operator = self.operator(at);
        let mut plan = operator.plan(intent).expect("the intent fits");
        for _ in 0..CONFIRM_TRIES {
            match operator.confirm(&plan) {
                Ok(ConfirmReply::Applied { generation, .. })
                | Ok(ConfirmReply::AlreadyApplied { generation }) => return generation,
                Ok(ConfirmReply::Moved { fresh }) => plan = *fresh,
                Ok(ConfirmReply::Unknown { .. }) | Err(_) => {
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
        }
        panic!("the plan was not accepted: {plan:?}");
    }

    /// Waits until a generation is in force on every box that is up.
    pub fn wait_for_generation(&self, generation: u64) {
        for process in self.boxes.iter().flatten() {
            let client = Client::new(process.operator_url(), OPERATOR_KEY);
            let in_force = || client.status().is_ok_and(|s| s.generation >= generation);
            wait_until(
                &format!("generation {generation} at {}", process.settings.box_name),
                in_force,
            );
        }
    }

    /// Adds pools, versions and workspaces, and waits until they are in force.
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
            let at: VersionRef = at.parse().expect("versions are written model@version");
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
            .map(|(at, ..)| at.parse().expect("as above"))
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

    /// The settings files and logs.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }
}

const CONFIRM_TRIES: usize = 50;

/// The caller key of a workspace in every world.
pub fn workspace_key(workspace: &str) -> String {
    format!("caller-key-of-{workspace}")
}

/// The hash of a key, as the configuration keeps it.
pub fn hash_hex(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Engine options for tests: quick, with these versions.
pub fn quick_engine(versions: &[(&str, f64)]) -> EngineOptions {
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
