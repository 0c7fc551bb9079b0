//! Dispatching tasks to sidecars.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::common::{Generation, Incarnation, JobId, ServiceName};
use crate::contract::Flow;
use crate::event::EventKind;
use crate::job::{JobSpec, Refusal, TaskOutcome, TaskSpec};
use crate::message::{Credit, Demand, Message, SlotReport, Start};
use crate::minion::{EndedCounts, HealthChange, ServiceHealth};

use super::admission::{Admission, AdmissionRefusal, JobSize};
use super::core::Entry;
use super::demand_tracker::SidecarDemands;
use super::live_job::{LiveJob, LiveTaskState};
use super::placer::{Candidate, PlacementPolicy};
use super::queue::{QueuedJob, QueuedTask, RelativeSpeed, TakenTask, TaskQueue};
use super::sidecar_view::{OutstandingTask, SidecarView};
use super::{EntryAction, EntryCounter, EntryTimer};

/// The retry delay that is suggested while the key table is full.
const KEYS_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long demand that was advertised to a sidecar stays valid; it is sent again afterwards.
const DEMAND_REFRESH: Duration = Duration::from_secs(3);

/// The work of one service at one entry.
#[derive(Debug)]
pub(super) struct ServiceWork {
    pub(super) queue: TaskQueue,
    pub(super) admission: Admission,
    pub(super) health: ServiceHealth,
}

impl ServiceWork {
    fn may_start(&self, candidate: &Candidate, now: Instant) -> bool {
        self.health
            .may_start(candidate.sidecar, candidate.outstanding_count, now)
    }
}

/// The minions that are eligible for a task.
type Candidates = SmallVec<[Candidate; 16]>;

/// Starts to send to each sidecar at the next flush.
pub(super) type Batches = BTreeMap<Incarnation, Vec<Start>>;

impl Entry {
    /// Applies the service settings of the configuration.
    pub(super) fn configure_services(&mut self, now: Instant) {
        let limits = &self.configuration.limits;
        for service in &self.configuration.services {
            let work = self
                .services
                .entry(service.name.clone())
                .or_insert_with(|| ServiceWork {
                    queue: TaskQueue::new(now),
                    admission: Admission::new(limits.clone(), now),
                    health: ServiceHealth::new(service.ejected_max_percent, self.settings.seed),
                });
            work.admission.set_limits(limits.clone());
            work.health
                .set_ejected_max_percent(service.ejected_max_percent);
        }
        for (sidecar, view) in &self.sidecars {
            if let Some(work) = self.services.get_mut(&view.announcement.service) {
                work.health.add_minion(*sidecar);
            }
        }
    }

    pub(super) fn has_sidecar(&self, service: &str) -> bool {
        self.sidecars
            .values()
            .any(|view| view.is_usable() && view.announcement.service == service)
    }

    pub(super) fn has_sidecar_for(&self, service: &str, generation: Generation) -> bool {
        self.sidecars.iter().any(|(sidecar, view)| {
            view.is_usable()
                && view.announcement.service == service
                && self.mint.may_use(*sidecar, generation)
        })
    }

    /// Returns the refusal of a job that the key table or the queue of its service cannot hold.
    pub(super) fn overload(&self, service: &str, spec: &JobSpec) -> Option<AdmissionRefusal> {
        let work = self.services.get(service)?;
        if !self.keys.has_capacity() {
            return Some(AdmissionRefusal {
                refusal: Refusal::Overloaded,
                retry_after: Some(KEYS_FULL_RETRY_AFTER),
            });
        }
        let queued = work.queue.totals();
        let flow = Flow::new(spec.team.as_str(), self.class_of(spec));
        let work_ahead = work.queue.work_ahead(&flow);
        work.admission
            .admit(self.job_size(spec), queued, work_ahead)
            .err()
    }

    fn job_size(&self, spec: &JobSpec) -> JobSize {
        let payload_bytes = |task: &TaskSpec| task.payload.len() as u64;
        let largest_bytes = spec.tasks.iter().map(payload_bytes).max().unwrap_or(0);
        JobSize {
            task_count: u32::try_from(spec.tasks.len()).unwrap_or(u32::MAX),
            payload_bytes: spec.tasks.iter().map(payload_bytes).sum(),
            largest_payload_bytes: u32::try_from(largest_bytes).unwrap_or(u32::MAX),
            expected_work: spec
                .tasks
                .iter()
                .map(|task| self.run_time_estimator.estimate(&spec.kind, task.hint))
                .sum(),
            deadline: self.deadline_of(spec),
        }
    }

    /// Updates the speed, run time and throughput estimates with a task that ended.
    pub(super) fn record_task_end(
        &mut self,
        sidecar: Incarnation,
        queued: &QueuedTask,
        outcome: &TaskOutcome,
        run_time: Duration,
        now: Instant,
    ) {
        let Some(view) = self.sidecars.get_mut(&sidecar) else {
            return;
        };
        let is_done = matches!(outcome, TaskOutcome::Done { .. });
        if is_done {
            view.speed.observe(queued.expected_run_time, run_time);
            let speed_percent = view.speed.percent();
            if let Some(live) = self.jobs.get_mut(&queued.task.job) {
                let kind = live.kind.clone();
                let hint = live.task_mut(queued.task.index).and_then(|task| task.hint);
                self.run_time_estimator
                    .observe(&kind, hint, run_time, speed_percent);
            }
        }
        let Some(work) = self.services.get_mut(&view.announcement.service) else {
            return;
        };
        work.admission
            .record_end(queued.expected_run_time, work.queue.totals(), now);
    }

    /// Updates outlier detection with the task outcomes that a sidecar reports for its minion.
    ///
    /// The counts cover the tasks of all entries.
    pub(super) fn record_health(
        &mut self,
        sidecar: Incarnation,
        counts: EndedCounts,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self.sidecars.get(&sidecar) else {
            return;
        };
        let Some(work) = self.services.get_mut(&view.announcement.service) else {
            return;
        };
        if let Some(change) = work.health.record_counts(sidecar, counts, now) {
            record_health_change(sidecar, change, actions);
        }
    }

    /// Removes a sidecar from the outlier detection of a service.
    pub(super) fn remove_sidecar_health(&mut self, service: &str, sidecar: Incarnation) {
        if let Some(work) = self.services.get_mut(service) {
            work.health.remove_minion(sidecar);
        }
    }

    /// Queues the tasks of a job.
    pub(super) fn enqueue(&mut self, live: &LiveJob, tasks: Vec<QueuedTask>, now: Instant) {
        let job = QueuedJob {
            job: live.job,
            generation: live.generation,
            flow: Flow::new(live.team.as_str(), live.class),
            tasks,
        };
        if let Some(work) = self.services.get_mut(&live.service) {
            work.queue.push_job(job, now);
        }
    }

    /// Removes the waiting tasks of a job from the queue.
    pub(super) fn dequeue(&mut self, live: &LiveJob) {
        if let Some(work) = self.services.get_mut(&live.service) {
            work.queue.remove_job(live.job);
        }
    }

    /// Queues a task again that was handed out and not started.
    pub(super) fn requeue(&mut self, queued: QueuedTask) {
        let Some(live) = self.jobs.get_mut(&queued.task.job) else {
            return;
        };
        let service = live.service.clone();
        if let Some(task) = live.task_mut(queued.task.index) {
            task.attempt = queued.attempt + 1;
            task.state = LiveTaskState::Queued;
        }
        if let Some(work) = self.services.get_mut(&service) {
            work.queue.requeue(queued);
        }
    }

    /// Stores the slot report of a sidecar, uses its credits and returns the unused ones.
    pub(super) fn handle_credits(
        &mut self,
        sidecar: Incarnation,
        report: SlotReport,
        credits: Vec<Credit>,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self.sidecars.get_mut(&sidecar) else {
            return;
        };
        view.report = report;
        self.record_health(sidecar, report.ended, now, actions);
        let mut unused_count = 0;
        let may_start = self.may_start(sidecar, now);
        for credit in credits {
            if !may_start {
                let flow = Flow::new(credit.team.as_str(), credit.class);
                self.demand_tracker.remove_flow(sidecar, &flow);
                unused_count += credit.task_count;
                continue;
            }
            unused_count += self.use_credit(sidecar, &credit, now, actions);
        }
        if unused_count > 0 {
            actions.push(EntryAction::Count(EntryCounter::CreditReturned));
            actions.push(EntryAction::Send {
                peer: sidecar,
                message: Message::ReturnCredit(unused_count),
            });
        }
    }

    fn may_start(&self, sidecar: Incarnation, now: Instant) -> bool {
        let Some(view) = self.sidecars.get(&sidecar) else {
            return false;
        };
        view.is_usable()
            && self
                .services
                .get(&view.announcement.service)
                .is_some_and(|work| work.may_start(&view.candidate(), now))
    }

    /// Hands out tasks against a credit, and returns the number of tasks that it has left.
    fn use_credit(
        &mut self,
        sidecar: Incarnation,
        credit: &Credit,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) -> u32 {
        let flow = Flow::new(credit.team.as_str(), credit.class);
        for used_count in 0..credit.task_count {
            let Some(taken) = self.take_queued(sidecar, Some(&flow)) else {
                let unused_count = credit.task_count - used_count;
                self.demand_tracker.remove_flow(sidecar, &flow);
                return unused_count;
            };
            self.hand_out(sidecar, taken, true, now, actions);
        }
        0
    }

    /// Takes the next task from the queue that a sidecar is eligible for.
    fn take_queued(&mut self, sidecar: Incarnation, flow: Option<&Flow>) -> Option<TakenTask> {
        let first_generation = self.mint.first_generation(sidecar)?;
        let relative_speed = self.relative_speed(sidecar);
        let service = &self.sidecars.get(&sidecar)?.announcement.service;
        let queue = &mut self.services.get_mut(service)?.queue;
        let is_eligible = |generation| first_generation <= generation;
        match flow {
            Some(flow) => queue.take(flow, relative_speed, is_eligible),
            None => queue.take_any(relative_speed, is_eligible),
        }
    }

    /// Returns the speed of a minion relative to its service, if the placement policy uses speeds.
    fn relative_speed(&self, sidecar: Incarnation) -> Option<RelativeSpeed> {
        if self.placer.policy() != PlacementPolicy::LateBindingBySpeed {
            return None;
        }
        let view = self.sidecars.get(&sidecar)?;
        let service = &view.announcement.service;
        let mut relative_speed = RelativeSpeed {
            speed_percent: view.speed.percent(),
            fastest_speed_percent: 0,
            total_speed_percent: 0,
        };
        let others = self.sidecars.values();
        let usable = others.filter(|other| other.is_usable());
        for other in usable.filter(|other| other.announcement.service == *service) {
            let speed_percent = other.speed.percent();
            relative_speed.fastest_speed_percent =
                relative_speed.fastest_speed_percent.max(speed_percent);
            relative_speed.total_speed_percent += speed_percent * other.announcement.slots;
        }
        Some(relative_speed)
    }

    /// Hands queued tasks to the minions that the placement policy chooses.
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        let services: Vec<ServiceName> = self
            .services
            .iter()
            .filter(|(_, work)| work.queue.totals().task_count > 0)
            .map(|(name, _)| name.clone())
            .collect();
        for service in services {
            self.dispatch_service(&service, now, actions);
        }
    }

    fn dispatch_service(&mut self, service: &str, now: Instant, actions: &mut Vec<EntryAction>) {
        let mut candidates = self.candidates(service, now);
        while let Some(sidecar) = self.placer.choose(candidates.iter().copied()) {
            let Some(taken) = self.take_queued(sidecar, None) else {
                // No queued task is eligible for this sidecar.
                candidates.retain(|candidate| candidate.sidecar != sidecar);
                continue;
            };
            self.hand_out(sidecar, taken, false, now, actions);
            self.update_candidate(&mut candidates, service, sidecar, now);
        }
    }

    /// Returns the minions that may be handed a task.
    fn candidates(&self, service: &str, now: Instant) -> Candidates {
        let Some(work) = self.services.get(service) else {
            return Candidates::new();
        };
        self.sidecars
            .values()
            .filter(|view| view.is_usable() && view.announcement.service == service)
            .map(SidecarView::candidate)
            .filter(|candidate| work.may_start(candidate, now))
            .collect()
    }

    fn update_candidate(
        &self,
        candidates: &mut Candidates,
        service: &str,
        sidecar: Incarnation,
        now: Instant,
    ) {
        let updated = self.sidecars.get(&sidecar).map(SidecarView::candidate);
        let may_start = |candidate: &Candidate| {
            self.services
                .get(service)
                .is_some_and(|work| work.may_start(candidate, now))
        };
        candidates.retain(|candidate| candidate.sidecar != sidecar);
        candidates.extend(updated.filter(may_start));
    }

    fn hand_out(
        &mut self,
        sidecar: Incarnation,
        taken: TakenTask,
        uses_credit: bool,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let queued = taken.task;
        let Some(view) = self.sidecars.get_mut(&sidecar) else {
            return;
        };
        let Some(live) = self.jobs.get_mut(&queued.task.job) else {
            return;
        };
        live.outstanding_count += 1;
        if let Some(task) = live.task_mut(queued.task.index) {
            task.state = LiveTaskState::HandedOut { sidecar };
        }
        let start = Start {
            task: queued.task,
            generation: taken.generation,
            attempt: queued.attempt,
            team: taken.flow.team.clone(),
            class: taken.flow.class,
            kind: live.kind.clone(),
            expected_run_time: queued.expected_run_time,
            time_to_deadline: live.deadline_at.saturating_duration_since(now),
            uses_credit,
            payload: queued.payload.clone(),
        };
        actions.push(EntryAction::RecordDuration {
            timer: EntryTimer::TaskWait,
            duration: now.saturating_duration_since(live.accepted_at),
        });
        actions.push(EntryAction::Count(EntryCounter::HandedOut));
        actions.push(EntryAction::Record(EventKind::TaskHandedOut {
            task: queued.task,
            attempt: queued.attempt,
            sidecar,
        }));
        self.demand_tracker
            .tasks_handed_out(sidecar, &taken.flow, 1);
        view.starts_sent_count += 1;
        view.last_start_sent_at = Some(now);
        view.outstanding.insert(
            queued.task,
            OutstandingTask {
                generation: taken.generation,
                queued,
            },
        );
        self.batches.entry(sidecar).or_default().push(start);
    }

    /// Sends the batched starts and the demand updates to sidecars.
    ///
    /// A demand update is piggybacked on the starts for the same sidecar, if there are any.
    pub(super) fn send_batches(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        let mut updates = self.demand_updates(now);
        for (sidecar, tasks) in std::mem::take(&mut self.batches) {
            let demands = updates.remove(&sidecar);
            actions.push(EntryAction::Send {
                peer: sidecar,
                message: Message::Start { tasks, demands },
            });
        }
        for (sidecar, demands) in updates {
            actions.push(EntryAction::Send {
                peer: sidecar,
                message: Message::Demands(demands),
            });
        }
    }

    /// Returns the demand updates to send, by sidecar.
    fn demand_updates(&mut self, now: Instant) -> BTreeMap<Incarnation, Vec<Demand>> {
        let is_anything_queued = self
            .services
            .values()
            .any(|work| work.queue.totals().task_count > 0);
        if !is_anything_queued {
            return BTreeMap::new();
        }
        self.reset_expired_demands(now);
        let demands = self.demands_by_sidecar(now);
        let updates: BTreeMap<Incarnation, Vec<Demand>> = self
            .demand_tracker
            .update(&demands)
            .into_iter()
            .map(|update| (update.sidecar, update.demands))
            .collect();
        for sidecar in updates.keys() {
            if let Some(view) = self.sidecars.get_mut(sidecar) {
                view.demands_sent_at = Some(now);
            }
        }
        updates
    }

    /// Resets the advertised demand that is older than `DEMAND_REFRESH`, so that it is sent again.
    fn reset_expired_demands(&mut self, now: Instant) {
        for (sidecar, view) in &mut self.sidecars {
            let demands_sent_at = view.demands_sent_at;
            if demands_sent_at.is_some_and(|sent| now.duration_since(sent) >= DEMAND_REFRESH) {
                view.demands_sent_at = None;
                self.demand_tracker.reset_sidecar(*sidecar);
            }
        }
    }

    /// Returns the demand for each sidecar that may start tasks now, the fastest minion first.
    fn demands_by_sidecar(&self, now: Instant) -> Vec<SidecarDemands> {
        let mut views: Vec<(&Incarnation, &SidecarView)> = self
            .sidecars
            .iter()
            .filter(|(sidecar, _)| self.may_start(**sidecar, now))
            .collect();
        views.sort_by_key(|(_, view)| std::cmp::Reverse(view.speed.percent()));
        let views = views.into_iter();
        views
            .map(|(sidecar, view)| SidecarDemands {
                sidecar: *sidecar,
                slot_count: view.announcement.slots,
                demands: self.demands_for(*sidecar),
            })
            .collect()
    }

    fn demands_for(&self, sidecar: Incarnation) -> Vec<Demand> {
        let Some(first_generation) = self.mint.first_generation(sidecar) else {
            return Vec::new();
        };
        self.sidecars
            .get(&sidecar)
            .and_then(|view| self.services.get(&view.announcement.service))
            .map(|work| {
                work.queue
                    .demands(|generation| first_generation <= generation)
            })
            .unwrap_or_default()
    }

    pub(super) fn is_ejected(&self, sidecar: Incarnation, view: &SidecarView) -> bool {
        self.services
            .get(&view.announcement.service)
            .is_some_and(|work| work.health.is_ejected(sidecar))
    }

    pub(super) fn send_cancel(
        &self,
        sidecar: Incarnation,
        job: JobId,
        actions: &mut Vec<EntryAction>,
    ) {
        if self
            .sidecars
            .get(&sidecar)
            .is_some_and(|view| view.is_connected)
        {
            actions.push(EntryAction::Send {
                peer: sidecar,
                message: Message::Cancel(job),
            });
        }
    }
}

fn record_health_change(
    sidecar: Incarnation,
    change: HealthChange,
    actions: &mut Vec<EntryAction>,
) {
    let event = match change {
        HealthChange::Ejected => EventKind::MinionEjected { sidecar },
        HealthChange::Readmitted => EventKind::MinionReadmitted { sidecar },
        HealthChange::TrialFailed => return,
    };
    actions.push(EntryAction::Record(event));
}
