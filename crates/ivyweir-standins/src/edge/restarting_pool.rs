//! Pool of scripted upstreams that start again some time after they exited.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::record_store::RecordStore;
use super::scripted_upstream::ScriptedUpstream;

/// Interval between checks for upstreams that exited.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Upstreams, each of which is replaced by a new incarnation at its address some time after it exited.
pub struct RestartingPool {
    shared: Arc<Shared>,
    restarter: Option<JoinHandle<()>>,
}

struct Shared {
    store: RecordStore,
    restart_delay: Duration,
    /// All incarnations there ever were.
    incarnations: Mutex<Vec<ScriptedUpstream>>,
    is_stopped: AtomicBool,
}

impl RestartingPool {
    /// Registers these upstreams, and restarts each one `restart_delay` after it exited until the pool is dropped.
    pub fn start(
        store: &RecordStore,
        upstreams: Vec<ScriptedUpstream>,
        restart_delay: Duration,
    ) -> Self {
        for upstream in &upstreams {
            store.put_upstream(&upstream.record());
        }
        let shared = Arc::new(Shared {
            store: store.clone(),
            restart_delay,
            incarnations: Mutex::new(upstreams.clone()),
            is_stopped: AtomicBool::new(false),
        });
        let restarting = shared.clone();
        let restarter = thread::spawn(move || restarting.restart_exited(upstreams));
        Self {
            shared,
            restarter: Some(restarter),
        }
    }

    /// Returns all incarnations there ever were.
    pub fn incarnations(&self) -> Vec<ScriptedUpstream> {
        self.shared.incarnations().clone()
    }
}

impl Drop for RestartingPool {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        if let Some(restarter) = self.restarter.take() {
            // A panic there was printed by its own thread.
            let _ignored = restarter.join();
        }
    }
}

impl Shared {
    fn incarnations(&self) -> MutexGuard<'_, Vec<ScriptedUpstream>> {
        self.incarnations.lock().expect("mutex is not poisoned")
    }

    fn restart_exited(&self, mut current: Vec<ScriptedUpstream>) {
        let mut exited_at: Vec<Option<Instant>> = vec![None; current.len()];
        let mut started = 0;
        while !self.is_stopped.load(Ordering::SeqCst) {
            for (upstream, exited_at) in current.iter_mut().zip(&mut exited_at) {
                if !upstream.has_exited() {
                    continue;
                }
                let at = *exited_at.get_or_insert_with(Instant::now);
                if at.elapsed() < self.restart_delay {
                    continue;
                }
                started += 1;
                *upstream = upstream.restart(started);
                *exited_at = None;
                self.store.put_upstream(&upstream.record());
                self.incarnations().push(upstream.clone());
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }
}
