//! Liveness of the minion of a sidecar.

use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use super::MinionNotice;
use crate::minion::MinionState;

/// Tracks the notices and the reachability of the minion.
#[value]
#[derive(Default)]
pub struct MinionMonitor {
    notice: Option<MinionNotice>,
    notice_at: Option<Instant>,
    unreachable_until: Option<Instant>,
    /// The state at the previous call of [`Self::take_state_change`].
    state: Option<MinionState>,
}

impl MinionMonitor {
    /// How long the minion counts as absent after a failed connection.
    const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

    /// Records a notice of the minion.
    pub fn record_notice(&mut self, notice: MinionNotice, now: Instant) {
        self.notice = Some(notice);
        self.notice_at = Some(now);
    }

    /// Records that a connection to the minion failed.
    pub fn mark_unreachable(&mut self, now: Instant) {
        self.unreachable_until = Some(now + Self::UNREACHABLE_PAUSE);
    }

    /// Returns the last notice of the minion.
    pub fn notice(&self) -> Option<&MinionNotice> {
        self.notice.as_ref()
    }

    /// Returns the state of the minion.
    ///
    /// A minion that is not leaving counts as absent after `silence_timeout` without a notice.
    pub fn state(&self, silence_timeout: Duration, now: Instant) -> MinionState {
        let Some(notice) = &self.notice else {
            return MinionState::Absent;
        };
        if self.unreachable_until.is_some_and(|until| now < until) {
            return MinionState::Absent;
        }
        let is_silent = self
            .notice_at
            .is_none_or(|notice_at| now.duration_since(notice_at) > silence_timeout);
        match notice.state {
            MinionState::Leaving => MinionState::Leaving,
            _ if is_silent => MinionState::Absent,
            state => state,
        }
    }

    /// Returns the state if it differs from the state at the previous call.
    pub fn take_state_change(
        &mut self,
        silence_timeout: Duration,
        now: Instant,
    ) -> Option<MinionState> {
        let state = self.state(silence_timeout, now);
        let is_changed = self.state != Some(state);
        self.state = Some(state);
        is_changed.then_some(state)
    }
}
