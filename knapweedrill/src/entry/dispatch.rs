//! Handing tasks out to sidecars.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::common::{Generation, Incarnation, JobId, ServiceName};
use crate::contract::Flow;
use crate::event::EventKind;
use crate::job::{JobSpec, TaskId, TaskOutcome};
use crate::message::{Credit, Demand, Message, SlotReport, Start};

use super::core::Entry;
use super::live_job::{LiveJob, LiveTaskState};
use super::queue::{QueuedJob, QueuedTask, TakenTask, TaskQueue};
use super::sidecar_view::OutTask;
use super::{EntryAction, EntryCounter};

/// How long a sidecar goes without news of a change in numbers alone.
const DEMAND_REFRESH: Duration = Duration::from_millis(200);

/// When a caller may try again whose job found the queues full.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The work of one service at one entry.
#[derive(Debug)]
pub(super) struct ServiceWork {
    pub(super) queue: TaskQueue,
}

/// Tasks on their way to sidecars while the events at hand are dealt with.
pub(super) type Batches = BTreeMap<Incarnation, Vec<Start>>;

impl Entry {
    /// Makes room for the services that the configuration names.
    pub(super) fn configure_services(&mut self, now: Instant) {
        for service in &self.configuration.services {
            self.services
                .entry(service.name.clone())
                .or_insert_with(|| ServiceWork {
                    queue: TaskQueue::new(now),
                });
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

    /// Returns when to try again if the queues have no room for a job.
    pub(super) fn overload(&self, service: &str, spec: &JobSpec) -> Option<Duration> {
        let limits = &self.configuration.limits;
        let queue = &self.services.get(service)?.queue;
        let payload_bytes: u64 = spec
            .tasks
            .iter()
            .map(|task| task.payload.len() as u64)
            .sum();
        let task_count = queue.task_count() as usize + spec.tasks.len();
        let is_full = task_count > limits.queued_tasks as usize
            || queue.payload_bytes() + payload_bytes > limits.queued_bytes
            || !self.keys.has_room();
        is_full.then_some(OVERLOAD_RETRY_AFTER)
    }

    /// Returns how long a task is expected to run on a minion of speed 1.
    pub(super) fn expected_run_time(&self, _kind: &str, hint: Option<Duration>) -> Duration {
        hint.unwrap_or_default()
    }

    /// Learns from a task that ran.
    pub(super) fn learn(
        &mut self,
        _sidecar: Incarnation,
        _task: TaskId,
        _outcome: &TaskOutcome,
        _run_time: Duration,
        _now: Instant,
    ) {
    }

    /// Forgets what was learned of a sidecar.
    pub(super) fn forget_sidecar(&mut self, _sidecar: Incarnation) {}

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

    /// Takes the waiting tasks of a job out of the queue.
    pub(super) fn dequeue(&mut self, live: &LiveJob) {
        if let Some(work) = self.services.get_mut(&live.service) {
            work.queue.remove_job(live.job);
        }
    }

    /// Puts a task back that was handed out and fenced.
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
            work.queue.push_back(queued);
        }
    }

    /// Takes in the state of a sidecar's slots, and uses its credits.
    pub(super) fn take_credits(
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
        let mut unused_count = 0;
        for credit in credits {
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

    /// Hands out what a credit allows, and returns how much of it is left.
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
                return credit.task_count - used_count;
            };
            self.hand_out(sidecar, taken, true, now, actions);
        }
        0
    }

    /// Takes the next task that may go to a sidecar.
    fn take_queued(&mut self, sidecar: Incarnation, flow: Option<&Flow>) -> Option<TakenTask> {
        let joined = self.mint.joined(sidecar)?;
        let service = &self.sidecars.get(&sidecar)?.announcement.service;
        let queue = &mut self.services.get_mut(service)?.queue;
        let is_eligible = |generation| joined <= generation;
        match flow {
            Some(flow) => queue.take(flow, is_eligible),
            None => queue.take_any(is_eligible),
        }
    }

    /// Starts what waits on slots that are free, the fastest first.
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        let services: Vec<ServiceName> = self
            .services
            .iter()
            .filter(|(_, work)| work.queue.task_count() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        for service in services {
            self.dispatch_service(&service, now, actions);
        }
        self.send_batches(now, actions);
    }

    fn dispatch_service(&mut self, service: &str, now: Instant, actions: &mut Vec<EntryAction>) {
        for sidecar in self.free_sidecars(service) {
            while self.free_count(sidecar) > 0 {
                let Some(taken) = self.take_queued(sidecar, None) else {
                    break;
                };
                self.hand_out(sidecar, taken, false, now, actions);
            }
        }
    }

    /// Returns the sidecars with free slots, the fastest first.
    fn free_sidecars(&self, service: &str) -> Vec<Incarnation> {
        let mut free: Vec<(u32, Incarnation)> = self
            .sidecars
            .iter()
            .filter(|(_, view)| view.is_usable() && view.announcement.service == service)
            .filter(|(_, view)| view.free_count() > 0)
            .map(|(sidecar, view)| (view.speed_percent(), *sidecar))
            .collect();
        free.sort_unstable_by(|a, b| b.cmp(a));
        free.into_iter().map(|(_, sidecar)| sidecar).collect()
    }

    fn free_count(&self, sidecar: Incarnation) -> u32 {
        self.sidecars
            .get(&sidecar)
            .map_or(0, |view| view.free_count())
    }

    fn hand_out(
        &mut self,
        sidecar: Incarnation,
        taken: TakenTask,
        credited: bool,
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
        live.out_count += 1;
        if let Some(task) = live.task_mut(queued.task.index) {
            task.state = LiveTaskState::Out { sidecar };
        }
        let start = Start {
            task: queued.task,
            generation: taken.generation,
            attempt: queued.attempt,
            team: taken.flow.team,
            class: taken.flow.class,
            kind: live.kind.clone(),
            expected: queued.expected,
            deadline: live.deadline_at.saturating_duration_since(now),
            credited,
            payload: queued.payload.clone(),
        };
        actions.push(EntryAction::Count(EntryCounter::HandedOut));
        actions.push(EntryAction::Record(EventKind::TaskHandedOut {
            task: queued.task,
            attempt: queued.attempt,
            sidecar,
        }));
        view.starts_sent_count += 1;
        view.start_sent_at = Some(now);
        view.out.insert(
            queued.task,
            OutTask {
                generation: taken.generation,
                queued,
            },
        );
        self.batches.entry(sidecar).or_default().push(start);
    }

    fn send_batches(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        for (sidecar, tasks) in std::mem::take(&mut self.batches) {
            let demands = self.changed_demands(sidecar, now);
            actions.push(EntryAction::Send {
                peer: sidecar,
                message: Message::Start { tasks, demands },
            });
        }
    }

    /// Tells sidecars what waits, where no task goes that could carry the news.
    pub(super) fn tell_demands(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        let sidecars: Vec<Incarnation> = self
            .sidecars
            .iter()
            .filter(|(_, view)| view.is_usable())
            .map(|(sidecar, _)| *sidecar)
            .collect();
        for sidecar in sidecars {
            if !self.is_demand_news(sidecar, now) {
                continue;
            }
            if let Some(demands) = self.changed_demands(sidecar, now) {
                actions.push(EntryAction::Send {
                    peer: sidecar,
                    message: Message::Demands(demands),
                });
            }
        }
    }

    /// Returns whether what waits differs enough from what the sidecar was told.
    ///
    /// Work that is gone is no news: a credit for it comes back, which costs no more than telling.
    fn is_demand_news(&self, sidecar: Incarnation, now: Instant) -> bool {
        let Some(view) = self.sidecars.get(&sidecar) else {
            return false;
        };
        let demands = self.demands_for(sidecar);
        let is_due = view
            .told_at
            .is_none_or(|told| now.duration_since(told) >= DEMAND_REFRESH);
        demands.iter().any(|demand| {
            let told_count = told_count(&view.told_demands, demand);
            told_count == 0 || (is_due && told_count < demand.task_count)
        })
    }

    /// Returns what waits for a sidecar if it differs from what the sidecar was told.
    fn changed_demands(&mut self, sidecar: Incarnation, now: Instant) -> Option<Vec<Demand>> {
        let demands = self.demands_for(sidecar);
        let view = self.sidecars.get_mut(&sidecar)?;
        if demands == view.told_demands {
            return None;
        }
        view.told_demands = demands.clone();
        view.told_at = Some(now);
        Some(demands)
    }

    fn demands_for(&self, sidecar: Incarnation) -> Vec<Demand> {
        let Some(joined) = self.mint.joined(sidecar) else {
            return Vec::new();
        };
        self.sidecars
            .get(&sidecar)
            .and_then(|view| self.services.get(&view.announcement.service))
            .map(|work| work.queue.demands(|generation| joined <= generation))
            .unwrap_or_default()
    }

    pub(super) fn send_cancel(
        &self,
        sidecar: Incarnation,
        job: JobId,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.sidecars.get(&sidecar).is_some_and(|view| view.is_up) {
            actions.push(EntryAction::Send {
                peer: sidecar,
                message: Message::Cancel(job),
            });
        }
    }
}

fn told_count(told: &[Demand], demand: &Demand) -> u32 {
    told.iter()
        .find(|other| other.team == demand.team && other.class == demand.class)
        .map_or(0, |other| other.task_count)
}
