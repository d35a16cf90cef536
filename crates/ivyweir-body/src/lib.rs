//! Bounded reading of response bodies, for clients that need a body as a whole.
//!
//! A faulty server may send a body without end. A [`BodyReader`] bounds each body, and how many large ones are read at
//! the same time; a further large body waits, which leaves its bytes with its server.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use ivyweir_body::BodyReader;
//!
//! let reader = BodyReader::default();
//! let deadline = Instant::now() + Duration::from_secs(5);
//! let body = reader.read(b"a whole body".as_slice(), deadline)?;
//! assert_eq!(body, b"a whole body");
//! # Ok::<(), std::io::Error>(())
//! ```

use std::fmt;
use std::io::{self, Read};
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, bounded};

/// Bounds on the bodies that one [`BodyReader`] reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Length in bytes from which a body is large.
    pub large_body_bytes: usize,
    /// Maximum length of a body in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of large bodies that are read at the same time.
    pub max_large_bodies: usize,
}

impl Default for BodyLimits {
    fn default() -> Self {
        Self {
            large_body_bytes: 256 << 10,
            max_body_bytes: 8 << 20,
            max_large_bodies: 4,
        }
    }
}

/// Reads bodies within [`BodyLimits`]. Clones share the limit on large bodies.
#[derive(Clone)]
pub struct BodyReader {
    limits: BodyLimits,
    /// Holds one item for each large body that is being read.
    permits: (Sender<()>, Receiver<()>),
}

impl BodyReader {
    /// Creates a reader with these limits.
    pub fn new(limits: BodyLimits) -> Self {
        Self {
            limits,
            permits: bounded(limits.max_large_bodies),
        }
    }

    /// Reads a body to its end.
    ///
    /// Reading itself ends by `body`'s own timeout; `deadline` limits the wait before a large body.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`FileTooLarge`](io::ErrorKind::FileTooLarge) if the body is longer than the limit, of
    /// kind [`TimedOut`](io::ErrorKind::TimedOut) if other large bodies were being read until `deadline`, and the errors
    /// of `body`.
    pub fn read(&self, mut body: impl Read, deadline: Instant) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        read_up_to(&mut body, self.limits.large_body_bytes, &mut bytes)?;
        if bytes.len() < self.limits.large_body_bytes {
            return Ok(bytes);
        }
        let _permit = self.wait_for_permit(deadline)?;
        read_up_to(&mut body, self.limits.max_body_bytes + 1, &mut bytes)?;
        if bytes.len() > self.limits.max_body_bytes {
            return Err(too_large(self.limits.max_body_bytes));
        }
        Ok(bytes)
    }

    fn wait_for_permit(&self, deadline: Instant) -> io::Result<Permit<'_>> {
        let (sender, receiver) = &self.permits;
        match sender.send_deadline((), deadline) {
            Ok(()) => Ok(Permit { receiver }),
            Err(_) => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "other large bodies are being read",
            )),
        }
    }
}

impl Default for BodyReader {
    fn default() -> Self {
        Self::new(BodyLimits::default())
    }
}

impl fmt::Debug for BodyReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyReader")
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

/// The right to read one large body.
struct Permit<'r> {
    receiver: &'r Receiver<()>,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let _returned = self.receiver.try_recv();
    }
}

/// Reads until `bytes` has `max_bytes` or the body ends.
fn read_up_to(body: &mut impl Read, max_bytes: usize, bytes: &mut Vec<u8>) -> io::Result<()> {
    let missing = max_bytes.saturating_sub(bytes.len());
    body.take(missing as u64).read_to_end(bytes)?;
    Ok(())
}

#[cold]
fn too_large(max_bytes: usize) -> io::Error {
    io::Error::new(
        io::ErrorKind::FileTooLarge,
        format!("body is longer than {max_bytes} bytes"),
    )
}
