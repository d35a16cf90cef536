//! Retry budgets and jittered retry-after delays.

use crate::hash::mix;

/// Credit per first attempt, in thousandths of a retry: 100 allows one retry per ten requests.
const DEPOSIT_PERMILLE: u32 = 100;
const RETRY_COST_PERMILLE: u32 = 1_000;
const MAX_BALANCE_PERMILLE: u32 = 20_000;

/// Limits retries to one per ten requests, plus a reserve of at most 20 retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance_permille: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_permille: MAX_BALANCE_PERMILLE,
        }
    }
}

impl RetryBudget {
    /// Credits the budget for a first attempt.
    pub fn deposit(&mut self) {
        self.balance_permille =
            (self.balance_permille + DEPOSIT_PERMILLE).min(MAX_BALANCE_PERMILLE);
    }

    /// Takes one retry from the budget. Returns `false` if the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        match self.balance_permille.checked_sub(RETRY_COST_PERMILLE) {
            Some(remaining) => {
                self.balance_permille = remaining;
                true
            }
            None => false,
        }
    }
}

/// Returns a retry delay, spread uniformly from half of `base_ms` to one and a half times.
///
/// `seed` must differ between requests, so that callers refused together do not retry together.
pub fn jittered_retry_after_ms(base_ms: u64, seed: u64) -> u64 {
    let base_ms = base_ms.max(MIN_RETRY_AFTER_MS);
    base_ms / 2 + mix(seed, base_ms) % base_ms
}

const MIN_RETRY_AFTER_MS: u64 = 100;
