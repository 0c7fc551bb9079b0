//! What a minion of the platform does, without its clock and its wire.

use std::collections::{BTreeMap, HashMap};

use knapweedrill::dispatch::sidecar::{
    EndKind, EndedRun, HoldAnswer, HoldCall, OrderAnswer, RunKey, StartCall, StopCall,
};
use knapweedrill::dispatch::{Resources, RunNumber, TaskName};

/// The longest lease, in milliseconds.
const LEASE_MAX_MS: u64 = 1_000;

/// How long a stop takes, in milliseconds.
const STOP_MS: u64 = 40;

#[derive(Debug)]
struct Running {
    room: Resources,
    started_ms: u64,
    /// When the work is done, unless it hangs.
    done_ms: Option<u64>,
    fails: bool,
    stopped_ms: Option<u64>,
}

impl Running {
    /// Returns when and how the run ends, if its lease ends at a moment.
    fn first_end(&self, lapses_ms: u64) -> (u64, EndKind) {
        let done = if self.fails {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        let ends = [
            (Some(lapses_ms), EndKind::Lapsed),
            (self.stopped_ms, EndKind::Stopped),
            (self.done_ms, done),
        ];
        let first = ends
            .into_iter()
            .filter_map(|(at, how)| Some((at?, how)))
            .min_by_key(|(at, _)| *at);
        first.unwrap_or((lapses_ms, EndKind::Lapsed))
    }

    fn percent(&self, now_ms: u64) -> u8 {
        let Some(done_ms) = self.done_ms else {
            return 0;
        };
        let age_ms = (now_ms - self.started_ms) * 100;
        let share = age_ms / (done_ms - self.started_ms).max(1);
        u8::try_from(share.min(100)).unwrap_or(100)
    }
}

/// A run that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PastRun {
    /// The run.
    pub run: RunKey,
    /// When it began.
    pub started_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// How.
    pub how: EndKind,
}

/// How a minion treats a task.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// How long it runs.
    pub run_ms: u64,
    /// What it takes up.
    pub room: Resources,
    /// Whether it fails at its end.
    pub fails: bool,
    /// Whether it never ends by itself.
    pub hangs: bool,
}

/// A minion of the platform; it keeps what the platform promises and no more.
///
/// All times are given by the caller, in milliseconds.
#[derive(Debug)]
pub struct MinionModel {
    /// The name of its life.
    pub instance: String,
    /// When its life began.
    pub born_ms: u64,
    /// What it offers.
    pub capacity: Resources,
    /// How much slower its clock goes, in thousandths.
    pub drift_permille: u64,
    fence: u64,
    lease_end_ms: u64,
    running: BTreeMap<RunKey, Running>,
    ended: Vec<EndedRun>,
    end_count: u64,
    highest: HashMap<TaskName, RunNumber>,
}

impl MinionModel {
    /// Creates a minion whose life begins now.
    pub fn new(instance: String, capacity: Resources, drift_permille: u64, now_ms: u64) -> Self {
        Self {
            instance,
            // Unix milliseconds of a start are never 0.
            born_ms: now_ms + 1,
            capacity,
            drift_permille,
            fence: 0,
            lease_end_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            highest: HashMap::new(),
        }
    }

    /// Returns the minion's clock.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        let age_ms = now_ms + 1 - self.born_ms;
        age_ms - age_ms * self.drift_permille / 1_000
    }

    /// Returns what runs, and since when.
    pub fn running_since(&self) -> impl Iterator<Item = (RunKey, u64)> + '_ {
        self.running.iter().map(|(key, run)| (*key, run.started_ms))
    }

    /// Returns what runs.
    pub fn running(&self) -> impl Iterator<Item = RunKey> + '_ {
        self.running.keys().copied()
    }

    /// Returns what the runs take up.
    pub fn used(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::default(), |used, run| {
                used.saturating_add(run.room)
            })
    }

    /// Takes in an order to start a run.
    pub fn start(&mut self, call: &StartCall, work: Work, now_ms: u64) -> OrderAnswer {
        if call.instance != self.instance {
            return OrderAnswer::OtherIncarnation;
        }
        if call.fencing_token < self.fence {
            return OrderAnswer::Fenced;
        }
        self.fence = call.fencing_token;
        if call.lease_end_ms <= self.clock_ms(now_ms) {
            return OrderAnswer::LeaseExpired;
        }
        self.extend(call.lease_end_ms, now_ms);
        if self.running.contains_key(&call.run) {
            return OrderAnswer::Accepted;
        }
        let highest = self.highest.get(&call.run.task).copied().unwrap_or(0);
        if call.run.number <= highest {
            return OrderAnswer::Superseded;
        }
        if !work
            .room
            .fits_into(self.capacity.saturating_sub(self.used()))
        {
            return OrderAnswer::NoRoom;
        }
        let run = Running {
            room: work.room,
            started_ms: now_ms,
            done_ms: (!work.hangs).then_some(now_ms + work.run_ms),
            fails: work.fails,
            stopped_ms: None,
        };
        self.running.insert(call.run, run);
        OrderAnswer::Accepted
    }

    /// Takes in an order to stop a run.
    pub fn stop(&mut self, call: &StopCall, now_ms: u64) -> OrderAnswer {
        if call.instance != self.instance {
            return OrderAnswer::OtherIncarnation;
        }
        if call.fencing_token < self.fence {
            return OrderAnswer::Fenced;
        }
        self.fence = call.fencing_token;
        self.note_highest(call.run);
        if let Some(run) = self.running.get_mut(&call.run) {
            run.stopped_ms.get_or_insert(now_ms + STOP_MS);
        }
        OrderAnswer::Accepted
    }

    /// Takes in a hold; the answer is made later with [`Self::hold_answer`].
    pub fn hold(&mut self, call: &HoldCall, now_ms: u64) -> bool {
        if call.instance != self.instance || call.fencing_token < self.fence {
            return false;
        }
        self.fence = call.fencing_token;
        if let Some(end_ms) = call.lease_end_ms {
            self.extend(end_ms, now_ms);
        }
        self.ended
            .retain(|ended| ended.number > call.acknowledged_end);
        true
    }

    /// Returns whether something has ended that was not taken note of.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns what runs and what has ended.
    pub fn hold_answer(&self, now_ms: u64) -> HoldAnswer {
        HoldAnswer {
            started_unix_ms: self.born_ms,
            clock_ms: self.clock_ms(now_ms),
            running: self
                .running
                .iter()
                .map(|(key, run)| (*key, run.percent(now_ms)))
                .collect(),
            ended: self.ended.clone(),
            has_more: false,
        }
    }

    /// Lets time pass; returns the runs that have ended, each at the moment at which its end was due,
    /// however late this is called.
    pub fn advance(&mut self, now_ms: u64) -> Vec<PastRun> {
        let lapse_ms = self.lapse_ms();
        let mut past = Vec::new();
        for (key, run) in &self.running {
            let lapses_ms = lapse_ms.max(run.started_ms + 1);
            let (ended_ms, how) = run.first_end(lapses_ms);
            if ended_ms <= now_ms {
                past.push(PastRun {
                    run: *key,
                    started_ms: run.started_ms,
                    ended_ms,
                    how,
                });
            }
        }
        past.sort_by_key(|past| past.ended_ms);
        for PastRun { run, how, .. } in &past {
            self.running.remove(run);
            self.note_highest(*run);
            self.end_count += 1;
            self.ended.push(EndedRun {
                number: self.end_count,
                run: *run,
                kind: *how,
            });
        }
        past
    }

    /// Returns when the lease ends, which the minion measures on its own clock.
    fn lapse_ms(&self) -> u64 {
        let age_ms = (self.lease_end_ms * 1_000).div_ceil(1_000 - self.drift_permille.min(999));
        self.born_ms - 1 + age_ms
    }

    fn note_highest(&mut self, key: RunKey) {
        let highest = self.highest.entry(key.task).or_default();
        *highest = key.number.max(*highest);
    }

    fn extend(&mut self, end_ms: u64, now_ms: u64) {
        let end_ms = end_ms.min(self.clock_ms(now_ms) + LEASE_MAX_MS);
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }
}
