//! Request metadata that callers send in headers.

use ivyweir_policy::{Code, Refusal};

/// Priority of requests without `X-Ivyweir-Priority`.
const DEFAULT_PRIORITY: u8 = 5;
const MAX_PRIORITY: u8 = 9;
const MAX_REQUEST_KEY_BYTES: usize = 255;
const MAX_CLASS_BYTES: usize = 64;
/// Deadline of requests without `X-Ivyweir-Deadline-Ms`.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
const MAX_DEADLINE_MS: u64 = 600_000;

/// Credentials and processing options of a request, parsed from its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// API key of the caller, from `Authorization: Bearer`.
    pub caller_key: Option<String>,
    /// Session token, from `X-Ivyweir-Session`.
    pub session: Option<String>,
    /// Idempotency key of the request, from `Idempotency-Key`.
    pub request_key: Option<String>,
    /// Time from the arrival of the request to the end of the response, from
    /// `X-Ivyweir-Deadline-Ms`.
    pub deadline_ms: u64,
    /// Priority from 0 to 9, where higher values are served first, from `X-Ivyweir-Priority`.
    pub priority: u8,
    /// Whether the request must not be executed more than once, from `X-Ivyweir-Repeatable: no`.
    pub at_most_once: bool,
    /// Request class that quality estimates are kept for, from `X-Ivyweir-Class`.
    pub class: String,
}

impl RequestMetadata {
    /// Parses the metadata. `header` returns the value of the header with the given name.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the name of the invalid header and the expected value.
    pub fn from_headers<'a>(header: impl Fn(&str) -> Option<&'a str>) -> Result<Self, Refusal> {
        let caller_key = header("Authorization")
            .and_then(|v| v.strip_prefix("Bearer "))
            .map(|k| k.trim().to_owned());
        let request_key = header("Idempotency-Key").map(str::to_owned);
        if request_key
            .as_deref()
            .is_some_and(|k| !is_printable_ascii(k, MAX_REQUEST_KEY_BYTES))
        {
            return Err(malformed_header(
                "Idempotency-Key",
                "1 to 255 printable ASCII characters",
            ));
        }
        let class = header("X-Ivyweir-Class").unwrap_or("default").to_owned();
        if !is_printable_ascii(&class, MAX_CLASS_BYTES) || class.contains('/') {
            return Err(malformed_header(
                "X-Ivyweir-Class",
                "1 to 64 printable ASCII characters without a slash",
            ));
        }
        Ok(Self {
            caller_key,
            session: header("X-Ivyweir-Session").map(str::to_owned),
            request_key,
            deadline_ms: parse_or_default(header("X-Ivyweir-Deadline-Ms"), DEFAULT_DEADLINE_MS)
                .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms))
                .ok_or_else(|| malformed_header("X-Ivyweir-Deadline-Ms", "1 to 600000"))?,
            priority: parse_or_default(header("X-Ivyweir-Priority"), u64::from(DEFAULT_PRIORITY))
                .filter(|p| *p <= u64::from(MAX_PRIORITY))
                .map(|p| p as u8)
                .ok_or_else(|| malformed_header("X-Ivyweir-Priority", "0 to 9"))?,
            at_most_once: match header("X-Ivyweir-Repeatable") {
                None | Some("yes") => false,
                Some("no") => true,
                Some(_) => return Err(malformed_header("X-Ivyweir-Repeatable", "yes or no")),
            },
            class,
        })
    }
}

fn parse_or_default(text: Option<&str>, default: u64) -> Option<u64> {
    match text {
        None => Some(default),
        Some(text) => text.parse().ok(),
    }
}

fn is_printable_ascii(text: &str, max_bytes: usize) -> bool {
    (1..=max_bytes).contains(&text.len()) && text.bytes().all(|b| (b' '..=b'~').contains(&b))
}

#[cold]
fn malformed_header(header: &str, valid: &str) -> Refusal {
    Refusal::not_run(Code::Malformed, format!("{header}: expected {valid}"))
}
