//! A model of a platform minion, without clock and network.

use std::collections::{BTreeMap, HashMap};

use knapweedrill::dispatch::sidecar::{
    EndKind, EndedRun, HoldAnswer, HoldCall, OrderAnswer, RunKey, StartCall, StopCall,
};
use knapweedrill::dispatch::{Resources, RunNumber, TaskName};

/// The maximum duration of a lease, in milliseconds.
const LEASE_MAX_MS: u64 = 1_000;

/// The time between a stop order and the end of the run, in milliseconds.
const STOP_DELAY_MS: u64 = 40;

#[derive(Debug)]
struct ActiveRun {
    room: Resources,
    started_ms: u64,
    /// When the task finishes by itself; `None` if it hangs.
    done_ms: Option<u64>,
    fails: bool,
    stopped_ms: Option<u64>,
}

impl ActiveRun {
    /// Returns when and how the run ends if its lease expires at `expires_ms`.
    fn first_end(&self, expires_ms: u64) -> (u64, EndKind) {
        let done = if self.fails {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        let ends = [
            (Some(expires_ms), EndKind::Lapsed),
            (self.stopped_ms, EndKind::Stopped),
            (self.done_ms, done),
        ];
        let first = ends
            .into_iter()
            .filter_map(|(at, kind)| Some((at?, kind)))
            .min_by_key(|(at, _)| *at);
        first.unwrap_or((expires_ms, EndKind::Lapsed))
    }

    fn progress_percent(&self, now_ms: u64) -> u8 {
        let Some(done_ms) = self.done_ms else {
            return 0;
        };
        let scaled_age_ms = (now_ms - self.started_ms) * 100;
        let percent = scaled_age_ms / (done_ms - self.started_ms).max(1);
        u8::try_from(percent.min(100)).unwrap_or(100)
    }
}

/// A run that has ended, with the times on the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedRun {
    /// The task and the number of the run.
    pub run: RunKey,
    /// When the run started.
    pub started_ms: u64,
    /// When the run ended.
    pub ended_ms: u64,
    /// How the run ended.
    pub kind: EndKind,
}

/// The resource use and the outcome of a simulated task.
#[derive(Debug, Clone, Copy)]
pub struct TaskProfile {
    /// The run time, in milliseconds.
    pub run_ms: u64,
    /// The resources that the run occupies.
    pub room: Resources,
    /// Whether it fails at the end of its run time.
    pub fails: bool,
    /// Whether it runs until it is stopped or its lease expires.
    pub hangs: bool,
}

/// A minion that gives exactly the guarantees of the platform and no stronger ones.
///
/// The caller passes the current time to each method, in milliseconds.
#[derive(Debug)]
pub struct MinionModel {
    /// The instance name, which identifies one incarnation of the minion.
    pub instance: String,
    /// When this incarnation started, in milliseconds.
    pub started_unix_ms: u64,
    /// The resources that the minion offers to runs.
    pub capacity: Resources,
    /// How much slower than real time the minion's clock runs, in permille.
    pub drift_permille: u64,
    /// Whether runs that are being stopped are in the list of active runs until their end.
    pub lists_stopping_runs: bool,
    fencing_token: u64,
    lease_end_ms: u64,
    running: BTreeMap<RunKey, ActiveRun>,
    ended: Vec<EndedRun>,
    end_count: u64,
    highest_run_numbers: HashMap<TaskName, RunNumber>,
}

impl MinionModel {
    /// Creates a minion that starts now.
    pub fn new(instance: String, capacity: Resources, drift_permille: u64, now_ms: u64) -> Self {
        Self {
            instance,
            // A start time in Unix milliseconds is never 0.
            started_unix_ms: now_ms + 1,
            capacity,
            drift_permille,
            lists_stopping_runs: true,
            fencing_token: 0,
            lease_end_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            highest_run_numbers: HashMap::new(),
        }
    }

    /// Returns the time on the minion's clock, in milliseconds since its start.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        let age_ms = now_ms + 1 - self.started_unix_ms;
        age_ms - age_ms * self.drift_permille / 1_000
    }

    /// Returns the active runs and when they started.
    pub fn running_since(&self) -> impl Iterator<Item = (RunKey, u64)> + '_ {
        self.running.iter().map(|(key, run)| (*key, run.started_ms))
    }

    /// Returns the active runs.
    pub fn running(&self) -> impl Iterator<Item = RunKey> + '_ {
        self.running.keys().copied()
    }

    /// Returns the resources that the active runs occupy.
    pub fn used(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::default(), |used, run| {
                used.saturating_add(run.room)
            })
    }

    /// Returns whether an order that arrives at `at_ms` would start its run if there is room and no
    /// other call arrives before.
    pub fn would_start(&self, call: &StartCall, at_ms: u64) -> bool {
        let highest = self.highest_run_numbers.get(&call.run.task);
        call.instance == self.instance
            && call.fencing_token >= self.fencing_token
            && call.lease_end_ms > self.clock_ms(at_ms)
            && !self.running.contains_key(&call.run)
            && highest.is_none_or(|highest| call.run.number > *highest)
    }

    /// Handles an order to start a run.
    pub fn start(&mut self, call: &StartCall, profile: TaskProfile, now_ms: u64) -> OrderAnswer {
        if call.instance != self.instance {
            return OrderAnswer::OtherIncarnation;
        }
        if call.fencing_token < self.fencing_token {
            return OrderAnswer::Fenced;
        }
        self.fencing_token = call.fencing_token;
        if call.lease_end_ms <= self.clock_ms(now_ms) {
            return OrderAnswer::LeaseExpired;
        }
        self.extend_lease(call.lease_end_ms, now_ms);
        if self.running.contains_key(&call.run) {
            return OrderAnswer::Accepted;
        }
        let highest = self
            .highest_run_numbers
            .get(&call.run.task)
            .copied()
            .unwrap_or(0);
        if call.run.number <= highest {
            return OrderAnswer::Superseded;
        }
        if !profile
            .room
            .fits_into(self.capacity.saturating_sub(self.used()))
        {
            return OrderAnswer::NoRoom;
        }
        let run = ActiveRun {
            room: profile.room,
            started_ms: now_ms,
            done_ms: (!profile.hangs).then_some(now_ms + profile.run_ms),
            fails: profile.fails,
            stopped_ms: None,
        };
        self.running.insert(call.run, run);
        OrderAnswer::Accepted
    }

    /// Handles an order to stop a run.
    pub fn stop(&mut self, call: &StopCall, now_ms: u64) -> OrderAnswer {
        if call.instance != self.instance {
            return OrderAnswer::OtherIncarnation;
        }
        if call.fencing_token < self.fencing_token {
            return OrderAnswer::Fenced;
        }
        self.fencing_token = call.fencing_token;
        self.record_run_number(call.run);
        if let Some(run) = self.running.get_mut(&call.run) {
            run.stopped_ms.get_or_insert(now_ms + STOP_DELAY_MS);
        }
        OrderAnswer::Accepted
    }

    /// Handles a hold, a long poll that renews the lease. Returns whether it is accepted; the
    /// response is made later by [`Self::hold_answer`].
    pub fn hold(&mut self, call: &HoldCall, now_ms: u64) -> bool {
        if call.instance != self.instance || call.fencing_token < self.fencing_token {
            return false;
        }
        self.fencing_token = call.fencing_token;
        if let Some(end_ms) = call.lease_end_ms {
            self.extend_lease(end_ms, now_ms);
        }
        self.ended
            .retain(|ended| ended.number > call.acknowledged_end);
        true
    }

    /// Returns whether a run has ended whose end was not acknowledged.
    pub fn has_unacknowledged_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns the active runs and the unacknowledged ends.
    pub fn hold_answer(&self, now_ms: u64) -> HoldAnswer {
        HoldAnswer {
            started_unix_ms: self.started_unix_ms,
            clock_ms: self.clock_ms(now_ms),
            running: self
                .running
                .iter()
                .filter(|(_, run)| self.lists_stopping_runs || run.stopped_ms.is_none())
                .map(|(key, run)| (*key, run.progress_percent(now_ms)))
                .collect(),
            ended: self.ended.clone(),
            has_more: false,
            malformed_ends: Vec::new(),
        }
    }

    /// Advances the time and returns the runs that have ended since the last call. The end time of
    /// each is when its end was due, even if this is called later.
    pub fn advance(&mut self, now_ms: u64) -> Vec<FinishedRun> {
        let lease_expiry_ms = self.lease_expiry_ms();
        let mut finished = Vec::new();
        for (key, run) in &self.running {
            let expires_ms = lease_expiry_ms.max(run.started_ms + 1);
            let (ended_ms, kind) = run.first_end(expires_ms);
            if ended_ms <= now_ms {
                finished.push(FinishedRun {
                    run: *key,
                    started_ms: run.started_ms,
                    ended_ms,
                    kind,
                });
            }
        }
        finished.sort_by_key(|run| run.ended_ms);
        for FinishedRun { run, kind, .. } in &finished {
            self.running.remove(run);
            self.record_run_number(*run);
            self.end_count += 1;
            self.ended.push(EndedRun {
                number: self.end_count,
                run: *run,
                kind: *kind,
            });
        }
        finished
    }

    /// Returns when the lease expires, converted from the minion's clock.
    fn lease_expiry_ms(&self) -> u64 {
        let age_ms = (self.lease_end_ms * 1_000).div_ceil(1_000 - self.drift_permille.min(999));
        self.started_unix_ms - 1 + age_ms
    }

    fn record_run_number(&mut self, key: RunKey) {
        let highest = self.highest_run_numbers.entry(key.task).or_default();
        *highest = key.number.max(*highest);
    }

    fn extend_lease(&mut self, end_ms: u64, now_ms: u64) {
        let end_ms = end_ms.min(self.clock_ms(now_ms) + LEASE_MAX_MS);
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }
}
