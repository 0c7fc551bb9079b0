//! Orders to the minion.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::SidecarSettings;
use super::action::{CallNumber, HoldCall, RunKey, StartCall, StopCall};
use super::life::Life;
use super::run::Run;
use crate::dispatch::units::millis;

/// By how much the fencing token rises when the minion has seen a higher one, in milliseconds:
/// more than a wall clock is set back.
const FENCING_TOKEN_STEP_MS: u64 = 10_000;

/// The orders to the minion: how they are numbered and fenced, and which have no answer yet.
#[derive(Debug)]
pub(super) struct Orders {
    fencing_token: u64,
    last_call: CallNumber,
    /// The orders without an answer, and the runs that they are about.
    unanswered: HashMap<CallNumber, RunKey>,
    /// The runs whose stop had no answer, and when it is ordered again.
    stops_due: HashMap<RunKey, Instant>,
}

impl Orders {
    pub(super) fn new(fencing_token: u64) -> Self {
        Self {
            fencing_token,
            last_call: 0,
            unanswered: HashMap::new(),
            stops_due: HashMap::new(),
        }
    }

    /// Returns an order to start a run, unless the minion's clock is not known yet.
    pub(super) fn start(
        &mut self,
        run: &mut Run,
        life: &mut Life,
        settings: &SidecarSettings,
        now: Instant,
    ) -> Option<StartCall> {
        let lease_end_ms = life.extend_lease(settings, now)?;
        run.order_count += 1;
        let call = self.next_call();
        self.unanswered.insert(call, run.key);
        Some(StartCall {
            call,
            run: run.key,
            spec: run.spec.clone(),
            lease_end_ms,
            fencing_token: self.fencing_token,
            instance: life.profile.instance.clone(),
        })
    }

    /// Returns an order to stop a run.
    pub(super) fn stop(&mut self, run: RunKey, life: &Life) -> StopCall {
        let call = self.next_call();
        self.unanswered.insert(call, run);
        StopCall {
            call,
            run,
            fencing_token: self.fencing_token,
            instance: life.profile.instance.clone(),
        }
    }

    /// Returns a call that renews the lease, if `renews` says so, and asks what runs.
    pub(super) fn hold(
        &mut self,
        life: &mut Life,
        renews: bool,
        wait: Duration,
        settings: &SidecarSettings,
        now: Instant,
    ) -> HoldCall {
        let lease_end_ms = if renews {
            life.extend_lease(settings, now)
        } else {
            None
        };
        // The first call only asks for the clock and what runs.
        let wait = lease_end_ms.map_or(Duration::ZERO, |_| wait);
        HoldCall {
            call: self.next_call(),
            lease_end_ms,
            fencing_token: self.fencing_token,
            seen: life.seen,
            wait_ms: millis(wait),
            instance: life.profile.instance.clone(),
        }
    }

    /// Returns the run of an order that was answered, or given up; nothing if it is forgotten.
    pub(super) fn answered(&mut self, call: CallNumber) -> Option<RunKey> {
        self.unanswered.remove(&call)
    }

    /// Notes that a run has to be stopped again.
    pub(super) fn stop_again_at(&mut self, run: RunKey, at: Instant) {
        self.stops_due.insert(run, at);
    }

    /// Returns the runs that are to be stopped again now.
    pub(super) fn take_due_stops(&mut self, now: Instant) -> Vec<RunKey> {
        self.stops_due
            .extract_if(|_, at| *at <= now)
            .map(|(run, _)| run)
            .collect()
    }

    /// Raises the fencing token, since the minion has seen a higher one.
    pub(super) fn raise_fencing_token(&mut self) {
        self.fencing_token += FENCING_TOKEN_STEP_MS;
        log::warn!(fencing_token = self.fencing_token; "fencing token raised");
    }

    /// Raises the fencing token, since a new life of the minion knows none: once a call has brought it this
    /// one, it refuses orders to the life before that it would carry out late.
    pub(super) fn outrank_former_life(&mut self) {
        self.fencing_token += 1;
        log::info!(fencing_token = self.fencing_token; "fencing token raised for a new life");
    }

    /// Forgets all orders to a life of the minion that is over.
    pub(super) fn forget(&mut self) {
        self.unanswered.clear();
        self.stops_due.clear();
    }

    fn next_call(&mut self) -> CallNumber {
        self.last_call += 1;
        self.last_call
    }
}
