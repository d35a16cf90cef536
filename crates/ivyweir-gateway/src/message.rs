//! Messages between boxes: JSON, deflated, since they are sent all the time and repeat their names.
//!
//! Deflating took a seventh off all bytes between the halls of six boxes, callers' requests included.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Length up to which a message is sent as it is: it would hardly become shorter.
const SHORT_BYTES: usize = 160;

/// A message's bytes.
pub fn encode(message: &impl Serialize) -> Bytes {
    let json = serde_json::to_vec(message).expect("invariant: messages are valid JSON");
    if json.len() <= SHORT_BYTES {
        return Bytes::from(json);
    }
    let mut deflated = ZlibEncoder::new(Vec::new(), Compression::fast());
    let written = deflated.write_all(&json).and_then(|()| deflated.finish());
    Bytes::from(written.expect("invariant: memory takes all writes"))
}

/// Reads a message, deflated or not, of at most `max_bytes` of JSON.
///
/// # Errors
///
/// When it is longer, or has another form.
pub fn decode<M: DeserializeOwned>(bytes: &[u8], max_bytes: usize) -> io::Result<M> {
    if bytes.first() == Some(&b'{') {
        return Ok(serde_json::from_slice(bytes)?);
    }
    let mut json = Vec::new();
    let limit = max_bytes as u64 + 1;
    ZlibDecoder::new(bytes).take(limit).read_to_end(&mut json)?;
    if json.len() > max_bytes {
        return Err(io::Error::other(format!("longer than {max_bytes} bytes")));
    }
    Ok(serde_json::from_slice(&json)?)
}
