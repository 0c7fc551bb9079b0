use knapweedrill::dispatch::message::StampMs;
use knapweedrill::dispatch::sidecar::{CallNumber, HoldAnswer, HoldFailure, OrderAnswer, Sidecar};
use std::time::Instant;

/// The response of a minion to a call, or the end of the wait for it.
#[derive(Debug)]
pub(super) enum Response {
    Start(CallNumber, OrderAnswer, Option<StampMs>),
    Stop(CallNumber, OrderAnswer, Option<StampMs>),
    Hold(CallNumber, Option<HoldAnswer>),
    HoldFailed(CallNumber, HoldFailure),
}

impl Response {
    pub(super) fn deliver_to(self, sidecar: &mut Sidecar, now: Instant) {
        match self {
            Self::Start(call, answer, clock_ms) => {
                sidecar.start_answered(call, answer, clock_ms, now);
            }
            Self::Stop(call, answer, clock_ms) => {
                sidecar.stop_answered(call, answer, clock_ms, now);
            }
            Self::HoldFailed(call, failure) => sidecar.hold_failed(call, failure, now),
            Self::Hold(call, answer) => sidecar.hold_answered(call, answer, now),
        }
    }
}
