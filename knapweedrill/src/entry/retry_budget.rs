//! A bound on retries.

/// How many retries may be saved up.
const BALANCE_MAX_PERMILLE: u32 = 10_000;

/// What one retry costs, in thousandths of a retry.
const RETRY_PERMILLE: u32 = 1_000;

/// Allows retries as a part of the first tries, so that retries never multiply a load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    retry_permille: u32,
    balance_permille: u32,
}

impl RetryBudget {
    /// Creates a budget of `retry_percent` retries for each hundred first tries.
    pub fn new(retry_percent: u32) -> Self {
        Self {
            retry_permille: retry_percent.saturating_mul(10),
            balance_permille: BALANCE_MAX_PERMILLE,
        }
    }

    /// Counts a first try.
    pub fn first_try(&mut self) {
        let balance_permille = self.balance_permille.saturating_add(self.retry_permille);
        self.balance_permille = balance_permille.min(BALANCE_MAX_PERMILLE);
    }

    /// Takes a retry from the budget, and returns whether there was one left.
    pub fn try_retry(&mut self) -> bool {
        let Some(balance_permille) = self.balance_permille.checked_sub(RETRY_PERMILLE) else {
            return false;
        };
        self.balance_permille = balance_permille;
        true
    }
}
