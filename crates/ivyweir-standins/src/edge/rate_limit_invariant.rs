//! Checks that upstream rate limits are respected, using only requests received by upstreams and no data reported by
//! boxes.

use std::collections::HashMap;
use std::fmt;

use ivyweir_policy::Name;

/// A request received by an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Arrival time in milliseconds; any clock origin.
    pub at_ms: u64,
    /// The box that sent the request.
    pub sender: Name,
    /// The limit advertised in the response, in requests per second.
    pub advertised_per_s: Option<f64>,
}

/// Requires that the boxes notified of an upstream's advertised limit together stay within it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitInvariant {
    /// Time in milliseconds after the first advertisement of a limit; windows that end within it are not checked.
    pub settling_ms: u64,
    /// Time in milliseconds after a box is notified during which its requests are not counted.
    pub notice_grace_ms: u64,
    /// Window length in milliseconds.
    pub window_ms: u64,
    /// Permitted multiple of the advertised limit within a window.
    pub factor: f64,
    /// Number of additional requests permitted within a window.
    pub slack: f64,
}

/// A window with more requests than the limit permits.
#[derive(Debug, Clone, PartialEq)]
pub struct RateLimitViolation {
    /// End of the window in milliseconds.
    pub at_ms: u64,
    /// Number of requests in the window from notified boxes.
    pub requests: usize,
    /// Number of requests permitted.
    pub allowed: f64,
}

impl fmt::Display for RateLimitViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at_ms,
            requests,
            allowed,
        } = self;
        write!(f, "{requests} requests at {at_ms} ms, {allowed} allowed")
    }
}

impl RateLimitInvariant {
    /// The guarantee for fleets in which boxes communicate again three seconds after a fault.
    pub const STANDARD: Self = Self {
        settling_ms: 3_000,
        notice_grace_ms: 500,
        window_ms: 4_000,
        factor: 1.5,
        slack: 5.0,
    };

    /// Checks the requests received by one incarnation of an upstream, in arrival order. A box counts as notified
    /// from its first request whose response advertises a limit.
    ///
    /// # Errors
    ///
    /// Returns the first window with more requests than its limit permits.
    pub fn check(&self, arrivals: &[Arrival]) -> Result<(), RateLimitViolation> {
        let mut notified_at_ms = HashMap::new();
        for arrival in arrivals.iter().filter(|a| a.advertised_per_s.is_some()) {
            notified_at_ms
                .entry(arrival.sender.clone())
                .or_insert(arrival.at_ms);
        }
        self.check_with_notice_times(arrivals, &notified_at_ms)
    }

    /// Like [`check`](Self::check), with known notification times for each box.
    ///
    /// # Errors
    ///
    /// Returns the first window with more requests than its limit permits.
    pub fn check_with_notice_times(
        &self,
        arrivals: &[Arrival],
        notified_at_ms: &HashMap<Name, u64>,
    ) -> Result<(), RateLimitViolation> {
        let Some(first) = arrivals
            .iter()
            .find(|arrival| arrival.advertised_per_s.is_some())
        else {
            return Ok(());
        };
        let counted = self.counted(arrivals, notified_at_ms);
        let mut start = 0;
        for (end, (at_ms, _)) in counted.iter().enumerate() {
            while counted[start].0 + self.window_ms <= *at_ms {
                start += 1;
            }
            if *at_ms < first.at_ms + self.settling_ms {
                continue;
            }
            let window = &counted[start..=end];
            let highest_per_s = window.iter().map(|(_, per_s)| *per_s).fold(0.0, f64::max);
            let window_s = self.window_ms as f64 / 1_000.0;
            let allowed = self.factor * highest_per_s * window_s + self.slack;
            if window.len() as f64 > allowed {
                return Err(RateLimitViolation {
                    at_ms: *at_ms,
                    requests: window.len(),
                    allowed,
                });
            }
        }
        Ok(())
    }

    /// Returns the arrival time and advertised limit of each counted request: one whose response advertises a limit and
    /// whose sender was notified at least `notice_grace_ms` earlier.
    fn counted(
        &self,
        arrivals: &[Arrival],
        notified_at_ms: &HashMap<Name, u64>,
    ) -> Vec<(u64, f64)> {
        let counts = |arrival: &Arrival| {
            let notified_at_ms = notified_at_ms.get(&arrival.sender)?;
            let per_s = arrival.advertised_per_s?;
            (notified_at_ms + self.notice_grace_ms <= arrival.at_ms)
                .then_some((arrival.at_ms, per_s))
        };
        arrivals.iter().filter_map(counts).collect()
    }
}
