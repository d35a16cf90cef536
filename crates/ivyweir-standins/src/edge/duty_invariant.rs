//! What a platform is promised of duties that one box does for all, judged by the calls that reach it.

use std::collections::{HashMap, VecDeque};
use std::fmt;

use ivyweir_policy::Name;

/// A duty's call as it reached the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyCall {
    /// When, in milliseconds of any clock.
    pub at_ms: u64,
    /// The box that sent it.
    pub sender: Name,
    /// The fence that it carries.
    pub fence: u64,
    /// What it is about: duties about different subjects do not bind each other.
    pub subject: String,
    /// Of a report, its window and what it says of it.
    pub report: Option<(u64, String)>,
    /// Whether its order does not count: its sender had just been suspended, or the platform was at fault.
    pub is_exempt_from_order: bool,
}

/// That one box at a time does a duty, and that a report is never corrected.
#[derive(Debug, Clone, Copy)]
pub struct DutyInvariant {
    /// Time in which a box may not act again after another one acted in between, in milliseconds.
    pub lease_ms: u64,
}

/// How the promise was violation, by which call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyViolation {
    /// How.
    pub rule: &'static str,
    /// The call.
    pub call: DutyCall,
}

impl fmt::Display for DutyViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}", self.rule, self.call)
    }
}

/// What was seen of a subject.
#[derive(Debug, Default)]
struct Subject {
    holder_of_fence: HashMap<u64, Name>,
    highest_fence: u64,
    /// Who acted lately, and when.
    recent_calls: VecDeque<(u64, Name)>,
}

impl DutyInvariant {
    /// Judges calls in the order in which they arrived.
    ///
    /// # Errors
    ///
    /// The first call that breaks the promise.
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
                return Err(violation("two reports of a window differ"));
            }
            let subject = subjects.entry(&call.subject).or_default();
            self.check_call(subject, call).map_err(violation)?;
        }
        Ok(())
    }

    fn check_call(&self, subject: &mut Subject, call: &DutyCall) -> Result<(), &'static str> {
        let fence_holder = subject.holder_of_fence.entry(call.fence);
        if *fence_holder.or_insert_with(|| call.sender.clone()) != call.sender {
            return Err("two boxes have the same fence");
        }
        if call.is_exempt_from_order {
            return Ok(());
        }
        if call.fence < subject.highest_fence {
            return Err("a lower fence follows a higher one");
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
            return Err("a box acts again after another one within the lease");
        }
        subject
            .recent_calls
            .push_back((call.at_ms, call.sender.clone()));
        Ok(())
    }
}
