//! What callers say of a request in headers.

use ivyweir_policy::{Code, Refusal};

/// Priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 5;
const MAX_PRIORITY: u8 = 9;
const MAX_KEY_BYTES: usize = 255;
const MAX_CLASS_BYTES: usize = 64;
/// Time for a request that names no deadline.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
const MAX_DEADLINE_MS: u64 = 600_000;

/// What a caller says of a request besides its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Marks {
    /// The caller key, from `Authorization: Bearer`.
    pub caller_key: Option<String>,
    /// The session token, from `X-Ivyweir-Session`.
    pub session: Option<String>,
    /// The request's key, from `Idempotency-Key`.
    pub request_key: Option<String>,
    /// Time from arrival to the end of the answer, from `X-Ivyweir-Deadline-Ms`.
    pub deadline_ms: u64,
    /// 0 to 9, higher goes first, from `X-Ivyweir-Priority`.
    pub priority: u8,
    /// Whether it may run at most once, from `X-Ivyweir-Repeatable: no`.
    pub at_most_once: bool,
    /// Class of request for quality estimates, from `X-Ivyweir-Class`.
    pub class: String,
}

impl Marks {
    /// Reads the marks; `header` gives a header's value by its name.
    ///
    /// # Errors
    ///
    /// A refusal that names the header and what was expected.
    pub fn from_headers<'a>(header: impl Fn(&str) -> Option<&'a str>) -> Result<Self, Refusal> {
        let caller_key = header("Authorization")
            .and_then(|v| v.strip_prefix("Bearer "))
            .map(|k| k.trim().to_owned());
        let request_key = header("Idempotency-Key").map(str::to_owned);
        if request_key
            .as_deref()
            .is_some_and(|k| !is_plain(k, MAX_KEY_BYTES))
        {
            return Err(expected(
                "Idempotency-Key",
                "1 to 255 printable ASCII characters",
            ));
        }
        let class = header("X-Ivyweir-Class").unwrap_or("default").to_owned();
        if !is_plain(&class, MAX_CLASS_BYTES) || class.contains('/') {
            return Err(expected(
                "X-Ivyweir-Class",
                "1 to 64 printable characters, no slash",
            ));
        }
        Ok(Self {
            caller_key,
            session: header("X-Ivyweir-Session").map(str::to_owned),
            request_key,
            deadline_ms: number(header("X-Ivyweir-Deadline-Ms"), DEFAULT_DEADLINE_MS)
                .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms))
                .ok_or_else(|| expected("X-Ivyweir-Deadline-Ms", "1 to 600000"))?,
            priority: number(header("X-Ivyweir-Priority"), u64::from(DEFAULT_PRIORITY))
                .filter(|p| *p <= u64::from(MAX_PRIORITY))
                .map(|p| p as u8)
                .ok_or_else(|| expected("X-Ivyweir-Priority", "0 to 9"))?,
            at_most_once: match header("X-Ivyweir-Repeatable") {
                None | Some("yes") => false,
                Some("no") => true,
                Some(_) => return Err(expected("X-Ivyweir-Repeatable", "yes or no")),
            },
            class,
        })
    }
}

fn number(text: Option<&str>, default: u64) -> Option<u64> {
    match text {
        None => Some(default),
        Some(text) => text.parse().ok(),
    }
}

fn is_plain(text: &str, max_bytes: usize) -> bool {
    (1..=max_bytes).contains(&text.len()) && text.bytes().all(|b| (b' '..=b'~').contains(&b))
}

#[cold]
fn expected(header: &str, what: &str) -> Refusal {
    Refusal::not_run(Code::Malformed, format!("{header}: expected {what}"))
}
