//! Session tokens. They are signed, so that any box can verify them without stored state.

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Name, Result, SessionKey, VersionRef};

/// Content of a session token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Session {
    /// Id of the signing key.
    pub key_id: Name,
    /// The workspace that the session belongs to.
    pub workspace: Name,
    /// Makes the token unique and determines the session's version in every roll-out.
    pub nonce: Name,
    /// The version of each model in the session's cascade.
    pub versions: Vec<VersionRef>,
    /// The box that created the session.
    pub box_name: Name,
    /// Incarnation of that box.
    pub incarnation: u64,
    /// Expiry time, in milliseconds since the epoch.
    pub expires_ms: u64,
}

const MAX_TOKEN_BYTES: usize = 4_096;

impl Session {
    /// Encodes and signs the token. `key` must be the key with the id `key_id`.
    pub fn to_signed_token(&self, key: &SessionKey) -> String {
        debug_assert_eq!(self.key_id, key.id);
        let body = serde_json::to_vec(self).expect("a session is always valid JSON");
        let body_hex = to_hex(&body);
        let mac = compute_mac(key, body_hex.as_bytes());
        format!("{body_hex}.{}", mac.to_hex())
    }

    /// Decodes a token and verifies its signature, workspace and expiry time.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] if the text is not a token, [`ErrorKind::BadSignature`] for a wrong
    /// signature, an unknown key or another workspace, and [`ErrorKind::Expired`] after the expiry
    /// time.
    pub fn from_signed_token(
        text: &str,
        keys: &[SessionKey],
        workspace: &str,
        now_ms: u64,
    ) -> Result<Self> {
        let session = Self::verify_signature(text, keys)?;
        if session.workspace.as_ref() != workspace {
            return Err(Error::new(
                ErrorKind::BadSignature,
                "session of another workspace",
            ));
        }
        if session.expires_ms <= now_ms {
            return Err(Error::new(ErrorKind::Expired, "session"));
        }
        Ok(session)
    }

    /// Decodes a token and verifies its signature, but not its workspace or expiry time.
    fn verify_signature(text: &str, keys: &[SessionKey]) -> Result<Self> {
        let invalid = || Error::new(ErrorKind::Invalid, "session token");
        if text.len() > MAX_TOKEN_BYTES {
            return Err(invalid());
        }
        let (body_hex, mac_hex) = text.split_once('.').ok_or_else(invalid)?;
        let body = from_hex(body_hex).ok_or_else(invalid)?;
        let session: Self = serde_json::from_slice(&body).map_err(|_| invalid())?;
        let forged = || Error::new(ErrorKind::BadSignature, "session token");
        let key = keys
            .iter()
            .find(|k| k.id == session.key_id)
            .ok_or_else(forged)?;
        let received = blake3::Hash::from_hex(mac_hex).map_err(|_| forged())?;
        if compute_mac(key, body_hex.as_bytes()) == received {
            Ok(session)
        } else {
            Err(forged())
        }
    }

    /// The version of `model` that the session uses.
    pub fn version_of(&self, model: &str) -> Option<&VersionRef> {
        self.versions.iter().find(|v| v.model.as_ref() == model)
    }
}

fn compute_mac(key: &SessionKey, body: &[u8]) -> blake3::Hash {
    let derived = blake3::derive_key("ivyweir session token", key.secret_hex.as_bytes());
    blake3::keyed_hash(&derived, body)
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    bytes
        .iter()
        .flat_map(|b| [DIGITS[usize::from(b >> 4)], DIGITS[usize::from(b & 15)]])
        .map(char::from)
        .collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|c| c.to_digit(16).map(|d| d as u8))
        .collect();
    let digits = digits?;
    (digits.len() % 2 == 0).then(|| digits.chunks(2).map(|p| p[0] << 4 | p[1]).collect())
}
