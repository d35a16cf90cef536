//! Identification of retries of the same request, and of requests that share a part of their prompts.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::hash::hash64;

/// The parts of a request that identify it across tries. Its id, its deadline and the prompt
/// metadata given by the caller differ from try to try; the host, the path, the caller and the body
/// do not.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host named by the caller.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Workspace of the caller; `None` where the route needs no key. The workspace is hashed
    /// instead of the key, so that a caller that changes its key keeps its fingerprint.
    pub workspace: Option<&'a str>,
    /// Complete body.
    pub body: &'a [u8],
}

/// Limit of the shared parts of a prompt that are tracked, from its beginning.
pub const MAX_TRACKED_PARTS: usize = 32;

/// Identity of a request's content, or of a shared part of a prompt: 64 bits of a cryptographic hash,
/// so that no caller can craft a request with the fingerprint of another one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(content: &RequestContent) -> Self {
        let has_workspace = [u8::from(content.workspace.is_some())];
        Self(hash64(&[
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            &has_workspace,
            content.workspace.unwrap_or_default().as_bytes(),
            content.body,
        ]))
    }

    /// Computes the fingerprint of a part that prompts for a pool share. `id_hash` is the hash of the
    /// part's id.
    pub fn of_prompt_part(pool: &str, id_hash: u64) -> Self {
        Self(hash64(&[
            b"prompt part",
            pool.as_bytes(),
            &id_hash.to_le_bytes(),
        ]))
    }

    /// Bits of the hash, as a key for rendezvous hashing.
    pub fn bits(self) -> u64 {
        self.0
    }
}

/// Everything under which the terminations of upstreams are recorded for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Fingerprint of its content.
    pub request: Fingerprint,
    /// Fingerprints of the parts of its prompt that others may share.
    pub parts: Arc<[Fingerprint]>,
}

impl RequestIdentity {
    /// Creates the identity of a request whose prompt for `pool` has shared parts with these id hashes.
    pub fn new(request: Fingerprint, pool: &str, shared_parts: impl Iterator<Item = u64>) -> Self {
        let parts = shared_parts.take(MAX_TRACKED_PARTS);
        Self {
            request,
            parts: parts
                .map(|id_hash| Fingerprint::of_prompt_part(pool, id_hash))
                .collect(),
        }
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    /// Parses the 16 hexadecimal digits that `Display` writes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}
