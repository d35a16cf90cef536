//! Choice of the box that serves a request on behalf of one without a path to the upstreams.
//!
//! A box does not know which others have paths, so it learns from their answers. One that cannot serve either names
//! others that it knows to be able to, and so does one that asks. While boxes that it does not know accept its requests,
//! a box spreads them over all. Otherwise it prefers boxes that served a request recently, and of two of them the one
//! that serves fewer requests; now and then it tries another one.

use std::collections::HashMap;

use crate::Name;
use crate::hash::mix;

/// Time for which a box counts as able to serve after it accepted a request.
const KNOWN_GOOD_MS: u64 = 2_000;
/// One in this many requests is given to a box that is not known to be able to serve.
const EXPLORE_ONE_IN: u64 = 8;
/// Share of unknown boxes that decline up to which they are asked as often as others.
const MAX_DECLINED: f64 = 0.6;
/// Weight of the newest answer in that share.
const DECLINED_WEIGHT: f64 = 0.25;
/// Requests of this box at another one from which others are tried too.
const CROWDED_REQUESTS: u32 = 24;

/// Why a box did not serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Declined {
    /// It serves as many requests of other boxes as it accepts.
    Busy,
    /// It has no path to the upstreams either, or cannot serve for another reason that may pass soon.
    Unable,
    /// It does not respond, stops, or does not know this kind of request.
    Unavailable,
}

impl Declined {
    /// Time for which the box is not asked again.
    fn backoff_ms(self) -> u64 {
        match self {
            Self::Busy => 150,
            Self::Unable => 600,
            Self::Unavailable => 2_000,
        }
    }
}

#[derive(Debug, Default)]
struct Helper {
    requests: u32,
    /// Requests of other boxes that it was serving when it last accepted one.
    load: u32,
    accepted_at_ms: Option<u64>,
    backoff_until_ms: u64,
}

/// What this box knows of others as helpers.
#[derive(Debug, Default)]
pub struct Helpers {
    boxes: HashMap<Name, Helper>,
    /// Share of the boxes not known to be able to serve that declined, an exponential moving average.
    unknown_declined: f64,
}

impl Helpers {
    /// Chooses one of `candidates`, other than those in `tried`, for a request with this random seed.
    pub fn choose<'a>(
        &self,
        candidates: &'a [Name],
        tried: &[Name],
        seed: u64,
        now_ms: u64,
    ) -> Option<&'a Name> {
        let is_usable = |name: &&Name| {
            let known = self.boxes.get(*name);
            !tried.contains(name) && known.is_none_or(|known| known.backoff_until_ms <= now_ms)
        };
        let (good, unknown): (Vec<&Name>, Vec<&Name>) = candidates
            .iter()
            .filter(is_usable)
            .partition(|name| self.is_known_good(name, now_ms));
        let is_crowded = good
            .iter()
            .all(|name| self.requests(name) >= CROWDED_REQUESTS);
        // If most boxes can serve, the requests are spread over all of them.
        let explores = is_crowded
            || self.unknown_declined < MAX_DECLINED
            || seed.is_multiple_of(EXPLORE_ONE_IN);
        if !unknown.is_empty() && explores {
            let all = [&good[..], &unknown].concat();
            return pick(&all, mix(seed, 1));
        }
        let first = pick(&good, mix(seed, 2));
        let second = pick(&good, mix(seed, 3));
        let least = first
            .into_iter()
            .chain(second)
            .min_by_key(|name| self.load(name));
        least.or_else(|| pick(&unknown, mix(seed, 1)))
    }

    fn is_known_good(&self, name: &Name, now_ms: u64) -> bool {
        let accepted_at_ms = self.boxes.get(name).and_then(|known| known.accepted_at_ms);
        accepted_at_ms.is_some_and(|at_ms| now_ms < at_ms + KNOWN_GOOD_MS)
    }

    fn load(&self, name: &Name) -> u32 {
        self.boxes.get(name).map_or(0, |known| known.load)
    }

    fn requests(&self, name: &Name) -> u32 {
        self.boxes.get(name).map_or(0, |known| known.requests)
    }

    /// Records that a request is sent to a box.
    pub fn begin_request(&mut self, name: &Name) {
        self.boxes.entry(name.clone()).or_default().requests += 1;
    }

    /// Records the end of a request.
    pub fn end_request(&mut self, name: &Name) {
        if let Some(known) = self.boxes.get_mut(name) {
            known.requests = known.requests.saturating_sub(1);
        }
    }

    /// Records that a box accepted a request, and the number of requests of other boxes that it serves.
    pub fn record_accepted(&mut self, name: &Name, load: u32, now_ms: u64) {
        let known = self.boxes.entry(name.clone()).or_default();
        known.load = load;
        let is_unknown = known.accepted_at_ms.replace(now_ms).is_none();
        known.backoff_until_ms = 0;
        if is_unknown {
            self.record_unknown(0.0);
        }
    }

    /// Records that another box names this one as able to serve. It counts as such until it declines, unless it declined
    /// recently.
    pub fn record_hint(&mut self, name: &Name, now_ms: u64) {
        let known = self.boxes.entry(name.clone()).or_default();
        if known.backoff_until_ms <= now_ms && known.accepted_at_ms.is_none() {
            known.accepted_at_ms = Some(now_ms);
        }
    }

    /// Boxes that are known to be able to serve, at most `limit`, the least loaded first.
    pub fn known_good(&self, limit: usize, now_ms: u64) -> Vec<Name> {
        let good = self.boxes.keys().filter(|name| {
            self.is_known_good(name, now_ms) && self.boxes[*name].backoff_until_ms <= now_ms
        });
        let mut good: Vec<&Name> = good.collect();
        good.sort_by_key(|name| (self.load(name), *name));
        good.into_iter().take(limit).cloned().collect()
    }

    /// Records that a box did not serve a request.
    pub fn record_declined(&mut self, name: &Name, why: Declined, now_ms: u64) {
        let known = self.boxes.entry(name.clone()).or_default();
        known.backoff_until_ms = now_ms + why.backoff_ms();
        if why != Declined::Busy && known.accepted_at_ms.take().is_none() {
            self.record_unknown(1.0);
        }
    }

    fn record_unknown(&mut self, declined: f64) {
        self.unknown_declined += DECLINED_WEIGHT * (declined - self.unknown_declined);
    }

    /// Removes the state of boxes that is not needed any more; returns whether none is left.
    pub fn sweep(&mut self, now_ms: u64) -> bool {
        self.boxes.retain(|_, known| {
            let is_recent = |at_ms: u64| now_ms < at_ms + KNOWN_GOOD_MS;
            known.requests > 0
                || known.backoff_until_ms > now_ms
                || known.accepted_at_ms.is_some_and(is_recent)
        });
        self.boxes.is_empty()
    }
}

fn pick<'a>(names: &[&'a Name], seed: u64) -> Option<&'a Name> {
    let count = names.len() as u64;
    (count > 0).then(|| names[(seed % count) as usize])
}
