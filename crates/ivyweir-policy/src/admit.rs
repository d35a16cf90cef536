//! Admission: a short queue with weighted fair shares, priorities and deadlines.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use crate::Name;

/// Virtual time per unit of weight.
const STRIDE: u64 = 1 << 20;

/// A request that waits for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Unique on this box.
    pub id: u64,
    /// The workspace it counts for.
    pub workspace: Name,
    /// The workspace's weight, 1 or more.
    pub weight: u32,
    /// Higher goes first within the workspace.
    pub priority: u8,
    /// When it is of no use any more, in milliseconds.
    pub deadline_ms: u64,
}

/// Limits of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Tickets of all workspaces.
    pub total: usize,
    /// Longest wait that is still accepted when the queue is entered.
    pub max_wait_ms: u64,
}

/// Why a ticket is not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The queue is full and this workspace has its fair part of it.
    Full,
    /// It would wait too long.
    TooLate,
}

/// The key gives the order of service: fairness first, then priority, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: Reverse<u8>,
    seq: u64,
}

#[derive(Debug, Default)]
struct Share {
    /// Virtual time of this workspace's next service.
    pass: u64,
    waiting: BTreeMap<Rank, Ticket>,
}

/// The queue of one lane.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    shares: HashMap<Name, Share>,
    virtual_time: u64,
    seq: u64,
    len: usize,
}

impl Queue {
    /// An empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            shares: HashMap::new(),
            virtual_time: 0,
            seq: 0,
            len: 0,
        }
    }

    /// Waiting tickets.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a ticket. `wait_ms` is the wait that the caller of this function expects.
    ///
    /// On a full queue, a workspace under its fair part displaces the newest ticket of the one
    /// furthest over its own; the displaced ticket is returned and must be refused.
    ///
    /// # Errors
    ///
    /// [`Denied`]; the ticket has left no trace then.
    pub fn offer(
        &mut self,
        ticket: Ticket,
        now_ms: u64,
        wait_ms: u64,
    ) -> Result<Option<Ticket>, Denied> {
        let left_ms = ticket.deadline_ms.saturating_sub(now_ms);
        if wait_ms > left_ms || wait_ms > self.limits.max_wait_ms {
            return Err(Denied::TooLate);
        }
        let displaced = if self.len >= self.limits.total {
            Some(self.displace_for(&ticket)?)
        } else {
            None
        };
        self.insert(ticket);
        Ok(displaced)
    }

    fn insert(&mut self, ticket: Ticket) {
        self.seq += 1;
        self.len += 1;
        let rank = Rank {
            priority: Reverse(ticket.priority),
            seq: self.seq,
        };
        let now = self.virtual_time;
        let share = self.shares.entry(ticket.workspace.clone()).or_default();
        if share.waiting.is_empty() {
            // An idle workspace saves up no claim.
            share.pass = share.pass.max(now);
        }
        share.waiting.insert(rank, ticket);
    }

    /// Takes out the newest, least urgent ticket of the workspace furthest over its weight.
    fn displace_for(&mut self, ticket: &Ticket) -> Result<Ticket, Denied> {
        let per_weight = |share: &Share, extra: usize| -> u64 {
            let weight = share.waiting.values().next().map_or(1, |t| t.weight);
            ((share.waiting.len() + extra) as u64 * STRIDE) / u64::from(weight.max(1))
        };
        let own = self
            .shares
            .get(&ticket.workspace)
            .map_or(STRIDE / u64::from(ticket.weight.max(1)), |s| {
                per_weight(s, 1)
            });
        let heaviest = self
            .shares
            .iter()
            .filter(|(name, share)| **name != ticket.workspace && !share.waiting.is_empty())
            .max_by_key(|(name, share)| (per_weight(share, 0), Reverse((*name).clone())))
            .filter(|(_, share)| per_weight(share, 0) > own)
            .map(|(name, _)| name.clone())
            .ok_or(Denied::Full)?;
        let share = self.shares.get_mut(&heaviest).expect("the share was found");
        let (_, victim) = share.waiting.pop_last().expect("the share is not empty");
        self.len -= 1;
        Ok(victim)
    }

    /// Takes the next ticket in order, if `can_go` lets it; expired ones come out in `expired`.
    pub fn next(
        &mut self,
        now_ms: u64,
        expired: &mut Vec<Ticket>,
        can_go: impl FnOnce(&Ticket) -> bool,
    ) -> Option<Ticket> {
        self.expire(now_ms, expired);
        let name = self
            .shares
            .iter()
            .filter(|(_, s)| !s.waiting.is_empty())
            .min_by_key(|(name, s)| (s.pass, (*name).clone()))
            .map(|(name, _)| name.clone())?;
        let share = self.shares.get_mut(&name).expect("the share was found");
        let first = share.waiting.first_entry().expect("the share is not empty");
        if !can_go(first.get()) {
            return None;
        }
        let ticket = first.remove();
        self.virtual_time = share.pass;
        share.pass += STRIDE / u64::from(ticket.weight.max(1));
        self.len -= 1;
        Some(ticket)
    }

    /// Takes a ticket out, whoever waits for it having given up.
    pub fn cancel(&mut self, workspace: &str, id: u64) -> bool {
        let Some(share) = self.shares.get_mut(workspace) else {
            return false;
        };
        let before = share.waiting.len();
        share.waiting.retain(|_, t| t.id != id);
        let gone = before - share.waiting.len();
        self.len -= gone;
        gone > 0
    }

    fn expire(&mut self, now_ms: u64, expired: &mut Vec<Ticket>) {
        for share in self.shares.values_mut() {
            let late: Vec<Rank> = share
                .waiting
                .iter()
                .filter(|(_, t)| t.deadline_ms <= now_ms)
                .map(|(rank, _)| *rank)
                .collect();
            self.len -= late.len();
            expired.extend(late.iter().filter_map(|rank| share.waiting.remove(rank)));
        }
    }
}

/// Keeps the pace of service, to tell how long a queue will take.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    interval_ewma_us: u64,
    last_ms: u64,
}

impl Pace {
    /// Counts one ticket served.
    pub fn served(&mut self, now_ms: u64) {
        if self.last_ms > 0 {
            let interval_us = (now_ms - self.last_ms.min(now_ms)).min(MAX_INTERVAL_MS) * 1_000;
            self.interval_ewma_us = (self.interval_ewma_us * 7 + interval_us) / 8;
        }
        self.last_ms = now_ms;
    }

    /// Expected wait behind `ahead` tickets.
    pub fn wait_ms(&self, ahead: usize) -> u64 {
        self.interval_ewma_us * ahead as u64 / 1_000
    }
}

const MAX_INTERVAL_MS: u64 = 1_000;
