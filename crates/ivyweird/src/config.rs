//! The configuration in force on this box, and the proof that it is the latest.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use ivyweir_policy::hash::hash64;
use ivyweir_policy::{BoxList, Config};

use crate::shards::lock;

/// A configuration with its JSON bytes.
#[derive(Debug)]
pub struct Current {
    /// The configuration.
    pub config: Config,
    /// The bytes it was read from.
    pub body: Arc<[u8]>,
    /// Hash of the bytes.
    pub digest: u64,
}

/// What became of an offered configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// It is in force now.
    Adopted,
    /// It was in force already.
    Same,
    /// It is of a lower generation.
    Older,
    /// It differs from the one in force at the same generation; this must never happen.
    Forked,
    /// It is not a configuration.
    Unreadable,
}

/// The configuration in force. Its generation never falls.
pub struct ConfigState {
    current: RwLock<Arc<Current>>,
    /// Held while a configuration is replaced.
    adopting: Mutex<()>,
    /// When the one in force was shown to be the latest, by this box's clock; 0 for never.
    proof_ms: AtomicU64,
}

impl ConfigState {
    /// Nothing in force: generation 0.
    pub fn new() -> Self {
        Self {
            current: RwLock::new(Arc::new(current_of(Config::default(), Vec::new()))),
            adopting: Mutex::new(()),
            proof_ms: AtomicU64::new(0),
        }
    }

    /// The configuration in force.
    pub fn get(&self) -> Arc<Current> {
        self.current
            .read()
            .expect("no thread panicked with the lock")
            .clone()
    }

    /// Its generation; 0 before the first one.
    pub fn generation(&self) -> u64 {
        self.get().config.generation
    }

    /// Puts a configuration in force if its generation is higher.
    ///
    /// `proof_ms` is when it was shown to be the latest, by this box's clock, if that is known.
    pub fn offer(&self, body: &[u8], proof_ms: Option<u64>) -> Adoption {
        let _one_at_a_time = lock(&self.adopting);
        let held = self.get();
        if hash64(&[body]) == held.digest && held.config.generation > 0 {
            self.prove(held.config.generation, proof_ms);
            return Adoption::Same;
        }
        let Ok(config) = Config::from_slice(body) else {
            return Adoption::Unreadable;
        };
        if config.generation < held.config.generation {
            return Adoption::Older;
        }
        if config.generation == held.config.generation {
            return Adoption::Forked;
        }
        self.replace(current_of(config, body.to_vec()));
        self.proof_ms
            .fetch_max(proof_ms.unwrap_or(0), Ordering::AcqRel);
        Adoption::Adopted
    }

    fn replace(&self, next: Current) {
        let mut held = self
            .current
            .write()
            .expect("no thread panicked with the lock");
        assert!(
            next.config.generation > held.config.generation,
            "invariant: an accepted configuration never reverts"
        );
        *held = Arc::new(next);
    }

    /// Notes that `generation` was the latest at `proof_ms`.
    ///
    /// That shows the same for any higher generation held here.
    pub fn prove(&self, generation: u64, proof_ms: Option<u64>) {
        if let Some(proof_ms) = proof_ms
            && generation <= self.generation()
        {
            self.proof_ms.fetch_max(proof_ms, Ordering::AcqRel);
        }
    }

    /// Age of the newest proof.
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

fn current_of(config: Config, body: Vec<u8>) -> Current {
    Current {
        config,
        digest: hash64(&[&body]),
        body: body.into(),
    }
}

/// The box list seen last; its generation never falls either.
#[derive(Default)]
pub struct BoxListState {
    held: Mutex<(Arc<BoxList>, Arc<[u8]>)>,
}

impl BoxListState {
    /// The list.
    pub fn get(&self) -> Arc<BoxList> {
        lock(&self.held).0.clone()
    }

    /// The bytes it was read from.
    pub fn body(&self) -> Arc<[u8]> {
        lock(&self.held).1.clone()
    }

    /// Takes over a list of a higher generation. Returns it if it was one.
    pub fn offer(&self, body: &[u8]) -> Option<Arc<BoxList>> {
        let list: BoxList = serde_json::from_slice(body).ok()?;
        let mut held = lock(&self.held);
        if list.generation <= held.0.generation {
            return None;
        }
        let list = Arc::new(list);
        *held = (list.clone(), body.into());
        Some(list)
    }
}
