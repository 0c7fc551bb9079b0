//! The arbiter of one minion's slots between all entries.
//!
//! Entries tell what they would run, and the arbiter issues credits for slots that are free or
//! will soon be. A task that comes without a credit runs at once if a slot is free and promised
//! to nobody. Accepted tasks and credits together never exceed the free slots and the prefetch
//! count, except for slots that the minion loses.

mod demands;
mod entry_credits;
mod offer;
mod settings;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use demands::Demands;

use crate::common::{Incarnation, JobId};
use crate::contract::{FairShare, Flow, Rank, Team};
use crate::job::TaskId;
use crate::message::{Credit, Demand, SlotReport, Start};

pub use entry_credits::EntryCredits;
pub use offer::Offer;
pub use settings::ArbiterSettings;

/// A credit that an entry has not used yet.
#[derive(Debug)]
struct OutstandingCredit {
    entry: Incarnation,
    flow: Flow,
    expires_at: Instant,
}

/// An accepted task that waits for a slot.
#[derive(Debug)]
struct PendingTask {
    entry: Incarnation,
    flow: Flow,
    start: Start,
}

/// Shares the slots of one minion out between all entries.
#[derive(Debug)]
pub struct SlotArbiter {
    settings: ArbiterSettings,
    fair_share: FairShare,
    running: HashMap<TaskId, Flow>,
    /// The accepted tasks, in the order in which they came.
    pending: Vec<PendingTask>,
    demands: Demands,
    /// The unused credits, the oldest first.
    credits: Vec<OutstandingCredit>,
    /// The owner of the task that ended last, to which a report goes, if no credit followed yet.
    reported_to: Option<Incarnation>,
}

impl SlotArbiter {
    /// Creates an arbiter whose slots are all free.
    pub fn new(settings: ArbiterSettings) -> Self {
        Self {
            fair_share: FairShare::new(settings.slot_count),
            settings,
            running: HashMap::new(),
            pending: Vec::new(),
            demands: Demands::default(),
            credits: Vec::new(),
            reported_to: None,
        }
    }

    /// Sets the shares and caps of the teams.
    pub fn set_teams(&mut self, teams: &[Team]) {
        self.fair_share.set_teams(teams);
    }

    /// Sets how many tasks the minion runs at once.
    pub fn set_slot_count(&mut self, slot_count: u32) {
        self.settings.slot_count = slot_count;
        self.fair_share.set_slot_count(slot_count);
    }

    /// Returns how many slots run nothing.
    pub fn free_count(&self) -> u32 {
        self.settings
            .slot_count
            .saturating_sub(self.running.len() as u32)
    }

    /// Returns how many tasks run.
    pub fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many accepted tasks wait for a slot.
    pub fn pending_count(&self) -> u32 {
        self.pending.len() as u32
    }

    /// Returns how many credits are unused.
    pub fn credit_count(&self) -> u32 {
        self.credits.len() as u32
    }

    /// Returns the state of the slots for the entries.
    pub fn report(&self, speed_percent: u32) -> SlotReport {
        SlotReport {
            slot_count: self.settings.slot_count,
            free_count: self.unpromised_count(),
            speed_percent,
            ..SlotReport::default()
        }
    }

    fn promised_count(&self) -> u32 {
        self.pending_count() + self.credit_count()
    }

    fn unpromised_count(&self) -> u32 {
        self.free_count().saturating_sub(self.promised_count())
    }

    /// Returns how many more tasks may be promised a place.
    fn room_count(&self) -> u32 {
        (self.free_count() + self.settings.prefetch_count).saturating_sub(self.promised_count())
    }

    /// Replaces all that `entry` demanded.
    ///
    /// The entry counts every task that waits there, also those it has a credit for.
    pub fn demands(&mut self, entry: Incarnation, demands: Vec<Demand>, now: Instant) {
        self.lapse(now);
        let credits = &self.credits;
        self.demands.replace(entry, demands, |flow| {
            credits
                .iter()
                .filter(|credit| credit.entry == entry && credit.flow == *flow)
                .count() as u32
        });
    }

    /// Decides on a task that `entry` hands over.
    pub fn offer(&mut self, start: Start, entry: Incarnation, now: Instant) -> Offer {
        self.lapse(now);
        self.demands.heard(entry);
        let flow = Flow::new(start.team.as_str(), start.class);
        if start.uses_credit && self.use_credit(entry, &flow, now) {
            return self.accept(start, entry, flow, now);
        }
        self.demands.take_from(entry, &flow);
        if self.room_count() == 0 || self.fair_share.rank(&flow, now).is_none() {
            return Offer::Refuse(start);
        }
        if self.unpromised_count() > 0 {
            return self.run(start, flow, now);
        }
        self.wait(start, entry, flow, now)
    }

    /// Accepts a task that uses a credit, which is a place that was promised.
    fn accept(&mut self, start: Start, entry: Incarnation, flow: Flow, now: Instant) -> Offer {
        let rank = self.fair_share.rank(&flow, now);
        if self.free_count() > self.reserved_count(rank, now) && self.pending.is_empty() {
            return self.run(start, flow, now);
        }
        self.wait(start, entry, flow, now)
    }

    fn run(&mut self, start: Start, flow: Flow, now: Instant) -> Offer {
        self.fair_share.record_start(&flow, now);
        self.running.insert(start.task, flow);
        Offer::Run(start)
    }

    fn wait(&mut self, start: Start, entry: Incarnation, flow: Flow, now: Instant) -> Offer {
        self.fair_share.reserve(&flow, now);
        self.pending.push(PendingTask { entry, flow, start });
        Offer::Wait
    }

    fn use_credit(&mut self, entry: Incarnation, flow: &Flow, now: Instant) -> bool {
        let position = self
            .credits
            .iter()
            .position(|credit| credit.entry == entry && credit.flow == *flow);
        let Some(index) = position else {
            return false;
        };
        self.credits.remove(index);
        self.fair_share.release(flow, now);
        true
    }

    /// Frees the slot of a task that held it for `run_time`.
    pub fn ended(&mut self, task: TaskId, run_time: Duration, now: Instant) {
        if let Some(flow) = self.running.remove(&task) {
            self.fair_share.record_end(&flow, run_time, now);
            self.reported_to = Some(task.owner);
        }
    }

    /// Returns the next accepted task to start; it takes a slot.
    ///
    /// Called until it returns `None`, whenever a slot is free. A slot is kept free for more
    /// urgent work that waits at an entry, for which [`Self::grant`] issues a credit.
    pub fn next_to_run(&mut self, now: Instant) -> Option<Start> {
        self.lapse(now);
        if self.free_count() == 0 || self.pending.is_empty() {
            return None;
        }
        let candidates = self.pending.iter().map(|pending| &pending.flow);
        let index = self.fair_share.choose_reserved(candidates, now)?;
        let flow = self.pending[index].flow.clone();
        let rank = self.fair_share.rank_reserved(&flow, now);
        if self.free_count() <= self.reserved_count(rank, now) {
            return None;
        }
        let pending = self.pending.remove(index);
        self.fair_share.release(&flow, now);
        match self.run(pending.start, flow, now) {
            Offer::Run(start) => Some(start),
            Offer::Wait | Offer::Refuse(_) => None,
        }
    }

    /// Returns how many free slots are kept for work at the entries that is of a more urgent
    /// class and of a better rank than `rank`.
    fn reserved_count(&mut self, rank: Option<Rank>, now: Instant) -> u32 {
        let Some(rank) = rank else {
            return self.settings.slot_count;
        };
        let credited_count = self
            .credits
            .iter()
            .filter(|credit| credit.flow.class < rank.class)
            .filter(|credit| {
                let other = self.fair_share.rank_reserved(&credit.flow, now);
                other.is_some_and(|other| other.total_cmp(&rank).is_lt())
            })
            .count() as u32;
        let demanded_count: u32 = self
            .demands
            .flows()
            .filter(|flow| flow.class < rank.class)
            .filter(|flow| {
                let other = self.fair_share.rank(flow, now);
                other.is_some_and(|other| other.total_cmp(&rank).is_lt())
            })
            .map(|flow| self.demands.task_count(flow))
            .sum();
        // A demand holds a slot only where a credit can be issued for it.
        credited_count + demanded_count.min(self.room_count())
    }

    /// Issues credits for the slots that are free or will soon be.
    ///
    /// Called after every change, and every few milliseconds, since credits lapse and caps lift.
    pub fn grant(&mut self, now: Instant) -> Vec<EntryCredits> {
        self.lapse(now);
        let mut granted: BTreeMap<Incarnation, BTreeMap<Flow, u32>> = BTreeMap::new();
        while self.room_count() > 0 {
            let Some((entry, flow)) = self.grant_one(now) else {
                break;
            };
            *granted.entry(entry).or_default().entry(flow).or_default() += 1;
        }
        self.reported_to = None;
        granted
            .into_iter()
            .map(|(entry, flows)| EntryCredits {
                entry,
                credits: flows.into_iter().map(credit).collect(),
            })
            .collect()
    }

    fn grant_one(&mut self, now: Instant) -> Option<(Incarnation, Flow)> {
        let index = self.fair_share.choose(self.demands.flows(), now)?;
        let flow = self.demands.flows().nth(index)?.clone();
        let entry = self.demands.take(&flow, self.reported_to.take())?;
        self.fair_share.reserve(&flow, now);
        self.credits.push(OutstandingCredit {
            entry,
            flow: flow.clone(),
            expires_at: now + self.settings.credit_lifetime,
        });
        Some((entry, flow))
    }

    /// Takes back the oldest `credit_count` credits of an entry that has no use for them.
    ///
    /// What the entry demanded of their flows counts as gone until it demands again; otherwise
    /// credits would go back and forth.
    pub fn return_credits(&mut self, entry: Incarnation, credit_count: u32, now: Instant) {
        self.lapse(now);
        self.demands.heard(entry);
        let mut left_count = credit_count;
        let mut flows = BTreeSet::new();
        self.remove_credits(now, |credit| {
            let is_returned = credit.entry == entry && left_count > 0;
            left_count -= u32::from(is_returned);
            if is_returned {
                flows.insert(credit.flow.clone());
            }
            is_returned
        });
        for flow in flows {
            self.demands.withdraw(entry, &flow);
        }
    }

    /// Drops the credits and demands of an entry whose link session ended.
    ///
    /// Accepted tasks stay; the entry asks for them when it is back.
    pub fn session_lost(&mut self, entry: Incarnation, now: Instant) {
        self.demands.remove_entry(entry);
        self.remove_credits(now, |credit| credit.entry == entry);
    }

    /// Drops all that an entry has that will not come back, and returns its accepted tasks.
    ///
    /// The returned attempts are to be fenced.
    pub fn entry_gone(&mut self, entry: Incarnation, now: Instant) -> Vec<Start> {
        self.session_lost(entry, now);
        self.remove_pending(now, |pending| pending.entry == entry)
    }

    /// Drops the accepted tasks of a job and returns them; the attempts are to be fenced.
    pub fn cancel(&mut self, job: JobId, now: Instant) -> Vec<Start> {
        self.remove_pending(now, |pending| pending.start.task.job == job)
    }

    /// Drops all accepted tasks, demands and credits and returns the tasks, as the minion leaves.
    pub fn drain(&mut self, now: Instant) -> Vec<Start> {
        self.demands = Demands::default();
        self.remove_credits(now, |_| true);
        self.remove_pending(now, |_| true)
    }

    fn remove_pending(
        &mut self,
        now: Instant,
        mut is_removed: impl FnMut(&PendingTask) -> bool,
    ) -> Vec<Start> {
        let removed: Vec<PendingTask> = self
            .pending
            .extract_if(.., |pending| is_removed(pending))
            .collect();
        for pending in &removed {
            self.fair_share.release(&pending.flow, now);
        }
        removed.into_iter().map(|pending| pending.start).collect()
    }

    fn remove_credits(
        &mut self,
        now: Instant,
        mut is_removed: impl FnMut(&OutstandingCredit) -> bool,
    ) {
        for credit in self.credits.extract_if(.., |credit| is_removed(credit)) {
            self.fair_share.release(&credit.flow, now);
        }
    }

    /// Takes back the credits that were not used in time.
    ///
    /// Their entry gets no other until it is heard of, so that it holds no slot back.
    fn lapse(&mut self, now: Instant) {
        let lapsed = self
            .credits
            .extract_if(.., |credit| credit.expires_at <= now);
        for credit in lapsed {
            self.fair_share.release(&credit.flow, now);
            self.demands.lapsed(credit.entry, &credit.flow);
        }
    }
}

fn credit((flow, task_count): (Flow, u32)) -> Credit {
    Credit {
        team: flow.team,
        class: flow.class,
        task_count,
    }
}
