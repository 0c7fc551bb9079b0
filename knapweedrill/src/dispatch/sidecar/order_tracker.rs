//! Creation and tracking of orders to the minion.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::SidecarSettings;
use super::action::{CallNumber, HoldCall, OrderAnswer, RunKey, StartCall, StopCall};
use super::minion_state::MinionState;
use super::response_times::ResponseTimes;
use super::run::Run;
use crate::dispatch::run_timing::clock_drift;
use crate::dispatch::units::millis;

/// Increment of the fencing token when the minion has seen a higher one, in milliseconds. Larger
/// than the expected backward steps of a wall clock.
const FENCING_TOKEN_STEP_MS: u64 = 10_000;

/// An order that was sent and has no answer yet.
#[derive(Debug)]
struct OrderInFlight {
    run: RunKey,
    sent_at: Instant,
    /// Whether the minion has restarted since. An answer may still come from the incarnation to
    /// which the order was sent.
    is_outdated: bool,
}

/// An order that was answered or timed out.
#[derive(Debug)]
pub(super) struct CompletedOrder {
    pub(super) run: RunKey,
    /// Whether the answer may come from an earlier incarnation of the minion.
    pub(super) is_outdated: bool,
}

/// Numbers and fences the orders to the minion, and tracks those without an answer.
#[derive(Debug)]
pub(super) struct OrderTracker {
    fencing_token: u64,
    last_call: CallNumber,
    in_flight: HashMap<CallNumber, OrderInFlight>,
    /// The runs whose stop order had no answer, and when it is repeated.
    stop_retries: HashMap<RunKey, Instant>,
    response_times: ResponseTimes,
}

impl OrderTracker {
    pub(super) fn new(fencing_token: u64) -> Self {
        Self {
            fencing_token,
            last_call: 0,
            in_flight: HashMap::new(),
            stop_retries: HashMap::new(),
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
            fencing_token: self.fencing_token,
            instance: minion.profile.instance.clone(),
            timeout: self.response_times.timeout(now),
        })
    }

    /// Creates an order to stop a run.
    pub(super) fn stop(&mut self, run: RunKey, minion: &MinionState, now: Instant) -> StopCall {
        let call = self.next_call();
        self.record_sent(call, run, now);
        StopCall {
            call,
            run,
            fencing_token: self.fencing_token,
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
            fencing_token: self.fencing_token,
            acknowledged_end: if is_confirmed {
                minion.acknowledged_end
            } else {
                0
            },
            wait_ms: millis(wait),
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
            sent_at,
            is_outdated,
        } = self.in_flight.remove(&call)?;
        match answer {
            OrderAnswer::NoAnswer | OrderAnswer::NotSent => {
                self.response_times.record_loss(sent_at);
            }
            _ => {
                let response_time = now.saturating_duration_since(sent_at);
                self.response_times.record_response(response_time);
            }
        }
        Some(CompletedOrder { run, is_outdated })
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
            .extract_if(|_, at| *at <= now)
            .map(|(run, _)| run)
            .collect()
    }

    /// Raises the fencing token after the minion refused an order because it has seen a higher one.
    pub(super) fn raise_fencing_token(&mut self) {
        self.fencing_token += FENCING_TOKEN_STEP_MS;
        log::warn!(fencing_token = self.fencing_token; "fencing token raised");
    }

    /// Handles a restart of the minion: raises the fencing token, and marks the orders in flight.
    ///
    /// The new incarnation knows no token; once a call has brought it this one, it refuses late
    /// orders to its predecessor.
    pub(super) fn begin_incarnation(&mut self) {
        for order in self.in_flight.values_mut() {
            order.is_outdated = true;
        }
        self.fencing_token += 1;
        log::info!(fencing_token = self.fencing_token; "fencing token raised after minion restart");
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
