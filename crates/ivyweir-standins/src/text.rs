//! Deterministic answers whose completeness and quality a test can check.
//!
//! The first word encodes the quality, masked with a hash of the prompt. Tests and the rating service
//! decode it with [`quality`]; the router cannot, so it has to rely on ratings and confidence.

use ivyweir_policy::hash::{hash64, mix};

/// The last word of every complete answer.
pub const END_WORD: &str = "end.";

/// The full content of an answer, computed before any token is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Draft {
    /// The words in order, each but the last with a trailing space; one word counts as one token.
    pub words: Vec<String>,
    /// Quality of the answer, 0 to 1.
    pub quality: f64,
    /// Mean token probability that the engine reports.
    pub confidence: f64,
}

/// Maps `parts` to a deterministic, uniformly distributed number in `[0, 1)`.
pub fn unit_hash(parts: &[&[u8]]) -> f64 {
    (hash64(parts) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the difficulty of a prompt, 0 to 1.
pub fn difficulty(prompt: &str) -> f64 {
    unit_hash(&[b"difficulty", prompt.as_bytes()])
}

/// Computes the answer of a version to a prompt.
///
/// The probability of a good answer is a logistic function of `skill` minus the difficulty of the
/// prompt. The confidence is a noisy linear function of the same margin.
pub fn draft(prompt: &str, version: &str, skill: f64, tokens: usize) -> Draft {
    let seed = [prompt.as_bytes(), version.as_bytes()];
    let margin = skill - difficulty(prompt);
    let good_probability = 1.0 / (1.0 + (-12.0 * margin).exp());
    let is_good = unit_hash(&[b"good", seed[0], seed[1]]) < good_probability;
    let spread = unit_hash(&[b"spread", seed[0], seed[1]]);
    let quality = if is_good {
        0.9 + 0.1 * spread
    } else {
        0.4 * spread
    };
    let noise = unit_hash(&[b"noise", seed[0], seed[1]]) - 0.5;
    let confidence = (0.55 + 0.5 * margin + 0.25 * noise).clamp(0.02, 0.99);
    Draft {
        words: encode_words(prompt, version, quality, tokens),
        quality,
        confidence,
    }
}

fn encode_words(prompt: &str, version: &str, quality: f64, tokens: usize) -> Vec<String> {
    let mask = hash64(&[b"mask", prompt.as_bytes()]);
    let masked_quality = ((quality * 1_000.0).round() as u64) ^ (mask & 0xffff);
    let salt = hash64(&[version.as_bytes()]);
    let mut words = vec![format!("r{masked_quality:x} ")];
    for index in 1..tokens.saturating_sub(1) {
        words.push(format!(
            "{} ",
            VOCABULARY[(mix(mask ^ salt, index as u64) % VOCABULARY.len() as u64) as usize]
        ));
    }
    words.push(END_WORD.to_owned());
    words
}

const VOCABULARY: &[&str] = &[
    "the",
    "host",
    "opens",
    "with",
    "a",
    "short",
    "story",
    "about",
    "sound",
    "and",
    "guests",
    "answer",
    "questions",
    "from",
    "listeners",
    "before",
    "break",
    "music",
    "notes",
    "follow",
];

/// Decodes the quality of an answer to `prompt`.
///
/// Returns `None` if the answer is incomplete. An answer to another prompt also gives `None` in most
/// cases, because the unmasked value is then random and usually out of range.
pub fn quality(prompt: &str, answer: &str) -> Option<f64> {
    if !answer.ends_with(END_WORD) {
        return None;
    }
    let first = answer.split(' ').next()?.strip_prefix('r')?;
    let masked_quality = u64::from_str_radix(first, 16).ok()?;
    let mask = hash64(&[b"mask", prompt.as_bytes()]);
    let quality_permille = masked_quality ^ (mask & 0xffff);
    (quality_permille <= 1_000).then_some(quality_permille as f64 / 1_000.0)
}
