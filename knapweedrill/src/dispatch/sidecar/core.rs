//! The state of a sidecar.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use super::SidecarSettings;
use super::action::{
    CallNumber, EndedRun, HoldAnswer, HowEnded, MinionReport, OrderAnswer, RunKey, SidecarAction,
};
use super::holds::Holds;
use super::judgement::Judgement;
use super::life::Life;
use super::orders::Orders;
use super::run::{Phase, Run};
use super::runs::Runs;
use super::sharers::Sharers;
use crate::common::Incarnation;
use crate::dispatch::message::{
    Condition, Message, MinionProfile, PlacementOutcome, RefusalCause, RunEnd, SidecarStatus,
    StampMs, StartOrder, TaskReport,
};
use crate::dispatch::units::{bounded, millis};
use crate::dispatch::{Attempt, Room, TaskName};

/// How often a start is ordered before it is given up. Orders without an answer are rare, so
/// more in a row tell of a minion that is stuck.
const START_ORDER_COUNT_MAX: u32 = 4;

/// By how much the number of a run rises when the minion has seen a higher one: more than a
/// task is placed in the life of a job.
const RUN_NUMBER_STEP: u32 = 16;

/// The state of a sidecar.
///
/// It starts what fits and belongs on its minion, keeps the lease of the runs, stops the runs of
/// entries that have fallen silent, and tells each entry what became of its tasks.
#[derive(Debug)]
pub struct Sidecar {
    settings: SidecarSettings,
    life: Option<Life>,
    runs: Runs,
    /// When each entry was last known to be alive.
    entries: HashMap<Incarnation, Instant>,
    judgement: Judgement,
    sharers: Sharers,
    orders: Orders,
    holds: Holds,
    is_leaving: bool,
    actions: Vec<SidecarAction>,
}

impl Sidecar {
    /// Creates a sidecar that knows of no minion.
    ///
    /// `fencing_token` has to be higher than that of an earlier process beside the same minion;
    /// it is raised if the minion says otherwise.
    pub fn new(settings: SidecarSettings, fencing_token: u64) -> Self {
        Self {
            settings,
            life: None,
            runs: Runs::default(),
            entries: HashMap::new(),
            judgement: Judgement::default(),
            sharers: Sharers::default(),
            orders: Orders::new(fencing_token),
            holds: Holds::default(),
            is_leaving: false,
            actions: Vec::new(),
        }
    }

    /// Returns what the process has to do.
    pub fn take_actions(&mut self) -> Vec<SidecarAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the newest state, for the entries.
    pub fn status(&self) -> SidecarStatus {
        SidecarStatus {
            free: self.free(),
            condition: self.condition(),
            pace_permille: self.judgement.pace_permille(),
            delay_ms: self.judgement.delay_ms(),
            sharer_count: self.sharers.count(),
        }
    }

    /// Returns the minion, if there is one.
    pub fn minion(&self) -> Option<&MinionProfile> {
        self.life.as_ref().map(|life| &life.profile)
    }

    /// Returns whether nothing is due until the next event: nothing runs, and a call that waits for an end
    /// is under way.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && !self.runs.has_foreign() && self.holds.is_pending()
    }

    /// Returns how many runs have not ended.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether an entry has runs here.
    pub fn has_runs_of(&self, entry: Incarnation) -> bool {
        self.runs.has_runs_of(entry)
    }

    /// Returns the entries that have been met and are not gone.
    pub fn entries(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.entries.keys().copied()
    }

    /// Starts nothing more.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Takes in that an entry can be talked to.
    pub fn entry_up(&mut self, entry: Incarnation, now: Instant) {
        self.entries.entry(entry).or_insert(now);
        let profile = self.life.as_ref().map(|life| life.profile.clone());
        self.send(entry, Message::Minion(profile));
    }

    /// Takes in that an entry was alive at a moment.
    pub fn entry_alive(&mut self, entry: Incarnation, at: Instant) {
        if let Some(known) = self.entries.get_mut(&entry) {
            *known = at.max(*known);
        }
    }

    /// Takes in that an entry is gone: its runs serve nobody.
    pub fn entry_gone(&mut self, entry: Incarnation) {
        self.entries.remove(&entry);
        self.stop_runs_of(entry);
    }

    /// Takes in a heartbeat of the minion.
    ///
    /// Returns whether it belongs to the minion's newest life.
    pub fn minion_reported(&mut self, report: MinionReport, now: Instant) -> bool {
        match &mut self.life {
            Some(life) if life.is_followed_by(&report) => {
                log::warn!(
                    instance = report.profile.instance.as_str(), born_ms = report.born_ms,
                    runs_lost = self.runs.len(); "minion began a new life"
                );
                if life.profile.instance == report.profile.instance {
                    // Orders may have reached the new life already; its lists tell which.
                    life.begin_again(report.born_ms, self.settings.lease_max);
                    self.orders.outrank_former_life();
                    life.update(report);
                    self.begin_judging_anew(now);
                } else {
                    self.end_life(now);
                    self.begin_life(report, now);
                }
                true
            }
            Some(life) => {
                let is_current = report.born_ms >= life.born_ms;
                if life.update(report) {
                    log::info!(
                        instance = life.profile.instance.as_str(), is_draining = life.is_draining;
                        "minion changed"
                    );
                    self.announce_minion();
                }
                is_current
            }
            None => {
                log::info!(
                    instance = report.profile.instance.as_str(), born_ms = report.born_ms;
                    "minion registered"
                );
                self.begin_life(report, now);
                true
            }
        }
    }

    /// Takes in that the minion says it is about to end.
    ///
    /// Only one that was draining is believed: the call may be late and of an earlier life.
    pub fn minion_left(&mut self, instance: &str, now: Instant) {
        let leaves = |life: &Life| life.profile.instance == instance && life.is_draining;
        if self.life.as_ref().is_some_and(leaves) {
            log::info!(instance, runs_lost = self.runs.len(); "minion left");
            self.end_life(now);
            self.announce_minion();
        }
    }

    /// Takes in an order of an entry to start a task. `stamped_at` is the moment at which the
    /// entry last knew this process to be alive.
    pub fn start(
        &mut self,
        entry: Incarnation,
        order: StartOrder,
        stamped_at: Instant,
        now: Instant,
    ) {
        let refusal = self.refusal(entry, &order, stamped_at, now);
        if let Some(cause) = refusal {
            log::info!(
                job:% = order.task.job, task = order.task.index, attempt = order.attempt,
                cause:? = cause, free_millicores = self.free().cpu_millicores;
                "start refused"
            );
            let outcome = PlacementOutcome::Refused(cause);
            self.report(entry, order.task, order.attempt, outcome);
            return;
        }
        self.entry_alive(entry, stamped_at);
        self.sharers.note(entry, now);
        let key = RunKey {
            task: order.task,
            number: order.run_number,
        };
        let run = Run {
            key,
            owner: entry,
            attempt: order.attempt,
            room: order.room,
            spec: order.spec,
            estimate: bounded(order.estimate),
            is_movable: order.is_movable,
            ordered_at: now,
            phase: Phase::Starting,
            unanswered_count: 0,
            order_count: 0,
        };
        self.runs.insert(run);
        self.order_start(key, now);
    }

    /// Takes in an order of an entry to stop a task.
    pub fn stop(&mut self, entry: Incarnation, task: TaskName, attempt: Attempt) {
        if let Some(key) = self.runs.of_placement(entry, task, attempt) {
            self.begin_stop(key);
        }
    }

    /// Takes in the answer to an order to start a run.
    pub fn start_answered(
        &mut self,
        call: CallNumber,
        answer: OrderAnswer,
        clock_ms: Option<StampMs>,
        now: Instant,
    ) {
        let Some(key) = self.orders.answered(call) else {
            return;
        };
        self.note_clock(clock_ms, now);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.phase != Phase::Starting {
            // It is being stopped; the minion's lists tell the end.
            return;
        }
        let is_certain = run.unanswered_count == 0;
        let can_repeat = run.order_count < START_ORDER_COUNT_MAX;
        match answer {
            OrderAnswer::Accepted => {
                run.phase = Phase::Running(now);
                self.judgement
                    .learn_start(now.saturating_duration_since(run.ordered_at));
                log::info!(
                    job:% = key.task.job, task = key.task.index, attempt = run.attempt,
                    run = key.number, orders = run.order_count; "run started"
                );
            }
            // An earlier order without an answer was carried out; the lists tell the rest.
            OrderAnswer::Old if !is_certain => run.phase = Phase::Running(now),
            OrderAnswer::Old if can_repeat => self.renumber(key, now),
            OrderAnswer::Late if can_repeat => self.order_start(key, now),
            OrderAnswer::Fenced if can_repeat => {
                self.orders.raise_fencing_token();
                self.order_start(key, now);
            }
            OrderAnswer::NoAnswer => {
                run.unanswered_count += 1;
                log::warn!(
                    job:% = key.task.job, task = key.task.index, run = key.number,
                    orders = run.order_count; "start without an answer"
                );
                if can_repeat {
                    self.order_start(key, now);
                } else {
                    self.begin_stop(key);
                }
            }
            OrderAnswer::OtherLife => self.settle_absent(key, now),
            _ if !is_certain => self.begin_stop(key),
            OrderAnswer::NoRoom => self.refuse_run(key, RefusalCause::NoRoom),
            OrderAnswer::Malformed => {
                let outcome = run.ended(RunEnd::Failed, now);
                self.settle(key, outcome);
            }
            OrderAnswer::Unhealthy => {
                self.judgement.note(key.task.job, true);
                self.refuse_run(key, RefusalCause::Unhealthy);
            }
            OrderAnswer::Old | OrderAnswer::Late | OrderAnswer::Fenced | OrderAnswer::NotSent => {
                self.refuse_run(key, RefusalCause::NoMinion);
            }
        }
    }

    /// Takes in the answer to an order to stop a run.
    pub fn stop_answered(
        &mut self,
        call: CallNumber,
        answer: OrderAnswer,
        clock_ms: Option<StampMs>,
        now: Instant,
    ) {
        let Some(key) = self.orders.answered(call) else {
            return;
        };
        self.note_clock(clock_ms, now);
        match answer {
            OrderAnswer::NoAnswer | OrderAnswer::NotSent => {
                self.orders
                    .stop_again_at(key, now + self.settings.hold_pause);
            }
            OrderAnswer::Fenced => {
                self.orders.raise_fencing_token();
                self.order_stop(key);
            }
            OrderAnswer::OtherLife => self.settle_absent(key, now),
            _ => {
                if let Some(run) = self.runs.get_mut(key) {
                    run.phase = Phase::Stopped(now);
                }
            }
        }
    }

    /// Takes in the answer to a hold, or that there was none.
    pub fn hold_answered(&mut self, call: CallNumber, answer: Option<HoldAnswer>, now: Instant) {
        let Some(hold) = self.holds.take(call) else {
            return;
        };
        let Some(answer) = answer else {
            if self.holds.failed(&hold, &self.settings, now) {
                log::warn!(runs = self.runs.len(); "minion does not answer");
            }
            return;
        };
        let Some(life) = &mut self.life else {
            return;
        };
        if answer.born_ms > 0 && answer.born_ms < life.born_ms {
            // Of a life that is over.
            self.holds.ask_at(now + self.settings.hold_pause);
            return;
        }
        if answer.born_ms > life.born_ms && life.born_ms > 0 {
            log::warn!(born_ms = answer.born_ms; "minion began a new life, seen in its lists");
            life.begin_again(answer.born_ms, self.settings.lease_max);
            self.orders.outrank_former_life();
            self.judgement = Judgement::default();
        }
        self.judgement.learn_end(self.holds.unheard_for(now));
        if self.holds.answered(now) {
            log::info!(instance = life.profile.instance.as_str(); "minion answers again");
        }
        life.set_clock(answer.clock_ms, now);
        for ended in &answer.ended {
            self.take_end(ended, now);
        }
        self.take_running(&answer, hold.sent_at, now);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        self.sharers.forget_before(now);
        self.stop_runs_of_silent_entries(now);
        self.repeat_stops(now);
        self.end_lapsed_runs(now);
        if self.holds.is_due(!self.runs.is_empty(), now) {
            self.order_hold(now);
        }
    }

    fn condition(&self) -> Condition {
        let Some(life) = &self.life else {
            return Condition::Unavailable;
        };
        let is_reached = self.holds.is_reached() && life.clock_known();
        let is_known = life.is_reported && !self.runs.has_foreign();
        if self.is_leaving || life.is_draining || !is_reached || !is_known {
            Condition::Unavailable
        } else if self.judgement.is_suspect() {
            Condition::Suspect
        } else {
            Condition::Ready
        }
    }

    fn free(&self) -> Room {
        let capacity = self
            .life
            .as_ref()
            .map_or_else(Room::default, |life| life.profile.capacity);
        capacity.minus(self.runs.room())
    }

    fn refusal(
        &self,
        entry: Incarnation,
        order: &StartOrder,
        stamped_at: Instant,
        now: Instant,
    ) -> Option<RefusalCause> {
        let Some(life) = &self.life else {
            return Some(RefusalCause::NoMinion);
        };
        let is_known = self.entries.contains_key(&entry);
        if !is_known || now.saturating_duration_since(stamped_at) > self.settings.entry_silence {
            return Some(RefusalCause::Stale);
        }
        if self.is_leaving || life.is_draining {
            return Some(RefusalCause::Draining);
        }
        if self.condition() == Condition::Unavailable {
            return Some(RefusalCause::NoMinion);
        }
        if life.profile.service != order.service {
            return Some(RefusalCause::OtherService);
        }
        // The minion may still run it for another entry, or in an earlier placement.
        if self.runs.has_task(order.task) || !order.room.fits_into(self.free()) {
            return Some(RefusalCause::NoRoom);
        }
        None
    }

    fn order_start(&mut self, key: RunKey, now: Instant) {
        let (Some(life), Some(run)) = (&mut self.life, self.runs.get_mut(key)) else {
            return;
        };
        let call = self.orders.start(run, life, &self.settings, now);
        self.actions.extend(call.map(SidecarAction::Start));
    }

    fn order_stop(&mut self, key: RunKey) {
        let Some(life) = self.life.as_ref().filter(|_| self.runs.may_be_there(key)) else {
            return;
        };
        let call = self.orders.stop(key, life);
        self.actions.push(SidecarAction::Stop(call));
    }

    fn order_hold(&mut self, now: Instant) {
        let Some(life) = &mut self.life else {
            return;
        };
        let has_runs = !self.runs.is_empty();
        let wait = self.holds.wait(&self.settings, has_runs, now);
        // A minion that does not answer has to end its runs by itself, so that their fate is
        // known in the end.
        let renews = self.holds.is_reached();
        let call = self.orders.hold(life, renews, wait, &self.settings, now);
        self.holds.sent(call.call, !has_runs, now);
        self.actions.push(SidecarAction::Hold(call));
    }

    fn begin_life(&mut self, report: MinionReport, now: Instant) {
        self.life = Some(Life::new(report));
        self.begin_judging_anew(now);
    }

    fn begin_judging_anew(&mut self, now: Instant) {
        self.judgement = Judgement::default();
        // An answer under way may be that of the life before.
        self.holds.ask_at(now);
        self.announce_minion();
    }

    fn end_life(&mut self, now: Instant) {
        self.settle_all_absent(now);
        self.life = None;
        self.runs.forget_foreign(None);
        self.orders.forget();
        self.holds.reset();
    }

    fn announce_minion(&mut self) {
        let profile = self.life.as_ref().map(|life| life.profile.clone());
        let entries: Vec<_> = self.entries.keys().copied().collect();
        for entry in entries {
            self.send(entry, Message::Minion(profile.clone()));
        }
    }

    fn note_clock(&mut self, clock_ms: Option<StampMs>, now: Instant) {
        if let (Some(life), Some(clock_ms)) = (&mut self.life, clock_ms) {
            life.set_clock(clock_ms, now);
        }
    }

    fn take_end(&mut self, ended: &EndedRun, now: Instant) {
        let Some(life) = &mut self.life else {
            return;
        };
        if ended.number <= life.seen {
            return;
        }
        life.seen = ended.number;
        let Some(run) = self.runs.get(ended.run) else {
            return;
        };
        let end = match ended.how {
            HowEnded::Done => RunEnd::Done,
            HowEnded::Failed => RunEnd::Failed,
            HowEnded::Stopped => RunEnd::Stopped,
            HowEnded::Lapsed => RunEnd::Lost,
        };
        let outcome = run.ended(end, now);
        if end != RunEnd::Done {
            log::warn!(
                job:% = ended.run.task.job, task = ended.run.task.index, attempt = run.attempt,
                run = ended.run.number, end:? = end; "run ended without success"
            );
        }
        if end == RunEnd::Done {
            self.judgement.learn_run(run.age(now), run.estimate);
        }
        if matches!(end, RunEnd::Done | RunEnd::Failed) {
            self.judgement
                .note(ended.run.task.job, end == RunEnd::Failed);
        }
        self.settle(ended.run, outcome);
    }

    fn take_running(&mut self, answer: &HoldAnswer, asked_at: Instant, now: Instant) {
        let running: HashSet<RunKey> = answer.running.iter().map(|(key, _)| *key).collect();
        for key in self.runs.find_foreign(&running) {
            log::warn!(
                job:% = key.task.job, task = key.task.index, run = key.number;
                "run of an earlier process found; it is stopped"
            );
            self.order_stop(key);
        }
        self.stop_stalled(&answer.running, now);
        if answer.has_more {
            return;
        }
        for key in self.runs.absent(&running, asked_at) {
            self.settle_absent(key, now);
        }
    }

    /// Stops runs that stand still or nearly so, so that their entries place them elsewhere.
    fn stop_stalled(&mut self, running: &[(RunKey, u8)], now: Instant) {
        for (key, percent) in running {
            let stalled = self
                .runs
                .get(*key)
                .filter(|run| run.is_stalled(*percent, now));
            let Some(run) = stalled else {
                continue;
            };
            log::warn!(
                job:% = key.task.job, task = key.task.index, run = key.number, percent = percent,
                age_ms = millis(now.saturating_duration_since(run.ordered_at)),
                estimate_ms = millis(run.estimate); "run stands still, it is stopped"
            );
            self.judgement.note(key.task.job, true);
            self.begin_stop(*key);
        }
    }

    fn stop_runs_of_silent_entries(&mut self, now: Instant) {
        let silence = self.settings.entry_silence;
        let silent: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, alive_at)| now.saturating_duration_since(**alive_at) > silence)
            .map(|(entry, _)| *entry)
            .collect();
        for entry in silent {
            self.stop_runs_of(entry);
        }
    }

    fn stop_runs_of(&mut self, entry: Incarnation) {
        let keys = self.runs.active_of(entry);
        if !keys.is_empty() {
            log::warn!(entry:% = entry, runs = keys.len(); "runs of a silent entry are stopped");
        }
        for key in keys {
            self.begin_stop(key);
        }
    }

    /// Orders the stops again that had no answer. Not while the minion is out of reach: its lease
    /// then ends all runs.
    fn repeat_stops(&mut self, now: Instant) {
        if self.holds.is_failing() {
            return;
        }
        for key in self.orders.take_due_stops(now) {
            self.order_stop(key);
        }
    }

    fn end_lapsed_runs(&mut self, now: Instant) {
        let lapses_at = self
            .life
            .as_ref()
            .filter(|_| self.holds.is_failing())
            .and_then(|life| life.lapses_at(&self.settings));
        if !self.runs.is_empty() && lapses_at.is_some_and(|at| at <= now) {
            log::warn!(runs = self.runs.len(); "runs lapsed at a minion out of reach");
            self.settle_all_absent(now);
        }
    }

    fn begin_stop(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if matches!(run.phase, Phase::Starting | Phase::Running(_)) {
            run.phase = Phase::Stopping;
            self.order_stop(key);
        }
    }

    /// Orders a run under a higher number, since the minion has seen this one or a later one.
    fn renumber(&mut self, key: RunKey, now: Instant) {
        let Some(mut run) = self.runs.remove(key) else {
            return;
        };
        run.key.number = run.key.number.saturating_add(RUN_NUMBER_STEP);
        let key = run.key;
        self.runs.insert(run);
        self.order_start(key, now);
    }

    fn refuse_run(&mut self, key: RunKey, cause: RefusalCause) {
        self.settle(key, PlacementOutcome::Refused(cause));
    }

    fn settle_absent(&mut self, key: RunKey, now: Instant) {
        self.runs.forget_foreign(Some(key));
        if let Some(run) = self.runs.get(key) {
            let outcome = run.absent(now);
            self.settle(key, outcome);
        }
    }

    fn settle_all_absent(&mut self, now: Instant) {
        for key in self.runs.keys() {
            self.settle_absent(key, now);
        }
    }

    fn settle(&mut self, key: RunKey, outcome: PlacementOutcome) {
        if let Some(run) = self.runs.remove(key) {
            self.report(run.owner, key.task, run.attempt, outcome);
        }
    }

    fn report(
        &mut self,
        entry: Incarnation,
        task: TaskName,
        attempt: Attempt,
        outcome: PlacementOutcome,
    ) {
        let report = TaskReport {
            task,
            attempt,
            outcome,
        };
        self.send(entry, Message::Report(report));
    }

    fn send(&mut self, entry: Incarnation, message: Message) {
        self.actions.push(SidecarAction::Send(entry, message));
    }
}
