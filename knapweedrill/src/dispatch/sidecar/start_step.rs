//! What follows from the answer to a start order.

use std::time::{Duration, Instant};

use super::action::OrderAnswer;
use super::run::Run;
use crate::dispatch::message::RefusalCause;

/// Number of start orders for a run before the sidecar gives up.
const START_ORDER_COUNT_MAX: u32 = 16;

/// Time from the first start order of a run after which an order without an answer is not
/// repeated, so that the task is placed elsewhere.
const START_ANSWER_TIME_MAX: Duration = Duration::from_millis(160);

/// The next step for a run after an answer to its start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartStep {
    /// The minion has accepted the run.
    Accepted,
    /// An earlier order without an answer was carried out; hold calls report the rest.
    AcceptedEarlier,
    /// The minion has seen a later run of the task, so a higher run number is ordered.
    Renumber,
    /// The order is sent again.
    Repeat,
    /// The order is sent again with a higher fencing token.
    RaiseToken,
    /// The run may have been started and is given up.
    Stop,
    /// The addressed incarnation of the minion is gone.
    Missing,
    /// The minion can't run the task.
    Failed,
    /// The run was not started, and no order of it can start it any more.
    Refused(RefusalCause),
}

impl Run {
    /// Returns whether its deferred start order comes too late, so that the task is placed
    /// elsewhere.
    pub(super) fn has_missed_order(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.ordered_at);
        self.awaits_order() && age >= START_ANSWER_TIME_MAX
    }

    /// Decides the next step after an answer to the start order of this run. An order without an
    /// answer has to be counted before.
    pub(super) fn step_after(&self, answer: OrderAnswer, now: Instant) -> StartStep {
        let all_answered = self.unanswered_count == 0;
        let can_repeat = self.order_count < START_ORDER_COUNT_MAX;
        let age = now.saturating_duration_since(self.ordered_at);
        match answer {
            OrderAnswer::Accepted => StartStep::Accepted,
            OrderAnswer::Superseded if !all_answered => StartStep::AcceptedEarlier,
            OrderAnswer::Superseded if can_repeat => StartStep::Renumber,
            OrderAnswer::LeaseExpired if can_repeat => StartStep::Repeat,
            OrderAnswer::Fenced if can_repeat => StartStep::RaiseToken,
            OrderAnswer::NoAnswer | OrderAnswer::Unchecked
                if can_repeat && age < START_ANSWER_TIME_MAX =>
            {
                StartStep::Repeat
            }
            OrderAnswer::OtherIncarnation => StartStep::Missing,
            _ if !all_answered => StartStep::Stop,
            OrderAnswer::NoRoom => StartStep::Refused(RefusalCause::NoRoom),
            OrderAnswer::Malformed => StartStep::Failed,
            OrderAnswer::Unhealthy => StartStep::Refused(RefusalCause::Unhealthy),
            OrderAnswer::NoAnswer => StartStep::Stop,
            OrderAnswer::Superseded
            | OrderAnswer::LeaseExpired
            | OrderAnswer::Fenced
            | OrderAnswer::NotSent
            | OrderAnswer::Unchecked
            | OrderAnswer::Overdue => StartStep::Refused(RefusalCause::NoMinion),
        }
    }
}
