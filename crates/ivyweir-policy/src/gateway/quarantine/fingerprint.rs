//! What two tries of the same request have in common.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::hash::hash64;

/// What makes a request the same as an earlier one. Its id, its deadline and what a caller says of the prompt
/// differ from try to try; the host, the path, the caller and the body do not.
#[derive(Debug, Clone, Copy)]
pub struct Content<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that the caller named.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The caller's workspace; none where the route needs no key. A caller that changes its key stays the
    /// same.
    pub workspace: Option<&'a str>,
    /// The whole body.
    pub body: &'a [u8],
}

/// Identity of a request's content: 64 bits of a cryptographic hash, so that no caller can make a request
/// with the fingerprint of another's.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(content: &Content) -> Self {
        let is_keyed = [u8::from(content.workspace.is_some())];
        Self(hash64(&[
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            &is_keyed,
            content.workspace.unwrap_or_default().as_bytes(),
            content.body,
        ]))
    }

    /// The bits of the hash, for placing by rendezvous.
    pub fn bits(self) -> u64 {
        self.0
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    /// Reads the 16 hexadecimal digits that `Display` writes.
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
