//! The state machine of a sidecar.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::common::{Attempt, Generation, Incarnation, JobId};
use crate::event::EventKind;
use crate::job::{TaskFailure, TaskId, TaskOutcome};
use crate::message::{
    AttemptState, Credit, FenceReport, Message, NotStartedReason, ReconciledTask, SlotReport,
    Start, TaskInDoubt, TaskReport,
};
use crate::minion::{EndedCounts, MinionState};

use super::arbiter::{ArbiterSettings, Offer, SlotArbiter};
use super::ended_tasks::{EndedTask, EndedTasks};
use super::{
    MinionContact, MinionNotice, RunResult, SidecarAction, SidecarCounter, SidecarEvent,
    SidecarSettings, StartMemory, StartRefusal,
};

/// The state machine of a sidecar.
///
/// It is the only process that calls its minion, so it decides alone what starts there: a task
/// is started at most once, and an attempt that it refused is never started later.
pub struct Sidecar {
    incarnation: Incarnation,
    settings: SidecarSettings,
    minion: MinionContact,
    arbiter: SlotArbiter,
    running: HashMap<TaskId, RunningTask>,
    memory: StartMemory,
    ended: EndedTasks,
    ended_counts: EndedCounts,
    peers: BTreeMap<Incarnation, Outbox>,
    is_stopping: bool,
}

/// A task that runs on the minion.
struct RunningTask {
    attempt: Attempt,
    generation: Generation,
}

/// What waits to be sent to one entry until the events at hand are dealt with.
#[derive(Default)]
struct Outbox {
    reports: Vec<TaskReport>,
    credits: Vec<Credit>,
    starts_seen_count: u64,
    /// Whether the entry is to hear of the slots though there is nothing else to tell.
    is_report_due: bool,
}

impl Sidecar {
    /// Creates a sidecar that has heard of no minion yet.
    pub fn new(incarnation: Incarnation, settings: SidecarSettings) -> Self {
        let arbiter = SlotArbiter::new(ArbiterSettings {
            slot_count: 0,
            prefetch_count: settings.prefetch_count,
            ..ArbiterSettings::default()
        });
        Self {
            incarnation,
            settings,
            minion: MinionContact::default(),
            arbiter,
            running: HashMap::new(),
            memory: StartMemory::new(),
            ended: EndedTasks::default(),
            ended_counts: EndedCounts::default(),
            peers: BTreeMap::new(),
            is_stopping: false,
        }
    }

    /// Takes in one event.
    ///
    /// The embedding process calls [`Sidecar::flush`] after the events at hand.
    pub fn handle(&mut self, event: SidecarEvent, now: Instant, actions: &mut Vec<SidecarAction>) {
        match event {
            SidecarEvent::Minion(notice) => self.hear_minion(notice, now, actions),
            SidecarEvent::PeerUp { peer } => {
                self.peers.insert(peer, Outbox::of_new_session());
            }
            SidecarEvent::PeerDown { peer } => self.lose_peer(peer, now),
            SidecarEvent::Message { peer, message } => self.receive(peer, message, now, actions),
            SidecarEvent::CallEnded {
                task,
                attempt,
                result,
                run_time,
            } => self.end_call(task, attempt, result, run_time, now, actions),
            SidecarEvent::Configured(configuration) => {
                self.arbiter.set_teams(&configuration.teams);
            }
            SidecarEvent::Tick => self.tick(now, actions),
            SidecarEvent::Stop => self.stop(now, actions),
        }
    }

    /// Fills free slots, grants credits and sends what the events at hand gave rise to.
    pub fn flush(&mut self, now: Instant, actions: &mut Vec<SidecarAction>) {
        self.fill_slots(now, actions);
        if self.takes_work(now) {
            self.grant_credits(now);
        }
        let report = self.slot_report(now);
        for (peer, outbox) in &mut self.peers {
            if let Some(message) = outbox.take(report) {
                actions.push(SidecarAction::Send {
                    peer: *peer,
                    message,
                });
            }
        }
        if self.is_stopping && self.running.is_empty() {
            actions.push(SidecarAction::Stopped);
        }
    }

    /// Returns the state of the slots, as heartbeats tell it to all entries alike.
    pub fn slot_report(&self, now: Instant) -> SlotReport {
        let mut report = self.arbiter.report(self.speed_percent());
        report.ended = self.ended_counts;
        if !self.takes_work(now) {
            report.free_count = 0;
        }
        report
    }

    fn note_starts(&mut self, peer: Incarnation, start_count: usize) {
        if let Some(outbox) = self.peers.get_mut(&peer) {
            outbox.starts_seen_count += start_count as u64;
        }
    }

    /// Returns the state of the minion as entries are to see it.
    pub fn minion_state(&self, now: Instant) -> MinionState {
        if self.is_stopping {
            return MinionState::Leaving;
        }
        self.minion.state(self.settings.minion_silence, now)
    }

    /// Returns what the minion said of itself last.
    pub fn minion(&self) -> Option<&MinionNotice> {
        self.minion.notice()
    }

    fn speed_percent(&self) -> u32 {
        self.minion
            .notice()
            .map_or(0, |notice| notice.speed_hint_percent)
    }

    /// Returns how many tasks run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns how many jobs the sidecar remembers having started tasks of.
    pub fn remembered_job_count(&self) -> usize {
        self.memory.job_count()
    }

    fn takes_work(&self, now: Instant) -> bool {
        self.minion_state(now) == MinionState::Serving
    }

    fn hear_minion(
        &mut self,
        notice: MinionNotice,
        now: Instant,
        actions: &mut Vec<SidecarAction>,
    ) {
        self.arbiter.set_slot_count(notice.slots);
        self.minion.heard(notice, now);
        self.note_state(now, actions);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<SidecarAction>) {
        self.note_state(now, actions);
        self.memory.forget(self.settings.start_memory, now);
        self.ended.forget(self.settings.result_memory, now);
    }

    fn stop(&mut self, now: Instant, actions: &mut Vec<SidecarAction>) {
        self.is_stopping = true;
        self.refuse_pending(now);
        actions.push(SidecarAction::AnnounceNow);
    }

    fn note_state(&mut self, now: Instant, actions: &mut Vec<SidecarAction>) {
        let Some(state) = self.minion.changed_state(self.settings.minion_silence, now) else {
            return;
        };
        actions.push(SidecarAction::AnnounceNow);
        actions.push(SidecarAction::Record(EventKind::MinionChanged {
            sidecar: self.incarnation,
            state,
        }));
        if state != MinionState::Serving {
            self.refuse_pending(now);
        }
    }

    /// Gives back what was accepted and has not started.
    fn refuse_pending(&mut self, now: Instant) {
        for start in self.arbiter.drain(now) {
            self.report_not_started(&start, NotStartedReason::NoMinion);
        }
    }

    fn lose_peer(&mut self, peer: Incarnation, now: Instant) {
        self.peers.remove(&peer);
        // What has not started is dropped; the owner learns so when it reconciles.
        self.arbiter.entry_gone(peer, now);
    }

    fn receive(
        &mut self,
        peer: Incarnation,
        message: Message,
        now: Instant,
        actions: &mut Vec<SidecarAction>,
    ) {
        match message {
            Message::Demands(demands) => self.arbiter.demands(peer, demands, now),
            Message::Start { tasks, demands } => {
                self.note_starts(peer, tasks.len());
                for start in tasks {
                    self.offer(peer, start, now, actions);
                }
                // The demands count what waits after these tasks have left.
                if let Some(demands) = demands {
                    self.arbiter.demands(peer, demands, now);
                }
            }
            Message::Cancel(job) => {
                for start in self.arbiter.cancel(job, now) {
                    self.report_not_started(&start, NotStartedReason::Cancelled);
                }
                actions.push(SidecarAction::Abandon(job));
            }
            Message::Reconcile(tasks) => self.reconcile(peer, &tasks, actions),
            Message::ReturnCredit(task_count) => {
                self.arbiter.return_credits(peer, task_count, now);
            }
            Message::Fence { token, job } => {
                let report = self.fence(token.incarnation, token.generation, job, now, actions);
                actions.push(SidecarAction::Send {
                    peer,
                    message: Message::Fenced(report),
                });
            }
            _ => actions.push(SidecarAction::Count(SidecarCounter::Unexpected)),
        }
    }

    fn offer(
        &mut self,
        entry: Incarnation,
        start: Start,
        now: Instant,
        actions: &mut Vec<SidecarAction>,
    ) {
        if start.task.owner != entry {
            // Only the owner of a job hands out its tasks.
            actions.push(SidecarAction::Count(SidecarCounter::Unexpected));
            return;
        }
        if self.memory.may_have_started(start.task, start.generation) {
            // The owner hands a task out again only after a verdict, so this is its error.
            actions.push(SidecarAction::Count(SidecarCounter::StartedBefore));
            return;
        }
        if self
            .memory
            .is_fenced(start.task.owner, start.generation, start.task.job)
        {
            self.refuse(&start, NotStartedReason::JobFenced, actions);
            return;
        }
        if !self.takes_work(now) {
            self.refuse(&start, NotStartedReason::NoMinion, actions);
            return;
        }
        match self.arbiter.offer(start, entry, now) {
            Offer::Run(start) => self.run(start, now, actions),
            Offer::Wait => {}
            Offer::Refuse(start) => self.refuse(&start, NotStartedReason::NoSlot, actions),
        }
    }

    fn fill_slots(&mut self, now: Instant, actions: &mut Vec<SidecarAction>) {
        while let Some(start) = self.arbiter.next_to_run(now) {
            self.run(start, now, actions);
        }
    }

    fn run(&mut self, start: Start, now: Instant, actions: &mut Vec<SidecarAction>) {
        match self.memory.start(start.task, start.generation, now) {
            Ok(()) => {}
            Err(StartRefusal::StartedBefore) => {
                self.arbiter.ended(start.task, Duration::ZERO, now);
                actions.push(SidecarAction::Count(SidecarCounter::StartedBefore));
                return;
            }
            Err(StartRefusal::JobFenced) => {
                self.arbiter.ended(start.task, Duration::ZERO, now);
                self.refuse(&start, NotStartedReason::JobFenced, actions);
                return;
            }
        }
        self.running.insert(
            start.task,
            RunningTask {
                attempt: start.attempt,
                generation: start.generation,
            },
        );
        actions.push(SidecarAction::Count(SidecarCounter::Started));
        actions.push(SidecarAction::Record(EventKind::TaskStarted {
            task: start.task,
            attempt: start.attempt,
        }));
        actions.push(SidecarAction::Run(start));
    }

    fn refuse(
        &mut self,
        start: &Start,
        reason: NotStartedReason,
        actions: &mut Vec<SidecarAction>,
    ) {
        actions.push(SidecarAction::Count(SidecarCounter::NotStarted));
        actions.push(SidecarAction::Record(EventKind::TaskFenced {
            task: start.task,
            attempt: start.attempt,
        }));
        self.report_not_started(start, reason);
    }

    fn report_not_started(&mut self, start: &Start, reason: NotStartedReason) {
        self.report(
            start.task.owner,
            TaskReport::NotStarted {
                task: start.task,
                attempt: start.attempt,
                reason,
            },
        );
    }

    fn report(&mut self, entry: Incarnation, report: TaskReport) {
        if let Some(outbox) = self.peers.get_mut(&entry) {
            outbox.reports.push(report);
        }
    }

    fn end_call(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        result: RunResult,
        run_time: Duration,
        now: Instant,
        actions: &mut Vec<SidecarAction>,
    ) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        self.arbiter.ended(task, run_time, now);
        match result {
            RunResult::Sent(outcome) => {
                self.end_task(task, &running, outcome, run_time, now, actions);
            }
            RunResult::NotSent => {
                self.memory.undo(task, running.generation, now);
                self.minion.unreachable(now);
                self.note_state(now, actions);
                // Nothing reached the minion, so the time line must not tell of a start.
                actions.push(SidecarAction::Record(EventKind::TaskFenced {
                    task,
                    attempt,
                }));
                self.report(
                    task.owner,
                    TaskReport::NotStarted {
                        task,
                        attempt,
                        reason: NotStartedReason::NoMinion,
                    },
                );
            }
        }
    }

    fn end_task(
        &mut self,
        task: TaskId,
        running: &RunningTask,
        outcome: TaskOutcome,
        run_time: Duration,
        now: Instant,
        actions: &mut Vec<SidecarAction>,
    ) {
        let attempt = running.attempt;
        let is_done = matches!(outcome, TaskOutcome::Done { .. });
        if !is_cancelled(&outcome) {
            self.ended_counts.add(!is_done);
        }
        actions.push(SidecarAction::Count(if is_done {
            SidecarCounter::Done
        } else {
            SidecarCounter::Failed
        }));
        actions.push(SidecarAction::Record(EventKind::TaskEnded {
            task,
            attempt,
            is_done,
        }));
        self.ended.keep(
            task,
            EndedTask {
                attempt,
                outcome: outcome.clone(),
                run_time,
                ended_at: now,
            },
        );
        self.report(
            task.owner,
            TaskReport::Ended {
                task,
                attempt,
                outcome,
                run_time,
            },
        );
    }

    fn reconcile(
        &mut self,
        peer: Incarnation,
        tasks: &[TaskInDoubt],
        actions: &mut Vec<SidecarAction>,
    ) {
        let verdicts = tasks
            .iter()
            .map(|doubt| ReconciledTask {
                task: doubt.task,
                attempt: doubt.attempt,
                state: self.verdict(doubt),
            })
            .collect();
        actions.push(SidecarAction::Send {
            peer,
            message: Message::Reconciled(verdicts),
        });
    }

    /// Returns what became of a task that was handed out on an earlier session.
    ///
    /// A task that was not started then never will be: the earlier session is fenced, and what
    /// had been accepted on it was dropped when it closed.
    fn verdict(&self, doubt: &TaskInDoubt) -> AttemptState {
        if self.running.contains_key(&doubt.task) {
            return AttemptState::Running;
        }
        if let Some(ended) = self.ended.get(&doubt.task) {
            return AttemptState::Ended {
                outcome: ended.outcome.clone(),
                run_time: ended.run_time,
            };
        }
        if self.memory.may_have_started(doubt.task, doubt.generation) {
            return AttemptState::Unknown;
        }
        AttemptState::NeverStarted
    }

    fn fence(
        &mut self,
        owner: Incarnation,
        generation: Generation,
        job: JobId,
        now: Instant,
        actions: &mut Vec<SidecarAction>,
    ) -> FenceReport {
        let may_have_started = self.memory.fence(owner, generation, job, now);
        for start in self.arbiter.cancel(job, now) {
            self.report_not_started(&start, NotStartedReason::JobFenced);
        }
        actions.push(SidecarAction::Count(SidecarCounter::JobFenced));
        actions.push(SidecarAction::Record(EventKind::JobFenced {
            job,
            may_have_started,
        }));
        FenceReport {
            sidecar: self.incarnation,
            job,
            may_have_started,
        }
    }

    fn grant_credits(&mut self, now: Instant) {
        for granted in self.arbiter.grant(now) {
            if let Some(outbox) = self.peers.get_mut(&granted.entry) {
                outbox.credits.extend(granted.credits);
            }
        }
    }
}

fn is_cancelled(outcome: &TaskOutcome) -> bool {
    matches!(
        outcome,
        TaskOutcome::Failed {
            failure: TaskFailure::Cancelled
        }
    )
}

impl Outbox {
    /// Creates the outbox of a session that has just opened.
    fn of_new_session() -> Self {
        Self {
            // Otherwise the entry would take the slots for busy until the next heartbeat.
            is_report_due: true,
            ..Self::default()
        }
    }

    fn take(&mut self, mut report: SlotReport) -> Option<Message> {
        report.starts_received_count = self.starts_seen_count;
        let tasks = std::mem::take(&mut self.reports);
        let credits = std::mem::take(&mut self.credits);
        let is_report_due = std::mem::take(&mut self.is_report_due);
        match (tasks.is_empty(), credits.is_empty()) {
            (true, true) if !is_report_due => None,
            (true, _) => Some(Message::Slots { report, credits }),
            (false, _) => Some(Message::Reports {
                tasks,
                report,
                credits,
            }),
        }
    }
}
