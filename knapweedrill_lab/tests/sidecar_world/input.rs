use std::time::Instant;

use knapweedrill::dispatch::message::{StampMs, StartOrder};
use knapweedrill::dispatch::sidecar::{
    CallNumber, HoldAnswer, HoldFailure, MinionHeartbeat, OrderAnswer, Sidecar,
};

/// Something that arrives at the sidecar process.
#[derive(Debug, Clone)]
pub(super) enum Input {
    StartAnswered(CallNumber, OrderAnswer, Option<StampMs>),
    StopAnswered(CallNumber, OrderAnswer, Option<StampMs>),
    HoldAnswered(CallNumber, HoldAnswer),
    HoldFailed(CallNumber, HoldFailure),
    Heartbeat(MinionHeartbeat),
    /// The deregistration of the minion with this instance name.
    Left(String),
    /// A sign of life of an entry, with the time of the stamp that it echoes.
    Alive(u64, Instant),
    /// A start order of an entry, with the time of the stamp that it carries.
    Start(u64, StartOrder, Instant),
    /// A stop of the placement with this index.
    Stop(usize),
    Disconnected(u64),
}

impl Input {
    /// Returns whether an entry has sent it; such messages arrive in order.
    pub(super) fn is_of_entry(&self) -> bool {
        match self {
            Self::Alive(..) | Self::Start(..) | Self::Stop(_) | Self::Disconnected(_) => true,
            Self::StartAnswered(..)
            | Self::StopAnswered(..)
            | Self::HoldAnswered(..)
            | Self::HoldFailed(..)
            | Self::Heartbeat(_)
            | Self::Left(_) => false,
        }
    }

    /// Passes the input to the sidecar. Stops and ends of sessions need the placements, and are
    /// handled by the world.
    pub(super) fn deliver_to(self, sidecar: &mut Sidecar, now: Instant) {
        match self {
            Self::StartAnswered(call, answer, clock_ms) => {
                sidecar.start_answered(call, answer, clock_ms, now);
            }
            Self::StopAnswered(call, answer, clock_ms) => {
                sidecar.stop_answered(call, answer, clock_ms, now);
            }
            Self::HoldAnswered(call, answer) => sidecar.hold_answered(call, Some(answer), now),
            Self::HoldFailed(call, failure) => sidecar.hold_failed(call, failure, now),
            Self::Heartbeat(heartbeat) => {
                sidecar.heartbeat_received(heartbeat, now);
            }
            Self::Left(instance) => sidecar.minion_left(&instance, now),
            Self::Alive(entry, at) => sidecar.entry_alive(entry, at),
            Self::Start(entry, order, stamped_at) => {
                sidecar.start(entry, order, stamped_at, now);
            }
            Self::Stop(_) | Self::Disconnected(_) => {}
        }
    }
}
