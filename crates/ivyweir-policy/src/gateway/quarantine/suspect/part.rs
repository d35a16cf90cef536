//! Evidence against a part of prompts: how its runs fare, and trials of one that is quarantined.

use super::{QUARANTINE_ENDS, Suspect, SuspectKind};
use crate::gateway::quarantine::Fingerprint;
use crate::gateway::quarantine::completions::Completion;

/// Answers that were completed on a part for which one termination more is needed to quarantine it. One
/// answer that gets through does not clear it.
const COMPLETIONS_PER_END: usize = 3;
/// The same for other upstreams that are running requests with the part.
const RUNNING_PER_END: usize = 2;
/// Time after the last termination under a quarantined part in which no request with it is let through; it doubles with
/// each such request under which another upstream terminates.
const TRIAL_INTERVAL_MS: i64 = 30_000;
/// Largest such time.
const MAX_TRIAL_INTERVAL_MS: i64 = 1_800_000;

impl Suspect {
    /// Records the number of other upstreams at which this box was running a part when one terminated.
    pub(in crate::gateway::quarantine) fn set_running_elsewhere(&mut self, upstreams: usize) {
        self.running_elsewhere = upstreams;
    }

    /// Number of terminations that suffice to quarantine it, if so many could be there by chance.
    pub(in crate::gateway::quarantine) fn needed_ends(&self, by_chance: usize) -> usize {
        QUARANTINE_ENDS.max(by_chance)
            + self.completions.len() / COMPLETIONS_PER_END
            + self.running_elsewhere / RUNNING_PER_END
    }

    /// Whether no answer is known that was completed on a part.
    pub(in crate::gateway::quarantine) fn never_completed(&self) -> bool {
        self.completions.len() == 0
    }

    /// Whether it is to be ruled out that a part was at its terminations by chance.
    pub(in crate::gateway::quarantine) fn may_be_there_by_chance(&self) -> bool {
        self.kind == SuspectKind::Part && !self.is_quarantined_elsewhere
    }

    /// Records that this box quarantined a part. It remains so until answers complete on it, also where runs are
    /// interrupted more often later.
    pub(in crate::gateway::quarantine) fn confirm(&mut self) {
        self.is_quarantined_elsewhere |= self.kind == SuspectKind::Part;
    }

    /// Whether so few answers were completed on a part that it is held to few upstreams, if it was at
    /// this number of terminations.
    pub(in crate::gateway::quarantine) fn is_unproven(&self, ends: usize) -> bool {
        self.completions.len() + self.running_elsewhere < ends * COMPLETIONS_PER_END
    }

    /// Records a completion on a part; returns whether that changed the entry. Where as many as are
    /// kept came after the last termination, further ones tell nothing.
    pub(in crate::gateway::quarantine) fn add_completion(
        &mut self,
        completion: Completion,
    ) -> bool {
        let last_end_ms = self.ends.last().map(|end| end.at_ms);
        let settled_until_ms = self.completions.settled_until_ms();
        if settled_until_ms.is_some_and(|ms| last_end_ms.is_none_or(|end_ms| ms > end_ms)) {
            return false;
        }
        self.completions.add(completion)
    }

    /// Whether a request is the one that was let through last, and nothing was lost since.
    pub(in crate::gateway::quarantine) fn is_on_trial(&self, request: Fingerprint) -> bool {
        let last_ms = self
            .ends
            .iter()
            .chain(&self.unconfirmed)
            .map(|end| end.at_ms)
            .max();
        self.trial
            .is_some_and(|(tried, at_ms)| tried == request && last_ms.is_none_or(|ms| ms < at_ms))
    }

    /// Lets a request through if the last termination is long ago, and so is the last such request or
    /// an answer was completed since it. Returns whether it does.
    pub(in crate::gateway::quarantine) fn take_trial(
        &mut self,
        request: Fingerprint,
        now_ms: i64,
    ) -> bool {
        if self.trial_due_in_ms(now_ms) > 0 {
            return false;
        }
        let is_first = self.unanswered_trial_ms().is_none();
        self.trials = if is_first { 1 } else { self.trials + 1 };
        self.trial = Some((request, now_ms));
        true
    }

    /// When the last request was let through, unless an answer was completed since.
    fn unanswered_trial_ms(&self) -> Option<i64> {
        let trial_ms = self.trial.map(|(_, at_ms)| at_ms)?;
        (self.completions.last_ms() <= Some(trial_ms)).then_some(trial_ms)
    }

    /// Time until the next request is let through.
    pub(in crate::gateway::quarantine) fn trial_due_in_ms(&self, now_ms: i64) -> i64 {
        let last_end_ms = self.ends.last().map(|end| end.at_ms);
        let trial_ms = self.unanswered_trial_ms();
        let interval_ms = match trial_ms {
            Some(_) => TRIAL_INTERVAL_MS << self.trials.min(16),
            None => TRIAL_INTERVAL_MS,
        };
        let interval_ms = interval_ms.min(MAX_TRIAL_INTERVAL_MS);
        let last_ms = last_end_ms.max(trial_ms);
        last_ms.map_or(0, |ms| (ms + interval_ms - now_ms).max(0))
    }
}
