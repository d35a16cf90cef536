//! Deterministic hashing and rendezvous (highest random weight) ordering.
//!
//! Every box computes the same order from the same inputs, without communication.

use std::cmp::Reverse;

/// Hashes `parts` to 64 bits. Each part is prefixed with its length, so different splits of the
/// same bytes hash differently.
pub fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    leading_u64(hasher.finalize().as_bytes())
}

/// Mixes two hash values. Cheaper than [`hash64`], for scoring many candidates per request.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the first `count` of `candidates` in rendezvous order for `key`.
pub fn rendezvous_top<'a, S: AsRef<str> + ?Sized>(
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

fn leading_u64(bytes: &[u8; 32]) -> u64 {
    let mut leading = [0; 8];
    leading.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(leading)
}
