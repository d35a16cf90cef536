//! What upstreams were promised, judged by what reached them and by nothing that a box says of itself.

use std::collections::HashMap;
use std::fmt;

use ivyweir_policy::Name;

/// A request as it reached an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When, in milliseconds of any clock.
    pub at_ms: u64,
    /// The box that sent it.
    pub sender: Name,
    /// The limit that its answer names, in requests a second.
    pub advertised_per_s: Option<f64>,
}

/// That an upstream gets no more than the limit it names, from the boxes that it told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitInvariant {
    /// Time since an upstream first named a limit from which windows count, in milliseconds.
    pub settling_ms: u64,
    /// Time since a box was told from which its requests count, in milliseconds.
    pub notice_grace_ms: u64,
    /// Length of a window in milliseconds.
    pub window_ms: u64,
    /// How many times the limit may reach it within a window.
    pub factor: f64,
    /// Requests that may reach it besides.
    pub slack: f64,
}

/// Requests of a window beyond what a limit allows.
#[derive(Debug, Clone, PartialEq)]
pub struct RateLimitViolation {
    /// When the window ended, in milliseconds.
    pub at_ms: u64,
    /// Requests in it from boxes that had been told.
    pub requests: usize,
    /// How many may have been.
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
    /// What upstreams are promised where boxes are in touch again three seconds after a fault.
    pub const STANDARD: Self = Self {
        settling_ms: 3_000,
        notice_grace_ms: 500,
        window_ms: 4_000,
        factor: 1.5,
        slack: 5.0,
    };

    /// Judges what reached one incarnation of an upstream, in order; the first window that breaks the promise. A box was
    /// told with the first of its requests whose answer names a limit.
    ///
    /// # Errors
    ///
    /// When a window holds more than its limit allows.
    pub fn check(&self, arrivals: &[Arrival]) -> Result<(), RateLimitViolation> {
        let mut notified_at_ms = HashMap::new();
        for arrival in arrivals.iter().filter(|a| a.advertised_per_s.is_some()) {
            notified_at_ms
                .entry(arrival.sender.clone())
                .or_insert(arrival.at_ms);
        }
        self.check_with_notice_times(arrivals, &notified_at_ms)
    }

    /// The same, where it is known when each box was told.
    ///
    /// # Errors
    ///
    /// When a window holds more than its limit allows.
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

    /// Requests that count: their upstream names a limit, and had told it to the box that sent them. Each with when it
    /// came and that limit.
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
