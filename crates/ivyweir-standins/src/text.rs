//! Answers that a test can check: how many tokens there are, and how good the answer is.
//!
//! Quality is hidden in the first word, mixed with the prompt, so that only somebody who knows this
//! module can read it; the router does not.

use ivyweir_policy::hash::{hash64, mix};

/// The last word of every whole answer.
pub const END: &str = "end.";

/// An answer before it is generated.
#[derive(Debug, Clone, PartialEq)]
pub struct Draft {
    /// Its words, in order, each with the space behind it.
    pub words: Vec<String>,
    /// Its quality, 0 to 1.
    pub quality: f64,
    /// The mean probability that an engine gives its tokens.
    pub confidence: f64,
}

/// A number from 0 to 1 that depends on the parts alone.
pub fn unit(parts: &[&[u8]]) -> f64 {
    (hash64(parts) >> 11) as f64 / (1_u64 << 53) as f64
}

/// How hard a prompt is, 0 to 1.
pub fn difficulty(prompt: &str) -> f64 {
    unit(&[b"difficulty", prompt.as_bytes()])
}

/// Drafts the answer of a version of some `skill` to a prompt.
///
/// The answer is good when skill outweighs difficulty; confidence says so, with noise.
pub fn draft(prompt: &str, version: &str, skill: f64, tokens: usize) -> Draft {
    let seed = [prompt.as_bytes(), version.as_bytes()];
    let margin = skill - difficulty(prompt);
    let chance = 1.0 / (1.0 + (-12.0 * margin).exp());
    let is_good = unit(&[b"good", seed[0], seed[1]]) < chance;
    let spread = unit(&[b"spread", seed[0], seed[1]]);
    let quality = if is_good {
        0.9 + 0.1 * spread
    } else {
        0.4 * spread
    };
    let noise = unit(&[b"noise", seed[0], seed[1]]) - 0.5;
    let confidence = (0.55 + 0.5 * margin + 0.25 * noise).clamp(0.02, 0.99);
    Draft {
        words: words(prompt, version, quality, tokens),
        quality,
        confidence,
    }
}

fn words(prompt: &str, version: &str, quality: f64, tokens: usize) -> Vec<String> {
    let mask = hash64(&[b"mask", prompt.as_bytes()]);
    let hidden = ((quality * 1_000.0).round() as u64) ^ (mask & 0xffff);
    let salt = hash64(&[version.as_bytes()]);
    let mut words = vec![format!("r{hidden:x} ")];
    for at in 1..tokens.saturating_sub(1) {
        words.push(format!(
            "{} ",
            WORDS[(mix(mask ^ salt, at as u64) % WORDS.len() as u64) as usize]
        ));
    }
    words.push(END.to_owned());
    words
}

const WORDS: &[&str] = &[
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

/// The quality of a whole answer; none if it is not one.
pub fn quality(prompt: &str, answer: &str) -> Option<f64> {
    if !answer.ends_with(END) {
        return None;
    }
    let first = answer.split(' ').next()?.strip_prefix('r')?;
    let hidden = u64::from_str_radix(first, 16).ok()?;
    let mask = hash64(&[b"mask", prompt.as_bytes()]);
    let milli = hidden ^ (mask & 0xffff);
    (milli <= 1_000).then_some(milli as f64 / 1_000.0)
}
