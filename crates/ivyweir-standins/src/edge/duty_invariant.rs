//! Checks the guarantees for duties that run on one box at a time, using only the calls that reach the platform.

use std::collections::{HashMap, VecDeque};
use std::fmt;

use ivyweir_policy::Name;

/// A call made by a duty, as received by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyCall {
    /// Arrival time in milliseconds; any clock origin.
    pub at_ms: u64,
    /// The box that sent the call.
    pub sender: Name,
    /// The fencing token of the call.
    pub fence: u64,
    /// The subject of the call. Calls with different subjects are checked independently, except that the reports of a
    /// usage window are compared across all calls.
    pub subject: String,
    /// For usage reports, the window and the reported content.
    pub report: Option<(u64, String)>,
    /// Whether the call is exempt from the ordering checks, because its sender had just been suspended or the
    /// platform was faulty.
    pub is_exempt_from_order: bool,
}

/// Requires that one box at a time performs a duty and that reports are never corrected.
#[derive(Debug, Clone, Copy)]
pub struct DutyInvariant {
    /// Period in milliseconds within which a box must not act again after another box acted in between.
    pub lease_ms: u64,
}

/// A call that violates the invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyViolation {
    /// Description of the violation.
    pub rule: &'static str,
    /// The call that violates it.
    pub call: DutyCall,
}

impl fmt::Display for DutyViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}", self.rule, self.call)
    }
}

/// State of the checks for one subject.
#[derive(Debug, Default)]
struct Subject {
    holder_of_fence: HashMap<u64, Name>,
    highest_fence: u64,
    /// Times and senders of the calls within the lease period.
    recent_calls: VecDeque<(u64, Name)>,
}

impl DutyInvariant {
    /// Checks calls in arrival order.
    ///
    /// # Errors
    ///
    /// Returns the first call that violates the invariant.
    pub fn check(&self, calls: &[DutyCall]) -> Result<(), DutyViolation> {
        let mut subjects: HashMap<&str, Subject> = HashMap::new();
        let mut reports: HashMap<u64, &str> = HashMap::new();
        for call in calls {
            let violation = |rule| DutyViolation {
                rule,
                call: call.clone(),
            };
            if let Some((window, content)) = &call.report
                && *reports.entry(*window).or_insert(content) != content.as_str()
            {
                return Err(violation("reports for the same window differ"));
            }
            let subject = subjects.entry(&call.subject).or_default();
            self.check_call(subject, call).map_err(violation)?;
        }
        Ok(())
    }

    fn check_call(&self, subject: &mut Subject, call: &DutyCall) -> Result<(), &'static str> {
        let fence_holder = subject.holder_of_fence.entry(call.fence);
        if *fence_holder.or_insert_with(|| call.sender.clone()) != call.sender {
            return Err("two boxes used the same fencing token");
        }
        if call.is_exempt_from_order {
            return Ok(());
        }
        if call.fence < subject.highest_fence {
            return Err("fencing token is lower than that of an earlier call");
        }
        subject.highest_fence = call.fence;
        let since_ms = call.at_ms.saturating_sub(self.lease_ms);
        subject.recent_calls.retain(|(at_ms, _)| *at_ms > since_ms);
        let first_own = subject
            .recent_calls
            .iter()
            .position(|(_, sender)| *sender == call.sender);
        let last_other = subject
            .recent_calls
            .iter()
            .rposition(|(_, sender)| *sender != call.sender);
        if first_own
            .zip(last_other)
            .is_some_and(|(own, other)| own < other)
        {
            return Err("box acted again within the lease period after another box acted");
        }
        subject
            .recent_calls
            .push_back((call.at_ms, call.sender.clone()));
        Ok(())
    }
}
