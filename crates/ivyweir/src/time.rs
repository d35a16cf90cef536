//! Times on the command line: `2026-12-03T06:00:00Z`, or `+90m` from now.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The current time in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    epoch_ms(SystemTime::now())
}

fn epoch_ms(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis() as u64
}

/// Parses an absolute time or an offset from `now_ms`; `None` if the text is neither.
pub fn parse(text: &str, now_ms: u64) -> Option<u64> {
    match text.strip_prefix('+') {
        Some(offset) => {
            let offset = humantime::parse_duration(offset).ok()?;
            now_ms.checked_add(u64::try_from(offset.as_millis()).ok()?)
        }
        None => humantime::parse_rfc3339(text).ok().map(epoch_ms),
    }
}

/// Formats a time in milliseconds since the Unix epoch as RFC 3339 in UTC.
pub fn format(at_ms: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(at_ms);
    humantime::format_rfc3339_seconds(time).to_string()
}

#[cfg(test)]
mod tests {
    use super::parse;

    macro_rules! times {
        ($($name:ident: $text:literal => $expected:expr;)*) => {
            $(#[test] fn $name() { assert_eq!(parse($text, 1_000), $expected); })*
        };
    }

    times! {
        leap_day: "2024-02-29T12:00:00Z" => Some(1_709_208_000_000);
        event: "2026-12-03T06:00:00Z" => Some(1_796_277_600_000);
        from_now: "+2m" => Some(121_000);
        no_unit: "+2" => None;
        no_zone: "2026-12-03T06:00:00" => None;
        no_month: "2026-13-03T06:00:00Z" => None;
        empty: "" => None;
    }
}
