//! Continuous batching: one step gives each running sequence a token; its time grows with the batch.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use ivyweir_policy::hash::hash64;

/// Characters per block of the prefix cache.
const BLOCK_CHARS: usize = 64;
/// Characters per token of a prompt.
pub const CHARS_PER_TOKEN: usize = 4;

/// How fast an engine is.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Sequences that run at once.
    pub slots: usize,
    /// Time of a step with one sequence.
    pub step_us: u64,
    /// Additional time per further sequence.
    pub per_sequence_us: u64,
    /// Time to read one prompt token that is not cached.
    pub prefill_us_per_token: u64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
}

/// What a sequence's reader receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tick {
    /// One more token.
    Token,
    /// The engine was stopped.
    Died,
}

struct Sequence {
    prefill_us: u64,
    left: usize,
    ticks: Sender<Tick>,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<(u8, Sequence)>,
    running: Vec<Sequence>,
    cache: HashMap<u64, u64>,
    cache_clock: u64,
    cache_hits: u64,
    cache_looks: u64,
    stopped: bool,
    dead: bool,
    slow_factor: u64,
}

/// The batch of one engine.
pub struct Scheduler {
    speed: Speed,
    state: Mutex<State>,
    work: Condvar,
}

/// Sequences running and waiting.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Running.
    pub running: usize,
    /// Waiting.
    pub waiting: usize,
}

impl Scheduler {
    /// Starts the batch's thread.
    pub fn start(speed: Speed) -> Arc<Self> {
        let scheduler = Arc::new(Self {
            speed,
            state: Mutex::new(State {
                slow_factor: 1,
                ..State::default()
            }),
            work: Condvar::new(),
        });
        let runner = scheduler.clone();
        thread::Builder::new()
            .name("engine-batch".into())
            .stack_size(128 << 10)
            .spawn(move || runner.run())
            .expect("threads can be made");
        scheduler
    }

    /// Queues a sequence of `tokens` behind those of the same or a higher priority.
    pub fn submit(&self, prompt: &str, tokens: usize, priority: u8) -> Receiver<Tick> {
        let (ticks, reader) = unbounded();
        let mut state = self.lock();
        if state.dead {
            return reader;
        }
        let uncached = state.read_prompt(prompt, self.speed.cache_blocks);
        let sequence = Sequence {
            prefill_us: uncached as u64 * self.speed.prefill_us_per_token,
            left: tokens,
            ticks,
        };
        let at = state.waiting.iter().position(|(p, _)| *p < priority);
        let at = at.unwrap_or(state.waiting.len());
        state.waiting.insert(at, (priority, sequence));
        self.work.notify_one();
        reader
    }

    /// The load now.
    pub fn load(&self) -> Load {
        let state = self.lock();
        Load {
            running: state.running.len(),
            waiting: state.waiting.len(),
        }
    }

    /// Blocks found in the prefix cache, and blocks looked for.
    pub fn prefix_cache_stats(&self) -> (u64, u64) {
        let state = self.lock();
        (state.cache_hits, state.cache_looks)
    }

    /// Makes every step this much slower.
    pub fn set_slowdown(&self, factor: u64) {
        self.lock().slow_factor = factor.max(1);
    }

    /// Drops all sequences and takes no more, or takes some again.
    pub fn set_down(&self, dead: bool) {
        let mut state = self.lock();
        state.dead = dead;
        if dead {
            for sequence in state.running.drain(..) {
                let _reader_gone = sequence.ticks.send(Tick::Died);
            }
            for (_, sequence) in state.waiting.drain(..) {
                let _reader_gone = sequence.ticks.send(Tick::Died);
            }
        }
    }

    /// Ends the thread.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.work.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no call panics with the lock")
    }

    fn run(&self) {
        let mut next = Instant::now();
        loop {
            let step = {
                let mut state = self.lock();
                while !state.stopped && state.running.is_empty() && state.waiting.is_empty() {
                    state = self.work.wait(state).expect("no call panics with the lock");
                    next = Instant::now();
                }
                if state.stopped {
                    return;
                }
                self.admit(&mut state)
            };
            next += step;
            thread::sleep(next.saturating_duration_since(Instant::now()));
            self.lock().emit();
        }
    }

    /// Fills the batch and tells how long the coming step takes.
    fn admit(&self, state: &mut State) -> Duration {
        let mut prefill_us = 0;
        while state.running.len() < self.speed.slots {
            let Some((_, sequence)) = state.waiting.pop_front() else {
                break;
            };
            prefill_us += sequence.prefill_us;
            state.running.push(sequence);
        }
        let more = state.running.len().saturating_sub(1) as u64;
        let step_us = self.speed.step_us + more * self.speed.per_sequence_us + prefill_us;
        Duration::from_micros(step_us * state.slow_factor)
    }
}

impl State {
    /// Gives each running sequence its token; those whose reader is gone are cancelled.
    fn emit(&mut self) {
        self.running.retain_mut(|sequence| {
            sequence.left -= 1;
            sequence.ticks.send(Tick::Token).is_ok() && sequence.left > 0
        });
    }

    /// Counts the prompt's uncached tokens and caches its blocks, dropping those used longest ago.
    fn read_prompt(&mut self, prompt: &str, capacity: usize) -> usize {
        let bytes = prompt.as_bytes();
        let mut uncached_chars = bytes.len() % BLOCK_CHARS;
        let mut all_hit = true;
        for end in (BLOCK_CHARS..=bytes.len()).step_by(BLOCK_CHARS) {
            self.cache_clock += 1;
            self.cache_looks += 1;
            let block = hash64(&[&bytes[..end]]);
            all_hit &= self.cache.insert(block, self.cache_clock).is_some();
            if all_hit {
                self.cache_hits += 1;
            } else {
                uncached_chars += BLOCK_CHARS;
            }
        }
        if self.cache.len() > capacity {
            let mut uses: Vec<u64> = self.cache.values().copied().collect();
            let surplus = self.cache.len() - capacity;
            let (_, oldest_kept, _) = uses.select_nth_unstable(surplus);
            let oldest_kept = *oldest_kept;
            self.cache.retain(|_, used| *used >= oldest_kept);
        }
        uncached_chars / CHARS_PER_TOKEN
    }
}
