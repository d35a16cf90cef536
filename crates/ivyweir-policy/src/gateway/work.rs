//! Estimate of the upstream time that a request takes.
//!
//! Model engines process prompts one after the other, and a long prompt delays all streams beside it. Engines are
//! therefore compared by the time that their requests still need rather than by the number of requests.

/// Time of an output token relative to a prompt token. Streams of a batch advance together, so one more adds little.
/// With the ratio of a stream that runs alone (26), the estimated work was three times the actual work on engines with
/// long answers; 0.3 and 1 do equally well on three deployments, 2.6 slightly worse.
const DECODE_TO_PREFILL_RATIO: f64 = 1.0;
/// Fraction of the shared prompt that is assumed to be processed again.
const SHARED_PREFILL_FRACTION: f64 = 0.3;
/// Work of a request without token counts.
const DEFAULT_PREFILL_MS: f64 = 1.0;

/// Token counts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tokens {
    /// Prompt tokens shared with other requests.
    pub shared: u32,
    /// Prompt tokens of this request alone.
    pub unique: u32,
    /// Expected output tokens.
    pub output: u32,
}

impl Tokens {
    /// Tokens of the whole prompt.
    pub fn prompt(&self) -> u32 {
        self.shared.saturating_add(self.unique)
    }
}

/// Estimated time, in milliseconds of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Time until the first token.
    pub prefill_ms: f64,
    /// Time from the first token to the last.
    pub decode_ms: f64,
    /// Time saved if the shared prompt is cached.
    pub saved_ms: f64,
}

impl Estimate {
    /// Time until the last token.
    pub fn total_ms(&self) -> f64 {
        self.prefill_ms + self.decode_ms
    }
}

/// Estimates a request for a model that processes a prompt token in `ms_per_token`.
pub fn estimate(tokens: Option<Tokens>, ms_per_token: f64) -> Estimate {
    let Some(tokens) = tokens else {
        return Estimate {
            prefill_ms: DEFAULT_PREFILL_MS,
            ..Estimate::default()
        };
    };
    let shared = f64::from(tokens.shared);
    Estimate {
        prefill_ms: (f64::from(tokens.unique) + SHARED_PREFILL_FRACTION * shared) * ms_per_token,
        decode_ms: f64::from(tokens.output) * DECODE_TO_PREFILL_RATIO * ms_per_token,
        saved_ms: shared * ms_per_token,
    }
}

/// Relative position of a model between the smallest, 0, and the largest, 1.
pub fn size_fraction(model: usize, models: usize) -> f64 {
    let steps = models.saturating_sub(1).max(1);
    model as f64 / steps as f64
}
