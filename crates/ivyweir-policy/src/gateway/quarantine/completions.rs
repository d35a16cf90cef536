//! Answers that were completed on a part that prompts share.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::Fingerprint;

/// Limit of the completions kept for a part: those after which terminations before them say nothing
/// about it.
pub(super) const MAX_COMPLETIONS: usize = 16;
/// Time for which a box remembers completions on parts that are not suspected.
const RETENTION_MS: i64 = 60_000;
/// Limit of the parts for which a box remembers completions.
const MAX_PARTS: usize = 1_024;
/// Time by which the newest completion has to be later than the newest known one for other boxes to
/// be told of it where they know as many as are kept.
const TOLD_GAP_MS: i64 = 100;

/// An answer that was completed on a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Completion {
    /// When, by the clock of this box.
    pub(super) at_ms: i64,
    /// Identifies it among boxes.
    pub(super) id: u32,
}

/// The newest completions on a part, in order.
#[derive(Debug, Clone, Default)]
pub(super) struct Completions {
    newest: Vec<Completion>,
}

impl Completions {
    pub(super) fn len(&self) -> usize {
        self.newest.len()
    }

    /// Time up to which terminations say nothing about the part: as many answers as are kept were
    /// completed since.
    pub(super) fn settled_until_ms(&self) -> Option<i64> {
        let is_full = self.newest.len() == MAX_COMPLETIONS;
        self.newest.first().map(|c| c.at_ms).filter(|_| is_full)
    }

    pub(super) fn last_ms(&self) -> Option<i64> {
        self.newest.last().map(|completion| completion.at_ms)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Completion> {
        self.newest.iter()
    }

    /// Adds a completion; returns whether other boxes should be told. The order in which completions
    /// are added makes no difference.
    pub(super) fn add(&mut self, completion: Completion) -> bool {
        if let Some(known) = self.newest.iter_mut().find(|c| c.id == completion.id) {
            // Retold, a completion only becomes later, so the earliest time is the closest.
            known.at_ms = known.at_ms.min(completion.at_ms);
            self.newest.sort_unstable_by_key(|c| (c.at_ms, c.id));
            return false;
        }
        let (count, last_ms) = (self.newest.len(), self.last_ms());
        let at = self
            .newest
            .partition_point(|c| (c.at_ms, c.id) < (completion.at_ms, completion.id));
        self.newest.insert(at, completion);
        if count < MAX_COMPLETIONS {
            return true;
        }
        self.newest.remove(0);
        self.last_ms() > last_ms.map(|ms| ms + TOLD_GAP_MS)
    }
}

/// Recent completions on parts that are not suspected, as seen by this box. They tell of a part that
/// is at a termination later whether answers were completed on it before.
#[derive(Debug, Default)]
pub(super) struct ProvenParts {
    parts: HashMap<Fingerprint, Completions>,
}

impl ProvenParts {
    pub(super) fn record(&mut self, part: Fingerprint, completion: Completion) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            let oldest = self.parts.iter().min_by_key(|(_, c)| c.last_ms());
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.parts.remove(&oldest);
            }
        }
        self.parts.entry(part).or_default().add(completion);
    }

    pub(super) fn of(&self, part: Fingerprint) -> Completions {
        self.parts.get(&part).cloned().unwrap_or_default()
    }

    /// Forgets parts whose last completion is long ago.
    pub(super) fn sweep(&mut self, now_ms: i64) {
        self.parts.retain(|_, completions| {
            let last_ms = completions.last_ms();
            last_ms.is_some_and(|ms| now_ms.saturating_sub(ms) < RETENTION_MS)
        });
    }
}

/// A completion as sent to another box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionUpdate {
    /// Time since then, in milliseconds.
    #[serde(rename = "ago")]
    ago_ms: i64,
    /// Identifies it among boxes.
    #[serde(rename = "c")]
    id: u32,
}

impl CompletionUpdate {
    pub(super) fn of(completion: &Completion, now_ms: i64) -> Self {
        Self {
            ago_ms: now_ms.saturating_sub(completion.at_ms),
            id: completion.id,
        }
    }

    pub(super) fn resolve(&self, now_ms: i64) -> Completion {
        Completion {
            at_ms: now_ms.saturating_sub(self.ago_ms),
            id: self.id,
        }
    }
}
