//! The fencing token of a sidecar process.

use std::time::Duration;

use super::fence_step::FenceStep;
use crate::dispatch::units::millis;

/// The number of low bits that hold the tag of a process. With milliseconds of 270 years above them,
/// tokens are exact as floating-point numbers.
const TAG_BITS: u32 = 10;

/// The distance of two tokens with the same tag.
const TOKEN_UNIT: u64 = 1 << TAG_BITS;

/// The first increment after the minion has refused the token, in milliseconds. Doubled with each
/// refusal in a row, since the minion does not tell how much is missing.
const FIRST_STEP_MS: u64 = 10_000;

/// The upper bound of tokens: the largest number that fits into a signed integer.
const TOKEN_MAX: u64 = i64::MAX as u64;

/// Returns the first fencing token of a sidecar process that starts when its machine has run for
/// `uptime`.
///
/// The minion runs on the same machine, so a later process has a higher token, whatever the time of
/// day does. `process_tag` is chosen at random by each process, of which the low 10 bits count. It
/// stays in all tokens of the process, so that another one does not use the same even if the uptime
/// has jumped.
pub fn first_fencing_token(uptime: Duration, process_tag: u16) -> u64 {
    let tag = u64::from(process_tag) % TOKEN_UNIT;
    (millis(uptime).min(TOKEN_MAX >> TAG_BITS) << TAG_BITS) | tag
}

/// The fencing token of this process, which only rises.
#[derive(Debug)]
pub(super) struct FencingToken {
    value: u64,
    /// The next increment after a refusal, in milliseconds.
    step_ms: u64,
}

impl FencingToken {
    pub(super) fn new(value: u64) -> Self {
        Self {
            value,
            step_ms: FIRST_STEP_MS,
        }
    }

    pub(super) fn value(&self) -> u64 {
        self.value
    }

    /// Handles the refusal of a call with the token `refused`.
    pub(super) fn handle_refusal(&mut self, refused: u64) -> FenceStep {
        if refused < self.value {
            return FenceStep::AlreadyRaised;
        }
        let step = self.step_ms.saturating_mul(TOKEN_UNIT);
        let Some(raised) = self.value.checked_add(step).filter(|it| *it <= TOKEN_MAX) else {
            return FenceStep::Exhausted;
        };
        self.value = raised;
        self.step_ms = self.step_ms.saturating_mul(2);
        FenceStep::Raised
    }

    /// Records that the minion has accepted the token.
    pub(super) fn record_acceptance(&mut self) {
        self.step_ms = FIRST_STEP_MS;
    }

    /// Raises the token, so that the minion refuses earlier orders once a call has brought it.
    pub(super) fn raise(&mut self) {
        let raised = self.value.saturating_add(TOKEN_UNIT);
        if raised <= TOKEN_MAX {
            self.value = raised;
        }
    }
}
