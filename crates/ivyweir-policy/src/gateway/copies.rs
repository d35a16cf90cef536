//! Who gives a whole copy of a topic's records to a box that has none.
//!
//! A box that gave a long list to all boxes of its hall at once would be busy for seconds, and be taken to be
//! lost meanwhile. So a box gives a few copies at a time, and names boxes that have got one to the others: the
//! number of those that have theirs multiplies with each round.

use std::collections::{HashMap, HashSet};

use crate::Name;

/// Copies that a box gives at a time: more would share its link.
const AT_ONCE: usize = 3;
/// Time after which a copy that was not confirmed counts no more.
const GIVING_MS: u64 = 1_500;

/// Who gives a box its copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Giver {
    /// The box that was asked.
    Asked,
    /// A box that has got its own.
    Other(Name),
    /// Nobody yet: all are busy.
    Later,
}

/// Copies that are under way, and boxes that have got theirs.
#[derive(Debug, Default)]
pub struct Copies {
    /// By the box that gets one.
    under_way: HashMap<Name, Copy>,
    holders: HashSet<Name>,
}

#[derive(Debug)]
struct Copy {
    /// None where this box gives it.
    giver: Option<Name>,
    since_ms: u64,
}

impl Copies {
    /// Finds who gives `asker` its copy. One that was sent to another box before found that that has none.
    pub fn ask(&mut self, asker: &Name, now_ms: u64) -> Giver {
        self.holders.remove(asker);
        if let Some(Copy {
            giver: Some(giver), ..
        }) = self.under_way.remove(asker)
        {
            self.holders.remove(&giver);
        }
        self.under_way
            .retain(|_, copy| now_ms < copy.since_ms + GIVING_MS);
        let giver = if self.given_by(None) < AT_ONCE {
            None
        } else {
            let free = self
                .holders
                .iter()
                .filter(|h| self.given_by(Some(h)) < AT_ONCE);
            match free.min_by_key(|holder| (self.given_by(Some(holder)), (*holder).clone())) {
                Some(holder) => Some(holder.clone()),
                None => return Giver::Later,
            }
        };
        let copy = Copy {
            giver: giver.clone(),
            since_ms: now_ms,
        };
        self.under_way.insert(asker.clone(), copy);
        giver.map_or(Giver::Asked, Giver::Other)
    }

    /// Takes in that a box has got its copy.
    pub fn got(&mut self, name: &Name) {
        if self.under_way.remove(name).is_some() {
            self.holders.insert(name.clone());
        }
    }

    fn given_by(&self, giver: Option<&Name>) -> usize {
        let copies = self.under_way.values();
        copies.filter(|copy| copy.giver.as_ref() == giver).count()
    }
}
