//! Continuous batching: each step generates one token per running sequence, and the step time grows
//! with the batch size.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use ivyweir_policy::hash::hash64;

/// Size of a prefix cache block, in bytes of the prompt.
const BLOCK_BYTES: usize = 64;
/// Number of prompt bytes that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Timing and capacity of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Maximum number of sequences in a batch.
    pub slots: usize,
    /// Duration of a step with one sequence, in microseconds.
    pub step_us: u64,
    /// Additional step duration per further sequence, in microseconds.
    pub per_sequence_us: u64,
    /// Time to process one uncached prompt token, in microseconds.
    pub prefill_us_per_token: u64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
}

/// An event that the receiver of a sequence gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenEvent {
    /// One token was generated.
    Token,
    /// The engine went down before the sequence was complete.
    EngineDown,
}

struct Sequence {
    prefill_us: u64,
    tokens_left: usize,
    events: Sender<TokenEvent>,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<(u8, Sequence)>,
    running: Vec<Sequence>,
    cache: HashMap<u64, u64>,
    cache_clock: u64,
    cache_hits: u64,
    cache_lookups: u64,
    stopped: bool,
    down: bool,
    slow_factor: u64,
}

/// The batch scheduler of one engine.
pub struct Scheduler {
    speed: Speed,
    state: Mutex<State>,
    work_available: Condvar,
}

/// Number of sequences in the batch and in the queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Sequences in the batch.
    pub running: usize,
    /// Sequences in the queue.
    pub waiting: usize,
}

impl Scheduler {
    /// Starts the scheduler thread.
    pub fn start(speed: Speed) -> Arc<Self> {
        let scheduler = Arc::new(Self {
            speed,
            state: Mutex::new(State {
                slow_factor: 1,
                ..State::default()
            }),
            work_available: Condvar::new(),
        });
        let worker = scheduler.clone();
        thread::Builder::new()
            .name("engine-batch".into())
            .stack_size(128 << 10)
            .spawn(move || worker.run())
            .expect("failed to spawn the scheduler thread");
        scheduler
    }

    /// Queues a sequence of `tokens` tokens after all sequences of the same or a higher priority.
    ///
    /// If the engine is down, the returned receiver is already disconnected.
    pub fn submit(&self, prompt: &str, tokens: usize, priority: u8) -> Receiver<TokenEvent> {
        let (events, receiver) = unbounded();
        let mut state = self.lock();
        if state.down {
            return receiver;
        }
        let uncached = state.cache_prompt(prompt, self.speed.cache_blocks);
        let sequence = Sequence {
            prefill_us: uncached as u64 * self.speed.prefill_us_per_token,
            tokens_left: tokens,
            events,
        };
        let position = state.waiting.iter().position(|(p, _)| *p < priority);
        let position = position.unwrap_or(state.waiting.len());
        state.waiting.insert(position, (priority, sequence));
        self.work_available.notify_one();
        receiver
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        let state = self.lock();
        Load {
            running: state.running.len(),
            waiting: state.waiting.len(),
        }
    }

    /// Returns the number of hits and of lookups in the prefix cache, in blocks.
    pub fn prefix_cache_stats(&self) -> (u64, u64) {
        let state = self.lock();
        (state.cache_hits, state.cache_lookups)
    }

    /// Multiplies the duration of every step by `factor`.
    pub fn set_slowdown(&self, factor: u64) {
        self.lock().slow_factor = factor.max(1);
    }

    /// Aborts all sequences and rejects new ones while `down` is true.
    pub fn set_down(&self, down: bool) {
        let mut state = self.lock();
        state.down = down;
        if down {
            for sequence in state.running.drain(..) {
                let _receiver_dropped = sequence.events.send(TokenEvent::EngineDown);
            }
            for (_, sequence) in state.waiting.drain(..) {
                let _receiver_dropped = sequence.events.send(TokenEvent::EngineDown);
            }
        }
    }

    /// Stops the scheduler thread.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.work_available.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }

    fn run(&self) {
        let mut next_step_at = Instant::now();
        loop {
            let step = {
                let mut state = self.lock();
                while !state.stopped && state.running.is_empty() && state.waiting.is_empty() {
                    state = self
                        .work_available
                        .wait(state)
                        .expect("mutex is not poisoned");
                    next_step_at = Instant::now();
                }
                if state.stopped {
                    return;
                }
                self.admit(&mut state)
            };
            next_step_at += step;
            thread::sleep(next_step_at.saturating_duration_since(Instant::now()));
            self.lock().emit_tokens();
        }
    }

    /// Moves queued sequences into free slots and returns the duration of the next step.
    fn admit(&self, state: &mut State) -> Duration {
        let mut prefill_us = 0;
        while state.running.len() < self.speed.slots {
            let Some((_, sequence)) = state.waiting.pop_front() else {
                break;
            };
            prefill_us += sequence.prefill_us;
            state.running.push(sequence);
        }
        let additional_sequences = state.running.len().saturating_sub(1) as u64;
        let step_us =
            self.speed.step_us + additional_sequences * self.speed.per_sequence_us + prefill_us;
        Duration::from_micros(step_us * state.slow_factor)
    }
}

impl State {
    /// Sends a token to each running sequence and removes sequences that are complete or whose
    /// receiver was dropped.
    fn emit_tokens(&mut self) {
        self.running.retain_mut(|sequence| {
            sequence.tokens_left -= 1;
            sequence.events.send(TokenEvent::Token).is_ok() && sequence.tokens_left > 0
        });
    }

    /// Adds the blocks of a prompt to the prefix cache and returns the number of uncached tokens.
    ///
    /// If the cache is over capacity, the least recently used blocks are evicted.
    fn cache_prompt(&mut self, prompt: &str, capacity: usize) -> usize {
        let bytes = prompt.as_bytes();
        let mut uncached_bytes = bytes.len() % BLOCK_BYTES;
        let mut prefix_hit = true;
        for end in (BLOCK_BYTES..=bytes.len()).step_by(BLOCK_BYTES) {
            self.cache_clock += 1;
            self.cache_lookups += 1;
            let block = hash64(&[&bytes[..end]]);
            prefix_hit &= self.cache.insert(block, self.cache_clock).is_some();
            if prefix_hit {
                self.cache_hits += 1;
            } else {
                uncached_bytes += BLOCK_BYTES;
            }
        }
        if self.cache.len() > capacity {
            let mut last_uses: Vec<u64> = self.cache.values().copied().collect();
            let excess = self.cache.len() - capacity;
            let (_, oldest_kept, _) = last_uses.select_nth_unstable(excess);
            let oldest_kept = *oldest_kept;
            self.cache.retain(|_, last_use| *last_use >= oldest_kept);
        }
        uncached_bytes / BYTES_PER_TOKEN
    }
}
