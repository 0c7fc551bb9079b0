//! The state of an entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::admission::Admission;
use super::answer::{Answer, CallerId, RefusedBecause};
use super::answered::Answered;
use super::configuration_exchange::ConfigurationExchange;
use super::doubts::Doubts;
use super::fleet::{Fleet, Wanted};
use super::job::{Job, Progress, TaskState};
use super::jobs::Jobs;
use super::peers::Peers;
use super::placement::{Placement, stop_all};
use super::{EntrySettings, Submission};
use crate::common::Incarnation;
use crate::dispatch::JobName;
use crate::dispatch::configuration::{Configuration, Version};
use crate::dispatch::message::{
    EntryStatus, Message, PlacementOutcome, Role, RunEnd, Status, TaskReport,
};
use crate::dispatch::session::{Envelope, SessionEvent, Sessions};
use crate::dispatch::units::millis;

/// The pause that refused callers are asked for: long enough for a burst to drain, spread by
/// the name of the job so that they do not all return at once.
const RETRY_AFTER: Duration = Duration::from_secs(1);
const RETRY_AFTER_SPREAD_S: u64 = 3;

/// The priority of the most urgent queues.
const MOST_URGENT: u8 = 0;

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
    /// Counts the end of a placement.
    Count(PlacementOutcome),
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
    /// When the configuration in force was taken over.
    configured_at: Option<Instant>,
    exchange: ConfigurationExchange,
    peers: Peers,
    fleet: Fleet,
    jobs: Jobs,
    placement: Placement,
    answered: Answered,
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
            configured_at: None,
            exchange: ConfigurationExchange::default(),
            peers: Peers::default(),
            fleet: Fleet::new(settings.probe_every, settings.seed),
            jobs: Jobs::default(),
            placement: Placement::default(),
            answered: Answered::default(),
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

    /// Returns when the configuration in force was taken over.
    pub fn configured_at(&self) -> Option<Instant> {
        self.configured_at
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
        self.jobs.waiting().len()
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
        Some(Some(self.jobs.iter().filter(waits).count()))
    }

    /// Begins to talk to the process at an address.
    pub fn greet(&mut self, address: SocketAddr) {
        if self.sessions.greet(address) {
            log::info!(address:% = address; "process found");
        }
    }

    /// Puts a configuration into force if it is newer than the one in force.
    pub fn configure(&mut self, configuration: Configuration, source: &'static str, now: Instant) {
        if configuration.version <= self.version() {
            return;
        }
        log::info!(
            version = configuration.version, before = self.version(),
            queues = configuration.queues.len(), source; "configuration in force"
        );
        self.configuration = Some(configuration);
        self.configured_at = Some(now);
    }

    /// Takes no more callers than need be, since the process is about to stop.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Answers all callers, since the process stops now.
    pub fn give_up_all(&mut self, now: Instant) {
        let names: Vec<_> = self.jobs.iter().map(|job| job.name).collect();
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
        let joined = self.jobs.change(name, |job| {
            job.callers.push(caller);
            job.patience_end = job.patience_end.max(now + submission.patience);
        });
        if joined.is_some() {
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
                slack_ms = millis(admission.slack), waiting = self.jobs.waiting().len();
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
        self.jobs.insert(job);
        self.settle(now);
    }

    /// Takes in that a caller has gone; a job that nobody waits for is stopped.
    pub fn caller_left(&mut self, caller: CallerId, name: JobName, now: Instant) {
        let left = self.jobs.change(name, |job| {
            job.callers.retain(|waiting| *waiting != caller);
            job.callers.is_empty().then_some(job.arrived_at)
        });
        if let Some(Some(arrived_at)) = left {
            log::info!(
                job:% = name, age_ms = millis(now.saturating_duration_since(arrived_at));
                "stopped, since its caller has gone"
            );
            self.end_job(name, None, now);
        }
    }

    /// Returns whether a job has no answer yet.
    pub fn is_live(&self, name: JobName) -> bool {
        self.jobs.get(name).is_some()
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
        self.placement
            .place_waiting(&mut self.jobs, &mut self.fleet, &mut self.sessions, now);
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
        self.settle(now);
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
        // Jobs of the most urgent queues only wait for what comes before them. The others also
        // make room for what was taken before, however urgent, so that it keeps its promise.
        let work_before = if job.terms.priority == MOST_URGENT {
            self.jobs.waiting().work_before(job)
        } else {
            self.jobs.waiting().work()
        };
        Admission {
            work_before,
            cpu_millicores: self.fleet.cpu_millicores(&job.service),
            entry_count: self.peers.heard_count() as u64 + 1,
            slack: job.objective().saturating_sub(job.longest),
        }
    }

    fn take_event(&mut self, event: SessionEvent, now: Instant) {
        match event {
            SessionEvent::Up(process, Role::Entry) => {
                log::info!(peer:% = process; "entry reached");
                self.peers.met(process);
            }
            SessionEvent::Up(process, Role::Sidecar) => {
                log::info!(sidecar:% = process; "sidecar reached");
                self.fleet.meet(process);
            }
            SessionEvent::Gone(process) => {
                log::warn!(process:% = process; "process replaced by another at its address");
                self.peers.gone(process);
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
        self.peers.set_heard(process, !is_silent);
    }

    fn take_peer_status(&mut self, peer: Incarnation, status: EntryStatus, now: Instant) {
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
                    self.configure(configuration, "peer", now);
                }
            }
            Message::Start(_) | Message::Stop { .. } => {
                log::warn!(process:% = from; "an entry was sent a sidecar's order");
            }
        }
    }

    fn take_report(&mut self, from: Incarnation, report: TaskReport, now: Instant) {
        let name = report.task.job;
        let placement = |job: &Job| job.placement(from, &report);
        let Some(position) = self.jobs.get(name).and_then(placement) else {
            return;
        };
        if let Some(view) = self.fleet.view_mut(from) {
            view.ended();
        }
        self.actions.push(EntryAction::Count(report.outcome));
        match report.outcome {
            PlacementOutcome::Refused(cause) => {
                log::info!(
                    job:% = name, task = report.task.index, sidecar:% = from, cause:? = cause;
                    "task turned down"
                );
                self.jobs
                    .change(name, |job| job.refused(position, from, cause));
            }
            PlacementOutcome::Ended { end, run_time } => {
                let level = if end == RunEnd::Done {
                    log::Level::Info
                } else {
                    log::Level::Warn
                };
                log::log!(
                    level,
                    job:% = name, task = report.task.index, attempt = report.attempt,
                    sidecar:% = from, end:? = end, run_ms = millis(run_time); "task ended"
                );
                self.take_end(from, name, position, end, now);
            }
        }
    }

    fn take_end(
        &mut self,
        at: Incarnation,
        name: JobName,
        position: usize,
        end: RunEnd,
        now: Instant,
    ) {
        let progress = self.jobs.change(name, |job| job.ended(position, at, end));
        match progress {
            Some(Progress::Completed) => self.end_job(name, Some(Answer::Completed), now),
            Some(Progress::Failed) => self.end_job(name, Some(Answer::Failed), now),
            Some(Progress::GoesOn) | None => {}
        }
    }

    /// Places again the tasks of sidecars out of reach, once they can't run there any more.
    fn end_doubts(&mut self, now: Instant) {
        let doubts = Doubts::of(&self.fleet, &self.sessions, &self.settings);
        if doubts.is_empty() {
            return;
        }
        let jobs = self.jobs.iter();
        let lost: Vec<_> = jobs.flat_map(|job| doubts.lost_tasks(job, now)).collect();
        let hopeless: Vec<_> = self
            .jobs
            .iter()
            .filter(|job| doubts.is_hopeless(job, &self.settings, now))
            .map(|job| job.name)
            .collect();
        for task in lost {
            log::warn!(
                job:% = task.job, sidecar:% = task.sidecar; "task lost with its sidecar"
            );
            if let Some(view) = self.fleet.view_mut(task.sidecar) {
                view.ended();
            }
            self.take_end(task.sidecar, task.job, task.position, RunEnd::Lost, now);
        }
        for name in hopeless {
            self.give_up(name, RefusedBecause::Waited, now);
        }
    }

    /// Answers jobs that have no chance left.
    fn end_overdue(&mut self, now: Instant) {
        let overdue: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|job| {
                let answer_by = job.patience_end - self.settings.answer_margin;
                if job.begun_count > 0 {
                    return now >= answer_by;
                }
                now + job.longest >= job.useful_until(&self.settings).min(answer_by)
            })
            .map(|job| job.name)
            .collect();
        for name in overdue {
            self.give_up(name, RefusedBecause::Waited, now);
        }
    }

    fn give_up(&mut self, name: JobName, because: RefusedBecause, now: Instant) {
        let Some(job) = self.jobs.get(name) else {
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
        let Some(job) = self.jobs.remove(name) else {
            return;
        };
        stop_all(&job, &mut self.fleet, &mut self.sessions);
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

    fn set_statuses(&mut self, now: Instant) {
        let status = Status::Entry(EntryStatus {
            version: self.version(),
        });
        let there = self.fleet.views().filter(|view| view.gone_at().is_none());
        for view in there {
            let sidecar = view.incarnation();
            self.sessions
                .set_busy(sidecar, view.placed_count() > 0, now);
            self.sessions.set_status(sidecar, status);
        }
        for peer in self.peers.iter() {
            self.sessions.set_status(peer, status);
        }
    }
}

fn retry_after(name: JobName) -> Duration {
    RETRY_AFTER + Duration::from_secs(name.0 % RETRY_AFTER_SPREAD_S)
}
