//! The state of an entry.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::admission::Admission;
use super::answer::{Answer, CallerId, RefusedBecause};
use super::answered::Answered;
use super::configuration_exchange::ConfigurationExchange;
use super::fleet::{Fleet, Wanted};
use super::job::{Job, TaskState};
use super::queue::WaitingJobs;
use super::{EntrySettings, Submission};
use crate::common::Incarnation;
use crate::dispatch::configuration::{Configuration, Version};
use crate::dispatch::message::{
    EntryStatus, Message, PlacementOutcome, RefusalCause, Role, RunEnd, StartOrder, Status,
    TaskReport,
};
use crate::dispatch::session::{Envelope, MessageNumber, SessionEvent, Sessions};
use crate::dispatch::{Attempt, JobName, TaskName};

/// The pause that refused callers are asked for: long enough for a burst to drain, spread by
/// the name of the job so that they do not all return at once.
const RETRY_AFTER: Duration = Duration::from_secs(1);
const RETRY_AFTER_SPREAD_S: u64 = 3;

/// How much worse than its estimate a minion counts on which the task has failed or which turned
/// it down: it is used only if no other has room soon.
const AVOIDED_PENALTY_FACTOR: u32 = 2;

/// How often a task is moved off a minion on which it seems to stand still.
const MOVES_MAX: usize = 2;

/// The priority of the most urgent queues.
const MOST_URGENT: u8 = 0;

/// How many jobs that find no room are passed over before the search ends. Tasks differ little
/// in size, so what does not fit now seldom fits after more.
const PASSED_OVER_MAX: usize = 8;

/// What an entry asks its process to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Answers a caller.
    Answer {
        /// The caller.
        caller: CallerId,
        /// The answer.
        answer: Answer,
        /// The queue that took the job; empty if none did.
        queue: String,
    },
}

/// The state of an entry.
///
/// It takes jobs, places their tasks on minions with room, places them again when a run was lost
/// and is known to have ended, and answers each caller once.
#[derive(Debug)]
pub struct Entry {
    settings: EntrySettings,
    sessions: Sessions,
    configuration: Option<Configuration>,
    exchange: ConfigurationExchange,
    /// The other entries, with the version of the configuration that each has told.
    peers: HashMap<Incarnation, (Version, bool)>,
    fleet: Fleet,
    jobs: HashMap<JobName, Job>,
    waiting: WaitingJobs,
    answered: Answered,
    next_attempt: Attempt,
    is_leaving: bool,
    actions: Vec<EntryAction>,
}

impl Entry {
    /// Creates an entry without a configuration.
    pub fn new(settings: EntrySettings, sessions: Sessions) -> Self {
        Self {
            settings,
            sessions,
            configuration: None,
            exchange: ConfigurationExchange::default(),
            peers: HashMap::new(),
            fleet: Fleet::new(settings.probe_every, settings.seed),
            jobs: HashMap::new(),
            waiting: WaitingJobs::default(),
            answered: Answered::default(),
            next_attempt: 1,
            is_leaving: false,
            actions: Vec::new(),
        }
    }

    /// Returns what the process has to do.
    pub fn take_actions(&mut self) -> Vec<EntryAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Returns the largest body that is taken, in bytes, or nothing without a configuration.
    pub fn body_bytes_max(&self) -> Option<u32> {
        Some(self.configuration.as_ref()?.body_bytes_max)
    }

    /// Returns whether callers may come.
    pub fn is_ready(&self) -> bool {
        let has_minions = self.fleet.views().any(|view| view.is_usable());
        self.configuration.is_some() && has_minions && !self.is_leaving
    }

    /// Returns how many jobs have no answer yet.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how many jobs wait for room.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many sidecars have a minion that takes tasks.
    pub fn usable_minion_count(&self) -> usize {
        self.fleet.views().filter(|view| view.is_usable()).count()
    }

    /// Returns whether a queue takes requests to a host and path, without a configuration
    /// nothing, and how many of its jobs wait.
    pub fn queue_length(&self, host: &str, path: &str) -> Option<Option<usize>> {
        let configuration = self.configuration.as_ref()?;
        let Some(queue) = configuration.queue(host, path) else {
            return Some(None);
        };
        let waits = |job: &&Job| job.queue == queue.name && job.begun_count == 0;
        Some(Some(self.jobs.values().filter(waits).count()))
    }

    /// Begins to talk to the process at an address.
    pub fn greet(&mut self, address: SocketAddr) {
        if self.sessions.greet(address) {
            log::info!(address:% = address; "process found");
        }
    }

    /// Puts a configuration into force if it is newer than the one in force.
    pub fn configure(&mut self, configuration: Configuration, source: &'static str) {
        if configuration.version <= self.version() {
            return;
        }
        log::info!(
            version = configuration.version, before = self.version(),
            queues = configuration.queues.len(), source; "configuration in force"
        );
        self.configuration = Some(configuration);
    }

    /// Takes no more callers than need be, since the process is about to stop.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Answers all callers, since the process stops now.
    pub fn give_up_all(&mut self, now: Instant) {
        let names: Vec<_> = self.jobs.keys().copied().collect();
        for name in names {
            self.give_up(name, RefusedBecause::Stopping, now);
        }
    }

    /// Takes in a job.
    pub fn submit(&mut self, caller: CallerId, submission: Submission, now: Instant) {
        let name = submission.name;
        let answer = match self.judge(&submission) {
            Err(answer) => Some(answer),
            Ok(()) => self.answered.get(name),
        };
        if let Some(answer) = answer {
            log::info!(job:% = name, answer:? = answer, version = self.version(); "answered at once");
            self.answer(caller, answer, String::new());
            return;
        }
        if let Some(job) = self.jobs.get_mut(&name) {
            job.callers.push(caller);
            job.patience_end = job.patience_end.max(now + submission.patience);
            log::info!(job:% = name; "another request joined the job");
            return;
        }
        let queue = self
            .configuration
            .as_ref()
            .and_then(|configuration| configuration.queue(&submission.host, &submission.path));
        let Some(queue) = queue else {
            return;
        };
        let job = Job::new(submission, queue, caller, now);
        let admission = self.admission(&job);
        if !admission.is_admitted() {
            log::warn!(
                job:% = name, queue = job.queue.as_str(), wait_ms = millis(admission.wait()),
                slack_ms = millis(admission.slack), waiting = self.waiting.len();
                "refused, it would wait too long"
            );
            let answer = Answer::Refused {
                because: RefusedBecause::Overload,
                retry_after: retry_after(name),
            };
            self.answer(caller, answer, job.queue);
            return;
        }
        log::info!(
            job:% = name, queue = job.queue.as_str(), tasks = job.tasks.len(),
            estimate_ms = millis(job.longest), version = self.version(); "admitted"
        );
        self.waiting.update(&job);
        self.jobs.insert(name, job);
        self.place_waiting(now);
    }

    /// Takes in that a caller has gone; a job that nobody waits for is stopped.
    pub fn caller_left(&mut self, caller: CallerId, name: JobName, now: Instant) {
        let Some(job) = self.jobs.get_mut(&name) else {
            return;
        };
        job.callers.retain(|waiting| *waiting != caller);
        if job.callers.is_empty() {
            log::info!(
                job:% = name, age_ms = millis(now.saturating_duration_since(job.arrived_at));
                "stopped, since its caller has gone"
            );
            self.end_job(name, None, now);
        }
    }

    /// Returns whether a job has no answer yet.
    pub fn is_live(&self, name: JobName) -> bool {
        self.jobs.contains_key(&name)
    }

    /// Stops a job and answers its callers; returns whether it was there.
    pub fn cancel(&mut self, name: JobName, now: Instant) -> bool {
        let is_live = self.is_live(name);
        self.end_job(name, Some(Answer::Cancelled), now);
        is_live
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, from: SocketAddr, envelope: Envelope, now: Instant) {
        for event in self.sessions.receive(from, envelope, now) {
            self.take_event(event, now);
        }
    }

    /// Places tasks for which there is room now; called once all that is at hand was taken in.
    pub fn settle(&mut self, now: Instant) {
        self.place_waiting(now);
    }

    /// Does what is due and returns the datagrams to send.
    pub fn poll(&mut self, now: Instant) -> Vec<(SocketAddr, Envelope)> {
        self.set_statuses(now);
        let (datagrams, events) = self.sessions.poll(now);
        for event in events {
            self.take_event(event, now);
        }
        datagrams
    }

    /// Looks at time-outs.
    pub fn tick(&mut self, now: Instant) {
        self.end_doubts(now);
        self.end_overdue(now);
        self.answered.forget_before(now, self.settings.answers_kept);
        self.fleet.forget_gone();
        self.place_waiting(now);
    }

    /// Returns the answer to a job that can't be taken, whatever else goes on.
    fn judge(&self, submission: &Submission) -> Result<(), Answer> {
        let refused = |because| Answer::Refused {
            because,
            retry_after: retry_after(submission.name),
        };
        let Some(configuration) = &self.configuration else {
            return Err(refused(RefusedBecause::NoConfiguration));
        };
        let Some(queue) = configuration.queue(&submission.host, &submission.path) else {
            return Err(Answer::NoQueue);
        };
        if !submission.is_offered || queue.has_advice {
            return Err(refused(RefusedBecause::NotOffered));
        }
        let could_run = submission.steps.iter().all(|step| {
            self.fleet.could_ever_run(&Wanted {
                service: &queue.service,
                room: step.room,
                estimate: step.estimate,
                required_label: step.required_label.as_deref(),
                preferred_label: None,
            })
        });
        if !could_run {
            return Err(refused(RefusedBecause::NoMinion));
        }
        Ok(())
    }

    fn admission(&self, job: &Job) -> Admission {
        let entries = self
            .peers
            .values()
            .filter(|(_, is_heard)| *is_heard)
            .count()
            + 1;
        // Jobs of the most urgent queues only wait for what comes before them. The others also
        // make room for what was taken before, however urgent, so that it keeps its promise.
        let work_before = if job.terms.priority == MOST_URGENT {
            self.waiting.work_before(job)
        } else {
            self.waiting.work()
        };
        Admission {
            work_before,
            cpu_millicores: self.fleet.cpu_millicores(&job.service),
            entry_count: entries as u64,
            slack: job.objective().saturating_sub(job.longest),
        }
    }

    fn take_event(&mut self, event: SessionEvent, now: Instant) {
        match event {
            SessionEvent::Up(process, Role::Entry) => {
                log::info!(peer:% = process; "entry reached");
                self.peers.insert(process, (0, true));
            }
            SessionEvent::Up(process, Role::Sidecar) => {
                log::info!(sidecar:% = process; "sidecar reached");
                self.fleet.meet(process);
            }
            SessionEvent::Gone(process) => {
                log::warn!(process:% = process; "process replaced by another at its address");
                self.peers.remove(&process);
                self.exchange.forget(process);
                if let Some(view) = self.fleet.view_mut(process) {
                    view.set_gone(now);
                }
            }
            SessionEvent::Silent(process) => self.note_silence(process, true),
            SessionEvent::Heard(process) => self.note_silence(process, false),
            SessionEvent::Message(process, message) => self.take_message(process, message, now),
            SessionEvent::Status(process, Status::Sidecar(status), accounted) => {
                if let Some(view) = self.fleet.view_mut(process) {
                    view.set_status(status, accounted);
                }
            }
            SessionEvent::Status(process, Status::Entry(status), _) => {
                self.take_peer_status(process, status, now);
            }
        }
    }

    fn note_silence(&mut self, process: Incarnation, is_silent: bool) {
        log::warn!(process:% = process, is_silent; "process out of reach, or back");
        if let Some(view) = self.fleet.view_mut(process) {
            view.set_silent(is_silent);
        }
        if let Some(peer) = self.peers.get_mut(&process) {
            peer.1 = !is_silent;
        }
    }

    fn take_peer_status(&mut self, peer: Incarnation, status: EntryStatus, now: Instant) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.0 = status.version;
        }
        if status.version > self.version() && self.exchange.is_to_ask(now) {
            self.sessions.send(peer, Message::AskConfiguration);
        }
    }

    fn take_message(&mut self, from: Incarnation, message: Message, now: Instant) {
        match message {
            Message::Report(report) => self.take_report(from, report, now),
            Message::Minion(profile) => {
                if let Some(view) = self.fleet.view_mut(from) {
                    view.set_profile(profile);
                }
            }
            Message::AskConfiguration => {
                let parts = self
                    .configuration
                    .as_ref()
                    .map_or_else(Vec::new, ConfigurationExchange::parts_of);
                for part in parts {
                    self.sessions.send(from, part);
                }
            }
            Message::ConfigurationPart {
                version,
                index,
                count,
                bytes,
            } => {
                let whole = self.exchange.take_part(from, version, index, count, bytes);
                if let Some(configuration) = whole {
                    self.configure(configuration, "peer");
                }
            }
            Message::Start(_) | Message::Stop { .. } => {
                log::warn!(process:% = from; "an entry was sent a sidecar's order");
            }
        }
    }

    fn take_report(&mut self, from: Incarnation, report: TaskReport, now: Instant) {
        let Some(position) = self.placement(from, &report) else {
            return;
        };
        if let Some(view) = self.fleet.view_mut(from) {
            view.ended();
        }
        match report.outcome {
            PlacementOutcome::Refused(cause) => {
                self.take_refusal(from, report.task, position, cause)
            }
            PlacementOutcome::Ended { end, run_time } => {
                let level = if end == RunEnd::Done {
                    log::Level::Info
                } else {
                    log::Level::Warn
                };
                log::log!(
                    level,
                    job:% = report.task.job, task = report.task.index, attempt = report.attempt,
                    sidecar:% = from, end:? = end, run_ms = millis(run_time); "task ended"
                );
                self.take_end(from, report.task.job, position, end, now);
            }
        }
    }

    /// Returns the task of a report, if the placement that it speaks of is the newest.
    fn placement(&self, from: Incarnation, report: &TaskReport) -> Option<usize> {
        let job = self.jobs.get(&report.task.job)?;
        let position = job.position(report.task)?;
        let task = &job.tasks[position];
        let is_newest = task.state == TaskState::Placed(from) && task.attempt == report.attempt;
        is_newest.then_some(position)
    }

    fn take_refusal(
        &mut self,
        from: Incarnation,
        name: TaskName,
        position: usize,
        cause: RefusalCause,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        log::info!(
            job:% = name.job, task = name.index, sidecar:% = from, cause:? = cause;
            "task turned down"
        );
        let task = &mut job.tasks[position];
        task.state = TaskState::Waiting;
        if cause == RefusalCause::Unhealthy {
            task.avoided.push(from);
        }
        job.begun_count = job.begun_count.saturating_sub(1);
        self.waiting.update(job);
    }

    fn take_end(
        &mut self,
        from: Incarnation,
        name: JobName,
        position: usize,
        end: RunEnd,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&name) else {
            return;
        };
        let task = &mut job.tasks[position];
        match end {
            RunEnd::Done => task.state = TaskState::Done,
            RunEnd::Failed => {
                task.failed_count += 1;
                task.avoided.push(from);
                task.state = TaskState::Waiting;
                if task.failed_count >= job.terms.attempt_count_max {
                    self.end_job(name, Some(Answer::Failed), now);
                    return;
                }
            }
            RunEnd::Stopped | RunEnd::Lost => {
                task.avoided.push(from);
                task.state = TaskState::Waiting;
            }
        }
        if job.is_done() {
            self.end_job(name, Some(Answer::Completed), now);
            return;
        }
        job.unblock();
        self.waiting.update(job);
    }

    /// Places again the tasks of sidecars out of reach, once they can't run there any more.
    fn end_doubts(&mut self, now: Instant) {
        let mut over = HashMap::new();
        for view in self.fleet.views() {
            let sidecar = view.incarnation();
            let since = match view.gone_at() {
                Some(gone_at) => gone_at,
                None if view.is_silent() => match self.sessions.newest_stamp(sidecar) {
                    Some((_, at)) => at,
                    None => continue,
                },
                None => continue,
            };
            over.insert(sidecar, since + self.settings.doubt);
        }
        if over.is_empty() {
            return;
        }
        let mut lost = Vec::new();
        let mut hopeless = Vec::new();
        for job in self.jobs.values() {
            let useful_until = job.arrived_at + job.objective() * self.settings.useful_factor;
            for (position, task) in job.tasks.iter().enumerate() {
                let TaskState::Placed(sidecar) = task.state else {
                    continue;
                };
                let Some(over_at) = over.get(&sidecar) else {
                    continue;
                };
                let estimate = job.steps[usize::from(task.step)].estimate;
                if *over_at <= now {
                    lost.push((job.name, position, sidecar));
                } else if *over_at + estimate > useful_until.min(job.patience_end)
                    && now + self.settings.resubmission >= *over_at
                {
                    hopeless.push(job.name);
                }
            }
        }
        for (name, position, sidecar) in lost {
            log::warn!(job:% = name, sidecar:% = sidecar; "task lost with its sidecar");
            if let Some(view) = self.fleet.view_mut(sidecar) {
                view.ended();
            }
            self.take_end(sidecar, name, position, RunEnd::Lost, now);
        }
        for name in hopeless {
            self.give_up(name, RefusedBecause::Waited, now);
        }
    }

    /// Answers jobs that have no chance left.
    fn end_overdue(&mut self, now: Instant) {
        let overdue: Vec<JobName> = self
            .jobs
            .values()
            .filter(|job| {
                let answer_by = job.patience_end - self.settings.answer_margin;
                if job.begun_count > 0 {
                    return now >= answer_by;
                }
                let useful = job.arrived_at + job.objective() * self.settings.useful_factor;
                now + job.longest >= useful.min(answer_by)
            })
            .map(|job| job.name)
            .collect();
        for name in overdue {
            self.give_up(name, RefusedBecause::Waited, now);
        }
    }

    fn give_up(&mut self, name: JobName, because: RefusedBecause, now: Instant) {
        let Some(job) = self.jobs.get(&name) else {
            return;
        };
        let answer = if job.begun_count == 0 {
            Answer::Refused {
                because,
                retry_after: retry_after(name),
            }
        } else {
            Answer::GivenUp
        };
        self.end_job(name, Some(answer), now);
    }

    /// Ends a job: stops what runs of it, and answers its callers if there is an answer.
    fn end_job(&mut self, name: JobName, answer: Option<Answer>, now: Instant) {
        let Some(job) = self.jobs.remove(&name) else {
            return;
        };
        self.waiting.remove(&job);
        for (position, task) in job.tasks.iter().enumerate() {
            if let TaskState::Placed(sidecar) = task.state {
                let stop = Message::Stop {
                    task: job.task_name(position),
                    attempt: task.attempt,
                };
                self.sessions.send(sidecar, stop);
                if let Some(view) = self.fleet.view_mut(sidecar) {
                    view.ended();
                }
            }
        }
        let Some(answer) = answer else {
            return;
        };
        let level = if answer == Answer::Completed {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        log::log!(
            level,
            job:% = name, queue = job.queue.as_str(), answer:? = answer,
            age_ms = millis(now.saturating_duration_since(job.arrived_at)),
            objective_ms = millis(job.objective()),
            done = job.tasks.iter().filter(|task| task.state == TaskState::Done).count(),
            tasks = job.tasks.len(); "answered"
        );
        if matches!(answer, Answer::Completed | Answer::Failed) {
            self.answered.keep(name, answer, now);
        }
        for caller in &job.callers {
            self.answer(*caller, answer, job.queue.clone());
        }
    }

    fn answer(&mut self, caller: CallerId, answer: Answer, queue: String) {
        self.actions.push(EntryAction::Answer {
            caller,
            answer,
            queue,
        });
    }

    fn place_waiting(&mut self, now: Instant) {
        let names: Vec<_> = self.waiting.in_order().collect();
        let mut passed_over = 0;
        for name in names {
            if !self.place_job(name, now) {
                passed_over += 1;
            }
            if passed_over >= PASSED_OVER_MAX {
                return;
            }
        }
    }

    /// Places the tasks of a job that wait; returns whether all found room.
    fn place_job(&mut self, name: JobName, now: Instant) -> bool {
        let Some(mut job) = self.jobs.remove(&name) else {
            return true;
        };
        let mut has_room = true;
        for position in 0..job.tasks.len() {
            if job.tasks[position].state != TaskState::Waiting {
                continue;
            }
            if !self.place_task(&mut job, position, now) {
                has_room = false;
                break;
            }
        }
        self.waiting.update(&job);
        self.jobs.insert(name, job);
        has_room
    }

    fn place_task(&mut self, job: &mut Job, position: usize, now: Instant) -> bool {
        let task = &job.tasks[position];
        let step = &job.steps[usize::from(task.step)];
        let wanted = Wanted {
            service: &job.service,
            room: step.room,
            estimate: step.estimate,
            required_label: step.required_label.as_deref(),
            preferred_label: step.data_rack.as_deref(),
        };
        let penalty = |sidecar| {
            let there = job.placed_count(task.step, sidecar);
            if step.per_minion_max.is_some_and(|max| there >= max) {
                return None;
            }
            let factor = u32::from(task.avoided.contains(&sidecar)) * AVOIDED_PENALTY_FACTOR;
            Some(step.estimate * factor)
        };
        let Some(sidecar) = self.fleet.choose(&wanted, now, penalty) else {
            return false;
        };
        let Some((stamp_ms, heard_at)) = self.sessions.newest_stamp(sidecar) else {
            return false;
        };
        let room = step.room;
        let order = StartOrder {
            task: job.task_name(position),
            attempt: self.next_attempt,
            room,
            estimate: step.estimate,
            is_movable: task.avoided.len() < MOVES_MAX,
            service: job.service.clone(),
            spec: job.spec.clone(),
            sidecar_stamp_ms: stamp_ms,
            run_number: task.placement_count + 1,
        };
        let Some(number) = self.sessions.send(sidecar, Message::Start(order)) else {
            return false;
        };
        log::info!(
            job:% = job.name, task = task.index, attempt = self.next_attempt, sidecar:% = sidecar,
            free_millicores = self.fleet.view(sidecar).map_or(0, |view| view.free().cpu_millicores),
            stamp_age_ms = millis(now.saturating_duration_since(heard_at)),
            estimate_ms = millis(step.estimate); "task placed"
        );
        self.note_placed(sidecar, number, room, now);
        job.begun_count += 1;
        let task = &mut job.tasks[position];
        task.attempt = self.next_attempt;
        task.placement_count += 1;
        self.next_attempt += 1;
        task.state = TaskState::Placed(sidecar);
        true
    }

    fn note_placed(
        &mut self,
        sidecar: Incarnation,
        number: MessageNumber,
        room: crate::dispatch::Room,
        now: Instant,
    ) {
        if let Some(view) = self.fleet.view_mut(sidecar) {
            view.placed(number, room, now);
        }
    }

    fn set_statuses(&mut self, now: Instant) {
        let status = Status::Entry(EntryStatus {
            version: self.version(),
        });
        let sidecars: HashSet<(Incarnation, bool)> = self
            .fleet
            .views()
            .filter(|view| view.gone_at().is_none())
            .map(|view| (view.incarnation(), view.placed_count() > 0))
            .collect();
        for (sidecar, is_busy) in sidecars {
            self.sessions.set_busy(sidecar, is_busy, now);
            self.sessions.set_status(sidecar, status);
        }
        let peers: Vec<_> = self.peers.keys().copied().collect();
        for peer in peers {
            self.sessions.set_status(peer, status);
        }
    }
}

fn retry_after(name: JobName) -> Duration {
    RETRY_AFTER + Duration::from_secs(name.0 % RETRY_AFTER_SPREAD_S)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
