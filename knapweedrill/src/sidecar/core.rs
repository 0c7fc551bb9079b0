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

use super::arbiter::{ArbiterSettings, OfferDecision, SlotArbiter};
use super::ended_tasks::{EndedTask, EndedTasks};
use super::{
    MinionMonitor, MinionNotice, RunResult, SidecarAction, SidecarCounter, SidecarEvent,
    SidecarSettings, StartRefusal, StartRegistry,
};

/// The state machine of a sidecar.
///
/// A sidecar is the only process that calls its minion and so controls every start there: a task is
/// started at most once, and an attempt that was refused is never started later.
pub struct Sidecar {
    incarnation: Incarnation,
    settings: SidecarSettings,
    minion: MinionMonitor,
    arbiter: SlotArbiter,
    running: HashMap<TaskId, RunningTask>,
    start_registry: StartRegistry,
    ended_tasks: EndedTasks,
    ended_counts: EndedCounts,
    peers: BTreeMap<Incarnation, Outbox>,
    is_stopping: bool,
}

/// A task that is running on the minion.
struct RunningTask {
    attempt: Attempt,
    generation: Generation,
}

/// Reports and credits for one entry, batched until the next flush.
#[derive(Default)]
struct Outbox {
    reports: Vec<TaskReport>,
    credits: Vec<Credit>,
    starts_received_count: u64,
    /// Whether a slot report is sent even if there are no task reports and credits.
    is_report_due: bool,
}

impl Sidecar {
    /// Creates a sidecar whose minion has not announced itself yet.
    pub fn new(incarnation: Incarnation, settings: SidecarSettings) -> Self {
        let arbiter = SlotArbiter::new(ArbiterSettings {
            slot_count: 0,
            prefetch_count: settings.prefetch_count,
            ..ArbiterSettings::default()
        });
        Self {
            incarnation,
            settings,
            minion: MinionMonitor::default(),
            arbiter,
            running: HashMap::new(),
            start_registry: StartRegistry::new(),
            ended_tasks: EndedTasks::default(),
            ended_counts: EndedCounts::default(),
            peers: BTreeMap::new(),
            is_stopping: false,
        }
    }

    /// Handles one event.
    ///
    /// The embedding process calls [`Sidecar::flush`] after each batch of events.
    pub fn handle(&mut self, event: SidecarEvent, now: Instant, actions: &mut Vec<SidecarAction>) {
        match event {
            SidecarEvent::MinionAnnounced(notice) => {
                self.handle_minion_notice(notice, now, actions)
            }
            SidecarEvent::PeerConnected { peer } => {
                self.peers.insert(peer, Outbox::for_new_session());
            }
            SidecarEvent::PeerDisconnected { peer } => self.remove_peer(peer, now),
            SidecarEvent::Message { peer, message } => self.receive(peer, message, now, actions),
            SidecarEvent::CallEnded {
                task,
                attempt,
                result,
                run_time,
            } => self.handle_call_end(task, attempt, result, run_time, now, actions),
            SidecarEvent::ConfigurationChanged(configuration) => {
                self.arbiter.set_teams(&configuration.teams);
            }
            SidecarEvent::Tick => self.tick(now, actions),
            SidecarEvent::Stop => self.stop(now, actions),
        }
    }

    /// Fills free slots, grants credits and sends the batched reports.
    pub fn flush(&mut self, now: Instant, actions: &mut Vec<SidecarAction>) {
        self.fill_slots(now, actions);
        if self.accepts_work(now) {
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

    /// Returns the slot report that heartbeats carry to all entries.
    pub fn slot_report(&self, now: Instant) -> SlotReport {
        let mut report = self.arbiter.report(self.speed_percent());
        report.ended = self.ended_counts;
        if !self.accepts_work(now) {
            report.free_count = 0;
        }
        report
    }

    fn record_starts(&mut self, peer: Incarnation, start_count: usize) {
        if let Some(outbox) = self.peers.get_mut(&peer) {
            outbox.starts_received_count += start_count as u64;
        }
    }

    /// Returns the state of the minion that is announced to the entries.
    pub fn minion_state(&self, now: Instant) -> MinionState {
        if self.is_stopping {
            return MinionState::Leaving;
        }
        self.minion.state(self.settings.minion_silence_timeout, now)
    }

    /// Returns the last notice of the minion.
    pub fn minion(&self) -> Option<&MinionNotice> {
        self.minion.notice()
    }

    fn speed_percent(&self) -> u32 {
        self.minion
            .notice()
            .map_or(0, |notice| notice.speed_hint_percent)
    }

    /// Returns how many tasks are running.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns how many jobs the start registry holds.
    pub fn remembered_job_count(&self) -> usize {
        self.start_registry.job_count()
    }

    fn accepts_work(&self, now: Instant) -> bool {
        self.minion_state(now) == MinionState::Serving
    }

    fn handle_minion_notice(
        &mut self,
        notice: MinionNotice,
        now: Instant,
        actions: &mut Vec<SidecarAction>,
    ) {
        self.arbiter.set_slot_count(notice.slots);
        self.minion.record_notice(notice, now);
        self.update_minion_state(now, actions);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<SidecarAction>) {
        self.update_minion_state(now, actions);
        self.start_registry
            .evict_older_than(self.settings.start_retention, now);
        self.ended_tasks
            .evict_older_than(self.settings.result_retention, now);
    }

    fn stop(&mut self, now: Instant, actions: &mut Vec<SidecarAction>) {
        self.is_stopping = true;
        self.refuse_pending(now);
        actions.push(SidecarAction::AnnounceNow);
    }

    fn update_minion_state(&mut self, now: Instant, actions: &mut Vec<SidecarAction>) {
        let Some(state) = self
            .minion
            .take_state_change(self.settings.minion_silence_timeout, now)
        else {
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

    /// Reports accepted tasks that have not started as not started.
    fn refuse_pending(&mut self, now: Instant) {
        for start in self.arbiter.drain(now) {
            self.report_not_started(&start, NotStartedReason::NoMinion);
        }
    }

    fn remove_peer(&mut self, peer: Incarnation, now: Instant) {
        self.peers.remove(&peer);
        // Accepted tasks are dropped; their owner learns this when it reconciles.
        self.arbiter.remove_entry(peer, now);
    }

    fn receive(
        &mut self,
        peer: Incarnation,
        message: Message,
        now: Instant,
        actions: &mut Vec<SidecarAction>,
    ) {
        match message {
            Message::Demands(demands) => self.arbiter.set_demands(peer, demands, now),
            Message::Start { tasks, demands } => {
                self.record_starts(peer, tasks.len());
                for start in tasks {
                    self.offer(peer, start, now, actions);
                }
                // The demands count the tasks that are still queued after these starts.
                if let Some(demands) = demands {
                    self.arbiter.set_demands(peer, demands, now);
                }
            }
            Message::Cancel(job) => {
                for start in self.arbiter.cancel(job, now) {
                    self.report_not_started(&start, NotStartedReason::Cancelled);
                }
                actions.push(SidecarAction::CancelCalls(job));
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
            _ => actions.push(SidecarAction::Count(SidecarCounter::UnexpectedMessage)),
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
            // Only the owner of a job dispatches its tasks.
            actions.push(SidecarAction::Count(SidecarCounter::UnexpectedMessage));
            return;
        }
        if self
            .start_registry
            .may_have_started(start.task, start.generation)
        {
            // The owner dispatches a task again only after it reconciled it, so this is a protocol
            // error of the owner.
            actions.push(SidecarAction::Count(SidecarCounter::DuplicateStart));
            return;
        }
        if self
            .start_registry
            .is_fenced(start.task.owner, start.generation, start.task.job)
        {
            self.refuse(&start, NotStartedReason::JobFenced, actions);
            return;
        }
        if !self.accepts_work(now) {
            self.refuse(&start, NotStartedReason::NoMinion, actions);
            return;
        }
        match self.arbiter.offer(start, entry, now) {
            OfferDecision::Run(start) => self.run(start, now, actions),
            OfferDecision::Wait => {}
            OfferDecision::Refuse(start) => self.refuse(&start, NotStartedReason::NoSlot, actions),
        }
    }

    fn fill_slots(&mut self, now: Instant, actions: &mut Vec<SidecarAction>) {
        while let Some(start) = self.arbiter.next_to_run(now) {
            self.run(start, now, actions);
        }
    }

    fn run(&mut self, start: Start, now: Instant, actions: &mut Vec<SidecarAction>) {
        match self
            .start_registry
            .record_start(start.task, start.generation, now)
        {
            Ok(()) => {}
            Err(StartRefusal::StartedBefore) => {
                self.arbiter.record_end(start.task, Duration::ZERO, now);
                actions.push(SidecarAction::Count(SidecarCounter::DuplicateStart));
                return;
            }
            Err(StartRefusal::JobFenced) => {
                self.arbiter.record_end(start.task, Duration::ZERO, now);
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

    fn handle_call_end(
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
        self.arbiter.record_end(task, run_time, now);
        match result {
            RunResult::Sent(outcome) => {
                self.end_task(task, &running, outcome, run_time, now, actions);
            }
            RunResult::NotSent => {
                self.start_registry
                    .revert_start(task, running.generation, now);
                self.minion.mark_unreachable(now);
                self.update_minion_state(now, actions);
                // Nothing reached the minion, so the timeline must show the attempt as not started.
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
        self.ended_tasks.insert(
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
        let reconciled = tasks
            .iter()
            .map(|in_doubt| ReconciledTask {
                task: in_doubt.task,
                attempt: in_doubt.attempt,
                state: self.attempt_state(in_doubt),
            })
            .collect();
        actions.push(SidecarAction::Send {
            peer,
            message: Message::Reconciled(reconciled),
        });
    }

    /// Returns the state of an attempt that was dispatched on an earlier session.
    ///
    /// A task that was not started on that session never will be: the session is fenced, and its
    /// accepted tasks were dropped when it closed.
    fn attempt_state(&self, in_doubt: &TaskInDoubt) -> AttemptState {
        if self.running.contains_key(&in_doubt.task) {
            return AttemptState::Running;
        }
        if let Some(ended) = self.ended_tasks.get(&in_doubt.task) {
            return AttemptState::Ended {
                outcome: ended.outcome.clone(),
                run_time: ended.run_time,
            };
        }
        if self
            .start_registry
            .may_have_started(in_doubt.task, in_doubt.generation)
        {
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
        let may_have_started = self.start_registry.fence(owner, generation, job, now);
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
        for entry_credits in self.arbiter.grant_credits(now) {
            if let Some(outbox) = self.peers.get_mut(&entry_credits.entry) {
                outbox.credits.extend(entry_credits.credits);
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
    fn for_new_session() -> Self {
        Self {
            // Without a report the entry would treat all slots as busy until the next heartbeat.
            is_report_due: true,
            ..Self::default()
        }
    }

    fn take(&mut self, mut report: SlotReport) -> Option<Message> {
        report.starts_received_count = self.starts_received_count;
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
