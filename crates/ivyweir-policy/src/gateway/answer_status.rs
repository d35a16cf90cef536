//! Which statuses the head of an answer may have.
//!
//! A faulty server may send any three digits. Callers cannot tell what a status that HTTP does not define means, and
//! neither can a box: a response with one is not an answer, whatever else it says.

/// Statuses of final responses (RFC 9110, 15).
const FINAL: std::ops::RangeInclusive<u16> = 200..=599;

/// Whether a response with this status can be the answer to a request that asks for no upgrade.
///
/// Informational responses (1xx) precede an answer; as no upgrade is asked for, that includes 101.
pub fn is_answer_status(status: u16) -> bool {
    FINAL.contains(&status)
}
