//! Settings files: strict JSON, read with errors that name the field.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Settings that cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{file}: cannot be read: {source}"))]
    Read {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not JSON of the expected form.
    #[snafu(display("{file}: {source}"))]
    Parse {
        /// The file.
        file: String,
        /// Field, line and what was expected.
        source: serde_json::Error,
    },
    /// A value is out of its range.
    #[snafu(display("{field}: {found}, expected {expected}"))]
    Range {
        /// The field.
        field: &'static str,
        /// The value, as it is to be shown.
        found: String,
        /// What was expected.
        expected: &'static str,
    },
}

/// Reads a file; its values are not checked yet.
///
/// # Errors
///
/// When it cannot be read, or has an unknown or missing field.
pub fn read<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let name = file.display().to_string();
    let bytes = fs::read(file).context(ReadSnafu { file: &name })?;
    parse(&bytes, &name)
}

/// Reads a file's content; `name` stands in errors.
///
/// # Errors
///
/// When it has an unknown or missing field.
pub fn parse<T: DeserializeOwned>(content: &[u8], name: &str) -> Result<T, SettingsError> {
    serde_json::from_slice(content).context(ParseSnafu { file: name })
}
