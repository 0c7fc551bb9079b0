//! Credit-based allocation of one minion's slots to all entries.
//!
//! Entries report their demand, and the arbiter issues credits for slots that are free or will soon
//! be free. A task that arrives without a credit starts at once if a slot is free and uncommitted.
//! Accepted tasks and outstanding credits together never exceed the free slots plus the prefetch
//! count, unless the minion reduces its slot count.

mod demands;
mod entry_credits;
mod offer_decision;
mod settings;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use demands::Demands;

use crate::common::{Incarnation, JobId};
use crate::contract::{FairShare, Flow, Rank, Team};
use crate::job::TaskId;
use crate::message::{Credit, Demand, SlotReport, Start};

pub use entry_credits::EntryCredits;
pub use offer_decision::OfferDecision;
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

/// Allocates the slots of one minion to the entries by fair share.
#[derive(Debug)]
pub struct SlotArbiter {
    settings: ArbiterSettings,
    fair_share: FairShare,
    running: HashMap<TaskId, Flow>,
    /// The accepted tasks in order of arrival.
    pending: Vec<PendingTask>,
    demands: Demands,
    /// The outstanding credits, oldest first.
    credits: Vec<OutstandingCredit>,
    /// The owner of the task that ended last, which gets a report; `None` after the next credit.
    report_recipient: Option<Incarnation>,
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
            report_recipient: None,
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

    /// Returns how many slots are idle.
    pub fn free_count(&self) -> u32 {
        self.settings
            .slot_count
            .saturating_sub(self.running.len() as u32)
    }

    /// Returns how many tasks are running.
    pub fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many accepted tasks are waiting for a slot.
    pub fn pending_count(&self) -> u32 {
        self.pending.len() as u32
    }

    /// Returns how many credits are outstanding.
    pub fn credit_count(&self) -> u32 {
        self.credits.len() as u32
    }

    /// Returns the slot report for the entries; its free slots exclude committed ones.
    pub fn report(&self, speed_percent: u32) -> SlotReport {
        SlotReport {
            slot_count: self.settings.slot_count,
            free_count: self.uncommitted_count(),
            speed_percent,
            ..SlotReport::default()
        }
    }

    fn committed_count(&self) -> u32 {
        self.pending_count() + self.credit_count()
    }

    fn uncommitted_count(&self) -> u32 {
        self.free_count().saturating_sub(self.committed_count())
    }

    /// Returns how many more tasks may be accepted or credited.
    fn headroom_count(&self) -> u32 {
        (self.free_count() + self.settings.prefetch_count).saturating_sub(self.committed_count())
    }

    /// Replaces the demand of `entry`.
    ///
    /// The entry counts every queued task, including those that it holds a credit for.
    pub fn set_demands(&mut self, entry: Incarnation, demands: Vec<Demand>, now: Instant) {
        self.expire_credits(now);
        let credits = &self.credits;
        self.demands.replace(entry, demands, |flow| {
            credits
                .iter()
                .filter(|credit| credit.entry == entry && credit.flow == *flow)
                .count() as u32
        });
    }

    /// Decides whether a task that `entry` offers runs, waits or is refused.
    pub fn offer(&mut self, start: Start, entry: Incarnation, now: Instant) -> OfferDecision {
        self.expire_credits(now);
        self.demands.mark_responsive(entry);
        let flow = Flow::new(start.team.as_str(), start.class);
        if start.uses_credit && self.use_credit(entry, &flow, now) {
            return self.accept(start, entry, flow, now);
        }
        self.demands.take_from(entry, &flow);
        if self.headroom_count() == 0 || self.fair_share.rank(&flow, now).is_none() {
            return OfferDecision::Refuse(start);
        }
        if self.uncommitted_count() > 0 {
            return self.run(start, flow, now);
        }
        self.enqueue(start, entry, flow, now)
    }

    /// Accepts a task that uses a credit, for which capacity is already committed.
    fn accept(
        &mut self,
        start: Start,
        entry: Incarnation,
        flow: Flow,
        now: Instant,
    ) -> OfferDecision {
        let rank = self.fair_share.rank(&flow, now);
        if self.free_count() > self.urgent_reserved_count(rank, now) && self.pending.is_empty() {
            return self.run(start, flow, now);
        }
        self.enqueue(start, entry, flow, now)
    }

    fn run(&mut self, start: Start, flow: Flow, now: Instant) -> OfferDecision {
        self.fair_share.record_start(&flow, now);
        self.running.insert(start.task, flow);
        OfferDecision::Run(start)
    }

    fn enqueue(
        &mut self,
        start: Start,
        entry: Incarnation,
        flow: Flow,
        now: Instant,
    ) -> OfferDecision {
        self.fair_share.reserve(&flow, now);
        self.pending.push(PendingTask { entry, flow, start });
        OfferDecision::Wait
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

    /// Releases the slot of a task that occupied it for `run_time`.
    pub fn record_end(&mut self, task: TaskId, run_time: Duration, now: Instant) {
        if let Some(flow) = self.running.remove(&task) {
            self.fair_share.record_end(&flow, run_time, now);
            self.report_recipient = Some(task.owner);
        }
    }

    /// Returns the next accepted task to start and assigns it a slot.
    ///
    /// The caller repeats the call until it returns `None`, whenever a slot is free. Slots are
    /// reserved for more urgent work queued at an entry; [`Self::grant_credits`] issues the credits
    /// for it.
    pub fn next_to_run(&mut self, now: Instant) -> Option<Start> {
        self.expire_credits(now);
        if self.free_count() == 0 || self.pending.is_empty() {
            return None;
        }
        let candidates = self.pending.iter().map(|pending| &pending.flow);
        let index = self.fair_share.choose_reserved(candidates, now)?;
        let flow = self.pending[index].flow.clone();
        let rank = self.fair_share.rank_reserved(&flow, now);
        if self.free_count() <= self.urgent_reserved_count(rank, now) {
            return None;
        }
        let pending = self.pending.remove(index);
        self.fair_share.release(&flow, now);
        match self.run(pending.start, flow, now) {
            OfferDecision::Run(start) => Some(start),
            OfferDecision::Wait | OfferDecision::Refuse(_) => None,
        }
    }

    /// Returns how many free slots are reserved for work at the entries that has a more urgent
    /// class and a better rank than `rank`.
    fn urgent_reserved_count(&mut self, rank: Option<Rank>, now: Instant) -> u32 {
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
        // Demand reserves a slot only if a credit can be issued for it.
        credited_count + demanded_count.min(self.headroom_count())
    }

    /// Issues credits for slots that are free or will soon be free.
    ///
    /// The caller repeats the call after every change and every few milliseconds, because credits
    /// expire and team caps permit more work as time passes.
    pub fn grant_credits(&mut self, now: Instant) -> Vec<EntryCredits> {
        self.expire_credits(now);
        let mut granted: BTreeMap<Incarnation, BTreeMap<Flow, u32>> = BTreeMap::new();
        while self.headroom_count() > 0 {
            let Some((entry, flow)) = self.grant_one(now) else {
                break;
            };
            *granted.entry(entry).or_default().entry(flow).or_default() += 1;
        }
        self.report_recipient = None;
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
        let entry = self.demands.take(&flow, self.report_recipient.take())?;
        self.fair_share.reserve(&flow, now);
        self.credits.push(OutstandingCredit {
            entry,
            flow: flow.clone(),
            expires_at: now + self.settings.credit_lifetime,
        });
        Some((entry, flow))
    }

    /// Takes back the oldest `credit_count` credits of an entry that cannot use them.
    ///
    /// The demand of the entry for their flows is dropped until it reports demand again; otherwise
    /// the same credits would be granted and returned repeatedly.
    pub fn return_credits(&mut self, entry: Incarnation, credit_count: u32, now: Instant) {
        self.expire_credits(now);
        self.demands.mark_responsive(entry);
        let mut remaining_count = credit_count;
        let mut flows = BTreeSet::new();
        self.remove_credits(now, |credit| {
            let is_returned = credit.entry == entry && remaining_count > 0;
            remaining_count -= u32::from(is_returned);
            if is_returned {
                flows.insert(credit.flow.clone());
            }
            is_returned
        });
        for flow in flows {
            self.demands.withdraw(entry, &flow);
        }
    }

    /// Drops the credits and the demand of an entry whose link session ended.
    ///
    /// Accepted tasks stay; the entry reconciles them when it reconnects.
    pub fn end_session(&mut self, entry: Incarnation, now: Instant) {
        self.demands.remove_entry(entry);
        self.remove_credits(now, |credit| credit.entry == entry);
    }

    /// Removes an entry that does not come back and returns its accepted tasks.
    ///
    /// The caller fences the returned attempts.
    pub fn remove_entry(&mut self, entry: Incarnation, now: Instant) -> Vec<Start> {
        self.end_session(entry, now);
        self.remove_pending(now, |pending| pending.entry == entry)
    }

    /// Removes the accepted tasks of a job and returns them; the caller fences the attempts.
    pub fn cancel(&mut self, job: JobId, now: Instant) -> Vec<Start> {
        self.remove_pending(now, |pending| pending.start.task.job == job)
    }

    /// Drops all demand and credits and returns the accepted tasks, as no more work may start.
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

    /// Takes back the credits that were not used before they expired.
    ///
    /// Their entry gets no other credit until it responds, so that it does not block slots.
    fn expire_credits(&mut self, now: Instant) {
        let expired = self
            .credits
            .extract_if(.., |credit| credit.expires_at <= now);
        for credit in expired {
            self.fair_share.release(&credit.flow, now);
            self.demands.credit_expired(credit.entry, &credit.flow);
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
