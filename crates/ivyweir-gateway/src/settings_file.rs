//! Settings files: strict JSON with errors that name the field.

use std::path::Path;
use std::time::Duration;
use std::{fs, io, thread};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Number of times that an incomplete file is read again, and the pause between them.
pub const READ_TRIES: u32 = 20;
/// Pause before an incomplete file is read again.
pub const READ_INTERVAL: Duration = Duration::from_millis(100);

/// An error in a settings file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{file}: cannot be read: {source}"))]
    Read {
        /// Path of the file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or a field is unknown, missing or of the wrong type.
    #[snafu(display("{file}: {source}"))]
    Parse {
        /// Path of the file.
        file: String,
        /// The JSON error, with field and line.
        source: serde_json::Error,
    },
    /// A value is out of its range.
    #[snafu(display("{field}: {found}, expected {expected}"))]
    Range {
        /// Path of the field.
        field: &'static str,
        /// The value, formatted for the message.
        found: String,
        /// The accepted range.
        expected: &'static str,
    },
}

impl SettingsError {
    /// Whether the file may be in the course of being written: it is missing, or it ends early.
    pub fn is_incomplete(&self) -> bool {
        match self {
            Self::Read { source, .. } => source.kind() == io::ErrorKind::NotFound,
            Self::Parse { source, .. } => source.is_eof(),
            Self::Range { .. } => false,
        }
    }
}

/// Reads a file with `read` until it is complete, for a limited time, or until `is_stopped`.
///
/// # Errors
///
/// As for `read`.
pub fn read_when_complete<T>(
    mut read: impl FnMut() -> Result<T, SettingsError>,
    is_stopped: impl Fn() -> bool,
) -> Result<T, SettingsError> {
    for _ in 0..READ_TRIES {
        match read() {
            Err(e) if e.is_incomplete() && !is_stopped() => thread::sleep(READ_INTERVAL),
            result => return result,
        }
    }
    read()
}

/// Reads and parses a file without checking the ranges of its values.
///
/// # Errors
///
/// When it cannot be read, is not valid JSON, or has an unknown, missing or wrongly typed field.
pub fn read<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let name = file.display().to_string();
    let bytes = fs::read(file).context(ReadSnafu { file: &name })?;
    parse(&bytes, &name)
}

/// Parses the content of a file; errors contain `name` as the file name.
///
/// # Errors
///
/// When it is not valid JSON, or a field is unknown, missing or of the wrong type.
pub fn parse<T: DeserializeOwned>(content: &[u8], name: &str) -> Result<T, SettingsError> {
    serde_json::from_slice(content).context(ParseSnafu { file: name })
}
