//! How much of an upstream's time a request takes, estimated before it runs.
//!
//! Model engines read prompts one after the other, and every stream beside a long prompt waits for
//! it. So engines are compared by the time that their requests still need, not by how many there
//! are.

/// Time of a written token relative to a read one. Streams of a batch take their steps together, so one
/// more adds little. Counted as if each stream were alone (26), work looked three times what it took on
/// engines with long answers; 0.3 and 1 do equally well on three deployments, 2.6 a little worse.
const WRITTEN_TO_READ: f64 = 1.0;
/// Part of the shared prompt that is taken to be read again.
const SHARED_READ: f64 = 0.3;
/// Work of a request that names no tokens.
const PLAIN_MS: f64 = 1.0;

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tokens {
    /// Prompt tokens that others ask for too.
    pub shared: u32,
    /// Prompt tokens of this request alone.
    pub own: u32,
    /// Tokens expected to come out.
    pub out: u32,
}

impl Tokens {
    /// Tokens of the whole prompt.
    pub fn prompt(&self) -> u32 {
        self.shared.saturating_add(self.own)
    }
}

/// Estimated time, in milliseconds of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Until the first token.
    pub read_ms: f64,
    /// From then on.
    pub write_ms: f64,
    /// What is saved where the shared prompt is still in memory.
    pub saved_ms: f64,
}

/// Lowest rank at an engine.
const LAST_RANK: u8 = 9;

impl Estimate {
    /// Rank at the engine, 0 first: a request whose reading takes twice as long stands one behind.
    /// So a long prompt holds up few others, and a short one is held up by few.
    pub fn rank(&self) -> u8 {
        let doublings = self.read_ms.max(1.0).log2();
        (doublings as u8).min(LAST_RANK)
    }

    /// All of it.
    pub fn total_ms(&self) -> f64 {
        self.read_ms + self.write_ms
    }
}

/// Estimates a request for a model that reads a token in `ms_per_token`.
pub fn estimate(tokens: Option<Tokens>, ms_per_token: f64) -> Estimate {
    let Some(tokens) = tokens else {
        return Estimate {
            read_ms: PLAIN_MS,
            ..Estimate::default()
        };
    };
    let shared = f64::from(tokens.shared);
    Estimate {
        read_ms: (f64::from(tokens.own) + SHARED_READ * shared) * ms_per_token,
        write_ms: f64::from(tokens.out) * WRITTEN_TO_READ * ms_per_token,
        saved_ms: shared * ms_per_token,
    }
}

/// Where a model stands between the smallest, 0, and the largest, 1.
pub fn place_of(model: usize, models: usize) -> f64 {
    let steps = models.saturating_sub(1).max(1);
    model as f64 / steps as f64
}
