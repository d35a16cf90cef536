//! Retry budgets and spread-out hints when to come back.

use crate::rank::mix;

/// Share of requests that may be retried, in thousandths.
const DEPOSIT_PERMILLE: u32 = 100;
const RETRY_COST_PERMILLE: u32 = 1_000;
const MAX_BALANCE_PERMILLE: u32 = 20_000;

/// Allows one retry for every ten requests, with a small reserve.
#[derive(Debug, Clone)]
pub struct Budget {
    balance_permille: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance_permille: MAX_BALANCE_PERMILLE,
        }
    }
}

impl Budget {
    /// Counts a first try.
    pub fn deposit(&mut self) {
        self.balance_permille =
            (self.balance_permille + DEPOSIT_PERMILLE).min(MAX_BALANCE_PERMILLE);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn withdraw(&mut self) -> bool {
        match self.balance_permille.checked_sub(RETRY_COST_PERMILLE) {
            Some(rest) => {
                self.balance_permille = rest;
                true
            }
            None => false,
        }
    }
}

/// When to come back: around `base_ms`, spread from half of it to one and a half times.
///
/// `seed` differs between requests, so that callers refused together do not return together.
pub fn hint_ms(base_ms: u64, seed: u64) -> u64 {
    let base_ms = base_ms.max(MIN_HINT_MS);
    base_ms / 2 + mix(seed, base_ms) % base_ms
}

const MIN_HINT_MS: u64 = 100;
