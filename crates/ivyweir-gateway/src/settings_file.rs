//! Settings files: strict JSON with errors that name the field.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

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
