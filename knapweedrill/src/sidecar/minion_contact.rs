//! What a sidecar knows of its minion.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill_derive::{message, value};

use crate::common::ServiceName;
use crate::minion::MinionState;

/// What a minion tells its sidecar about itself.
#[message]
pub struct MinionNotice {
    /// The service that the minion belongs to.
    pub service: ServiceName,
    /// The address at which it takes tasks.
    pub address: SocketAddr,
    /// How many tasks it runs at once.
    pub slots: u32,
    /// The speed that it claims, in per cent of that of a minion of speed 1.
    pub speed_hint_percent: u32,
    /// Whether it takes new work.
    pub state: MinionState,
}

/// The minion of a sidecar, as far as the sidecar has heard of it.
#[value]
#[derive(Default)]
pub struct MinionContact {
    notice: Option<MinionNotice>,
    heard_at: Option<Instant>,
    unreachable_until: Option<Instant>,
    state: Option<MinionState>,
}

impl MinionContact {
    /// How long no task is started after a failed connection to the minion.
    const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

    /// Takes in what the minion says.
    pub fn heard(&mut self, notice: MinionNotice, now: Instant) {
        self.notice = Some(notice);
        self.heard_at = Some(now);
    }

    /// Notes that no connection to the minion came about.
    pub fn unreachable(&mut self, now: Instant) {
        self.unreachable_until = Some(now + Self::UNREACHABLE_PAUSE);
    }

    /// Returns what the minion said last.
    pub fn notice(&self) -> Option<&MinionNotice> {
        self.notice.as_ref()
    }

    /// Returns the state; `silence` is how long the minion may say nothing.
    pub fn state(&self, silence: Duration, now: Instant) -> MinionState {
        let Some(notice) = &self.notice else {
            return MinionState::Absent;
        };
        if self.unreachable_until.is_some_and(|until| now < until) {
            return MinionState::Absent;
        }
        let is_silent = self
            .heard_at
            .is_none_or(|heard| now.duration_since(heard) > silence);
        match notice.state {
            MinionState::Leaving => MinionState::Leaving,
            _ if is_silent => MinionState::Absent,
            state => state,
        }
    }

    /// Returns the state if it differs from that of the last call.
    pub fn changed_state(&mut self, silence: Duration, now: Instant) -> Option<MinionState> {
        let state = self.state(silence, now);
        let is_changed = self.state != Some(state);
        self.state = Some(state);
        is_changed.then_some(state)
    }
}
