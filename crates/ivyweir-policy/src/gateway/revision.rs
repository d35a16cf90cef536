//! Revisions of the store, with the era that they belong to.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Suffix of the era in the text form of an unsettled revision.
const UNSETTLED_SUFFIX: &str = "~";

/// A revision of the store, ordered by era, then unsettled before settled, and then by number.
///
/// A store that is restored from a backup reuses the numbers of lost changes, so numbers of different eras cannot be
/// compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct Revision {
    /// Number of times the store had been restored from a backup.
    pub era: u64,
    /// Whether operators and upstreams had enough time to repeat the writes lost in the last restore. Records read
    /// before that may be incomplete and are read again.
    pub is_settled: bool,
    /// Revision number that the store assigned.
    pub number: u64,
}

impl Revision {
    /// Creates a settled revision from an era and a number.
    pub fn new(era: u64, number: u64) -> Self {
        Self {
            era,
            is_settled: true,
            number,
        }
    }

    /// Creates an unsettled revision from an era and a number.
    pub fn unsettled(era: u64, number: u64) -> Self {
        Self {
            is_settled: false,
            ..Self::new(era, number)
        }
    }

    /// Whether this is revision 0 of era 0, which denotes a box without any records.
    pub fn is_zero(self) -> bool {
        self.era == 0 && self.number == 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let suffix = if self.is_settled {
            ""
        } else {
            UNSETTLED_SUFFIX
        };
        write!(f, "{}{suffix}.{}", self.era, self.number)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // Text without an era belongs to era 0.
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        let number = number.parse()?;
        Ok(match era.strip_suffix(UNSETTLED_SUFFIX) {
            Some(era) => Self::unsettled(era.parse()?, number),
            None => Self::new(era.parse()?, number),
        })
    }
}

impl From<Revision> for String {
    fn from(revision: Revision) -> Self {
        revision.to_string()
    }
}

impl TryFrom<String> for Revision {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
