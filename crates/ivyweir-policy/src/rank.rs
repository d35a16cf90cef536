//! Rendezvous hashing: every box computes the same order without a message.

use std::cmp::Reverse;

/// Hashes parts to 64 bits; parts are length-delimited, so they cannot run together.
pub fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    first_word(hasher.finalize().as_bytes())
}

/// A cheap mix of two hashed values; for scores over many candidates per request.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The first `count` of `candidates` in rendezvous order for `key`.
pub fn top<'a, S: AsRef<str> + ?Sized>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a S>,
    count: usize,
) -> Vec<&'a S> {
    let mut scored: Vec<(u64, &S)> = candidates
        .into_iter()
        .map(|c| (hash64(&[key.as_bytes(), c.as_ref().as_bytes()]), c))
        .collect();
    scored.sort_by_key(|(score, candidate)| (Reverse(*score), candidate.as_ref().to_owned()));
    scored.into_iter().take(count).map(|(_, c)| c).collect()
}

fn first_word(bytes: &[u8; 32]) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(word)
}
