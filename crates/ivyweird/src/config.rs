//! The active configuration of this box, and when it was last verified to be the latest.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use ivyweir_policy::hash::hash64;
use ivyweir_policy::{BoxList, Config};

use crate::shards::lock;

/// A configuration together with its JSON encoding.
#[derive(Debug)]
pub struct ConfigSnapshot {
    pub config: Config,
    /// The JSON bytes that `config` was parsed from.
    pub body: Arc<[u8]>,
    /// Hash of `body`.
    pub digest: u64,
}

/// The outcome of [`ConfigState::offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The configuration was newer and is now active.
    Adopted,
    /// The configuration was already active.
    Unchanged,
    /// The generation is lower than the active one.
    Older,
    /// The content differs from the active configuration of the same generation. This must never
    /// happen: a generation has one content.
    Forked,
    /// The bytes do not parse as a configuration.
    Invalid,
}

/// Holder of the active configuration, whose generation never decreases.
pub struct ConfigState {
    current: RwLock<Arc<ConfigSnapshot>>,
    /// Serialises calls to `offer`, so that compare and replace are atomic.
    update_lock: Mutex<()>,
    /// When the active configuration was last verified to be the latest, on this box's clock; 0 if
    /// it never was.
    proof_ms: AtomicU64,
}

impl ConfigState {
    /// Creates the state with an empty configuration of generation 0.
    pub fn new() -> Self {
        Self {
            current: RwLock::new(Arc::new(snapshot(Config::default(), Vec::new()))),
            update_lock: Mutex::new(()),
            proof_ms: AtomicU64::new(0),
        }
    }

    /// Returns the active configuration.
    pub fn get(&self) -> Arc<ConfigSnapshot> {
        self.current
            .read()
            .expect("no thread panicked with the lock")
            .clone()
    }

    /// Returns the active generation; 0 before the first configuration is adopted.
    pub fn generation(&self) -> u64 {
        self.get().config.generation
    }

    /// Activates a configuration if its generation is higher than the active one.
    ///
    /// `proof_ms` is when it was verified to be the latest, on this box's clock, if known.
    pub fn offer(&self, body: &[u8], proof_ms: Option<u64>) -> OfferOutcome {
        let _guard = lock(&self.update_lock);
        let active = self.get();
        if hash64(&[body]) == active.digest && active.config.generation > 0 {
            self.record_proof(active.config.generation, proof_ms);
            return OfferOutcome::Unchanged;
        }
        let Ok(config) = Config::from_slice(body) else {
            return OfferOutcome::Invalid;
        };
        if config.generation < active.config.generation {
            return OfferOutcome::Older;
        }
        if config.generation == active.config.generation {
            return OfferOutcome::Forked;
        }
        self.replace(snapshot(config, body.to_vec()));
        self.proof_ms
            .fetch_max(proof_ms.unwrap_or(0), Ordering::AcqRel);
        OfferOutcome::Adopted
    }

    fn replace(&self, next: ConfigSnapshot) {
        let mut active = self
            .current
            .write()
            .expect("no thread panicked with the lock");
        assert!(
            next.config.generation > active.config.generation,
            "invariant: an accepted configuration never reverts"
        );
        *active = Arc::new(next);
    }

    /// Records that `generation` was the latest at `proof_ms`.
    ///
    /// The proof also covers an active configuration of a higher generation.
    pub fn record_proof(&self, generation: u64, proof_ms: Option<u64>) {
        if let Some(proof_ms) = proof_ms
            && generation <= self.generation()
        {
            self.proof_ms.fetch_max(proof_ms, Ordering::AcqRel);
        }
    }

    /// Returns the age of the newest proof, if there is one.
    pub fn proof_age_ms(&self, now_ms: u64) -> Option<u64> {
        match self.proof_ms.load(Ordering::Acquire) {
            0 => None,
            at_ms => Some(now_ms.saturating_sub(at_ms)),
        }
    }
}

impl Default for ConfigState {
    fn default() -> Self {
        Self::new()
    }
}

fn snapshot(config: Config, body: Vec<u8>) -> ConfigSnapshot {
    ConfigSnapshot {
        config,
        digest: hash64(&[&body]),
        body: body.into(),
    }
}

/// Holder of the newest box list, whose generation never decreases.
#[derive(Default)]
pub struct BoxListState {
    list_and_body: Mutex<(Arc<BoxList>, Arc<[u8]>)>,
}

impl BoxListState {
    /// Returns the newest box list.
    pub fn get(&self) -> Arc<BoxList> {
        lock(&self.list_and_body).0.clone()
    }

    /// Returns the JSON bytes that the list was parsed from.
    pub fn body(&self) -> Arc<[u8]> {
        lock(&self.list_and_body).1.clone()
    }

    /// Stores a box list if its generation is higher. Returns the list if it was stored.
    pub fn offer(&self, body: &[u8]) -> Option<Arc<BoxList>> {
        let list: BoxList = serde_json::from_slice(body).ok()?;
        let mut current = lock(&self.list_and_body);
        if list.generation <= current.0.generation {
            return None;
        }
        let list = Arc::new(list);
        *current = (list.clone(), body.into());
        Some(list)
    }
}
