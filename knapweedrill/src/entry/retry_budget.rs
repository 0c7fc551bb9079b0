//! A retry budget.

/// The largest balance, in thousandths of a retry.
const BALANCE_MAX_PERMILLE: u32 = 10_000;

/// The cost of one retry, in thousandths of a retry.
const RETRY_PERMILLE: u32 = 1_000;

/// Limits retries to a share of the first attempts, so that retries do not amplify an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    retry_permille: u32,
    balance_permille: u32,
}

impl RetryBudget {
    /// Creates a full budget that earns `retry_percent` retries per hundred first attempts.
    pub fn new(retry_percent: u32) -> Self {
        Self {
            retry_permille: retry_percent.saturating_mul(10),
            balance_permille: BALANCE_MAX_PERMILLE,
        }
    }

    /// Credits the budget for a first attempt.
    pub fn record_first_attempt(&mut self) {
        let balance_permille = self.balance_permille.saturating_add(self.retry_permille);
        self.balance_permille = balance_permille.min(BALANCE_MAX_PERMILLE);
    }

    /// Takes one retry from the budget, and returns whether the balance allowed it.
    pub fn try_retry(&mut self) -> bool {
        let Some(balance_permille) = self.balance_permille.checked_sub(RETRY_PERMILLE) else {
            return false;
        };
        self.balance_permille = balance_permille;
        true
    }
}
