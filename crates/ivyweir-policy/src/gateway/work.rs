//! How much of an upstream's time a request takes, estimated before it runs.
//!
//! Model engines read prompts one after the other, and every stream beside a long prompt waits for
//! it. So engines are compared by the time that their requests still need, not by how many there
//! are.

/// Time of the largest model for a token, relative to the smallest; sizes between lie on a
/// geometric scale. The sites' engines take 0.3, 0.8 and 3.0.
const LARGEST_TO_SMALLEST: f64 = 10.0;
/// Prompt tokens that the smallest model reads in a millisecond; both sites' engines read 200 to
/// 230.
const PROMPT_TOKENS_PER_MS: f64 = 200.0;
/// Time that a generated token of the smallest model takes, beside some others in the same batch.
const TOKEN_MS: f64 = 0.13;
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

/// Estimates a request for the model in this place of `models`, smallest first.
pub fn estimate(tokens: Option<Tokens>, model: usize, models: usize) -> Estimate {
    let Some(tokens) = tokens else {
        return Estimate {
            read_ms: PLAIN_MS,
            ..Estimate::default()
        };
    };
    let steps = models.saturating_sub(1).max(1) as f64;
    let pace = LARGEST_TO_SMALLEST.powf(model as f64 / steps);
    let read = |tokens: f64| tokens / PROMPT_TOKENS_PER_MS * pace;
    let shared = f64::from(tokens.shared);
    Estimate {
        read_ms: read(f64::from(tokens.own) + SHARED_READ * shared),
        write_ms: f64::from(tokens.out) * TOKEN_MS * pace,
        saved_ms: read(shared),
    }
}
