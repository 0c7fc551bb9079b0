//! Creation and tracking of orders to the minion.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::SidecarSettings;
use super::action::{CallNumber, HoldCall, OrderAnswer, RunKey, StartCall, StopCall};
use super::fence_step::FenceStep;
use super::fencing_token::FencingToken;
use super::minion_state::MinionState;
use super::response_times::ResponseTimes;
use super::run::Run;
use crate::dispatch::run_timing::clock_drift;
use crate::dispatch::units::millis;

/// How long a start order may wait in this process until it is sent. Well within a lease, on whose
/// end a report that the run is lost may rest.
const START_SEND_TIME_MAX: Duration = Duration::from_millis(200);

/// An order that was sent and has no answer yet.
#[derive(Debug)]
struct OrderInFlight {
    run: RunKey,
    fencing_token: u64,
    sent_at: Instant,
    /// Whether the minion has restarted since. An answer may still come from the incarnation to
    /// which the order was sent.
    is_outdated: bool,
}

/// An order that was answered or timed out.
#[derive(Debug)]
pub(super) struct CompletedOrder {
    pub(super) run: RunKey,
    /// The token that the order carried.
    pub(super) fencing_token: u64,
    /// Whether the answer may come from an earlier incarnation of the minion.
    pub(super) is_outdated: bool,
}

/// Numbers and fences the orders to the minion, and tracks those without an answer.
#[derive(Debug)]
pub(super) struct OrderTracker {
    fencing_token: FencingToken,
    last_call: CallNumber,
    in_flight: HashMap<CallNumber, OrderInFlight>,
    /// The runs whose stop order had no answer, and when it is repeated; sorted, as the stop orders
    /// are sent in this order.
    stop_retries: BTreeMap<RunKey, Instant>,
    response_times: ResponseTimes,
}

impl OrderTracker {
    pub(super) fn new(fencing_token: u64) -> Self {
        Self {
            fencing_token: FencingToken::new(fencing_token),
            last_call: 0,
            in_flight: HashMap::new(),
            stop_retries: BTreeMap::new(),
            response_times: ResponseTimes::default(),
        }
    }

    /// Creates an order to start a run, or returns `None` while the minion's clock is unknown. The
    /// order renews the lease only if `renews` is set.
    pub(super) fn start(
        &mut self,
        run: &mut Run,
        minion: &mut MinionState,
        renews: bool,
        settings: &SidecarSettings,
        now: Instant,
    ) -> Option<StartCall> {
        let renewed_end_ms = minion.new_lease_end_ms(settings, now)?;
        let lease_end_ms = if renews {
            minion.extend_lease(renewed_end_ms);
            renewed_end_ms
        } else {
            renewed_end_ms.min(minion.lease_end_ms())
        };
        run.order_count += 1;
        let call = self.next_call();
        self.record_sent(call, run.key, now);
        Some(StartCall {
            call,
            run: run.key,
            spec: run.spec.clone(),
            lease_end_ms,
            fencing_token: self.fencing_token.value(),
            started_unix_ms: minion.started_unix_ms,
            instance: minion.profile.instance.clone(),
            timeout: self.response_times.timeout(now),
            send_until: now + START_SEND_TIME_MAX,
        })
    }

    /// Creates an order to stop a run.
    pub(super) fn stop(&mut self, run: RunKey, minion: &MinionState, now: Instant) -> StopCall {
        let call = self.next_call();
        self.record_sent(call, run, now);
        StopCall {
            call,
            run,
            fencing_token: self.fencing_token.value(),
            instance: minion.profile.instance.clone(),
            timeout: self.response_times.timeout(now),
        }
    }

    /// Creates a call that asks which runs exist and, if `renews` is set, renews the lease.
    ///
    /// Unless the incarnation is confirmed, the call acknowledges no ends: another one may be there,
    /// which would forget its own.
    pub(super) fn hold(
        &mut self,
        minion: &mut MinionState,
        is_confirmed: bool,
        renews: bool,
        wait: Duration,
        settings: &SidecarSettings,
        now: Instant,
    ) -> HoldCall {
        let lease_end_ms = minion
            .new_lease_end_ms(settings, now)
            .filter(|_| renews)
            .inspect(|end_ms| minion.extend_lease(*end_ms));
        // The first call asks for the clock, so the minion answers it at once.
        let wait = if minion.is_clock_known() {
            wait
        } else {
            Duration::ZERO
        };
        HoldCall {
            call: self.next_call(),
            lease_end_ms,
            fencing_token: self.fencing_token.value(),
            acknowledged_end: if is_confirmed {
                minion.acknowledged_end
            } else {
                0
            },
            wait_ms: millis(wait),
            started_unix_ms: minion.started_unix_ms,
            instance: minion.profile.instance.clone(),
            timeout: self.response_times.timeout(now) + clock_drift(wait),
        }
    }

    /// Removes an order that was answered or timed out and returns it, or `None` if the order is not
    /// tracked.
    pub(super) fn complete(
        &mut self,
        call: CallNumber,
        answer: &OrderAnswer,
        now: Instant,
    ) -> Option<CompletedOrder> {
        let OrderInFlight {
            run,
            fencing_token,
            sent_at,
            is_outdated,
        } = self.in_flight.remove(&call)?;
        match answer {
            OrderAnswer::NoAnswer | OrderAnswer::NotSent | OrderAnswer::Unchecked => {
                self.response_times.record_loss(sent_at);
            }
            // Says nothing about the minion.
            OrderAnswer::Overdue => {}
            _ => {
                let response_time = now.saturating_duration_since(sent_at);
                self.response_times.record_response(response_time);
            }
        }
        Some(CompletedOrder {
            run,
            fencing_token,
            is_outdated,
        })
    }

    /// Returns the response times of the minion, for the results of hold calls.
    pub(super) fn response_times_mut(&mut self) -> &mut ResponseTimes {
        &mut self.response_times
    }

    /// Schedules another stop order for a run.
    pub(super) fn retry_stop_at(&mut self, run: RunKey, at: Instant) {
        self.stop_retries.insert(run, at);
    }

    /// Removes and returns the runs whose stop order is due again.
    pub(super) fn take_due_stop_retries(&mut self, now: Instant) -> Vec<RunKey> {
        self.stop_retries
            .extract_if(.., |_, at| *at <= now)
            .map(|(run, _)| run)
            .collect()
    }

    /// Handles the refusal of a call with the token `refused`: raises the token, unless that has been
    /// done since the call was made.
    pub(super) fn handle_refused_token(&mut self, refused: u64) -> FenceStep {
        let step = self.fencing_token.handle_refusal(refused);
        match step {
            FenceStep::AlreadyRaised => {}
            FenceStep::Raised => {
                log::warn!(fencing_token = self.fencing_token.value(); "fencing token raised");
            }
            FenceStep::Exhausted => {
                log::error!(fencing_token = refused; "no higher fencing token is left");
            }
        }
        step
    }

    /// Records that the minion has accepted the fencing token.
    pub(super) fn record_accepted_token(&mut self) {
        self.fencing_token.record_acceptance();
    }

    /// Handles a restart of the minion: raises the fencing token, and marks the orders in flight.
    ///
    /// The new incarnation knows no token; once a call has brought it this one, it refuses late
    /// orders to its predecessor.
    pub(super) fn begin_incarnation(&mut self) {
        for order in self.in_flight.values_mut() {
            order.is_outdated = true;
        }
        self.fencing_token.raise();
        log::info!(fencing_token = self.fencing_token.value(); "fencing token raised after minion restart");
    }

    /// Raises the fencing token after orders without an answer whose runs are over by their lease, so
    /// that the minion refuses those that it has yet to carry out.
    pub(super) fn fence_unanswered_orders(&mut self) {
        self.fencing_token.raise();
    }

    /// Discards all orders to an incarnation of the minion that has ended.
    pub(super) fn clear(&mut self) {
        self.in_flight.clear();
        self.stop_retries.clear();
        self.response_times = ResponseTimes::default();
    }

    fn record_sent(&mut self, call: CallNumber, run: RunKey, now: Instant) {
        let order = OrderInFlight {
            run,
            fencing_token: self.fencing_token.value(),
            sent_at: now,
            is_outdated: false,
        };
        self.in_flight.insert(call, order);
    }

    fn next_call(&mut self) -> CallNumber {
        self.last_call += 1;
        self.last_call
    }
}
