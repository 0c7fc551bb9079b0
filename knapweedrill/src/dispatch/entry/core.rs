//! The state machine of an entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::admission::{Admission, AdmissionState};
use super::answer::{Answer, CallerId, RefusalReason};
use super::cancel_answer::CancelAnswer;
use super::cancel_spread::NAMES_PER_NOTICE_MAX;
use super::cancels::Cancels;
use super::confinement::{Confinement, Lane};
use super::directory::{Directory, Source};
use super::evacuated_minions::EvacuatedMinions;
use super::evacuations::{EvacuationUpdate, Evacuations};
use super::fleet::{Fleet, TaskRequirements};
use super::gossip::{Gossip, LocalState};
use super::job::{Job, Progress, TaskState};
use super::jobs::Jobs;
use super::load_history::LoadHistory;
use super::pause::Pause;
use super::paused_connections::PausedConnections;
use super::placer::{Placer, Targets};
use super::rack_waits::RackWaitCounts;
use super::retry_after::{Backlog, retry_after};
use super::sidecar_subset::SidecarSubset;
use super::unreachable_sidecars::UnreachableSidecars;
use super::{EntrySettings, Submission, TaskPlacement};
use crate::common::{Incarnation, ServiceName};
use crate::dispatch::configuration::{Configuration, Version};
use crate::dispatch::message::{Message, PlacementOutcome, RunEnd, TaskReport};
use crate::dispatch::session::{Envelope, SentMessages, SessionEvent, Sessions};
use crate::dispatch::units::millis;
use crate::dispatch::{CancelOutcome, JobName, Notice, Packet, SidecarRecord};

/// The shortest suspension of the VM that counts as one. Shorter differences between the clocks are
/// errors of measurement.
const SUSPENSION_MIN: Duration = Duration::from_millis(50);

/// An action that the process that owns the entry has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Sends an answer to a caller.
    Answer {
        /// The caller.
        caller: CallerId,
        /// The answer.
        answer: Answer,
        /// The name of the job's queue; empty if the job was answered before it was assigned to
        /// one.
        queue: String,
    },
    /// Sends an answer to a caller that cancels a job.
    AnswerCancel {
        /// The caller.
        caller: CallerId,
        /// The answer.
        answer: CancelAnswer,
    },
    /// Counts the outcome of a placement in the metrics.
    Count(PlacementOutcome),
}

/// The state machine of an entry.
///
/// It admits jobs, places their tasks on minions with free resources, places a task again once its
/// lost run has certainly ended, and answers each caller exactly once.
#[derive(Debug)]
pub struct Entry {
    settings: EntrySettings,
    sessions: Sessions,
    configuration: Option<Configuration>,
    /// When the configuration in force was applied.
    configured_at: Option<Instant>,
    evacuations: Evacuations,
    gossip: Gossip,
    subset: SidecarSubset,
    fleet: Fleet,
    jobs: Jobs,
    /// Whether an event since the last placement may allow waiting tasks to be placed.
    is_placement_due: bool,
    placer: Placer,
    load: LoadHistory,
    confinement: Confinement,
    cancels: Cancels,
    /// Until when something that arrived during a long pause of this process may be unread.
    backlog_until: Option<Instant>,
    /// Whether requests are refused until then.
    refuses_backlog: bool,
    /// The connections on which requests may arrive that were sent during a long pause.
    paused_connections: Option<PausedConnections>,
    is_draining: bool,
    actions: Vec<EntryAction>,
}

impl Entry {
    /// Creates an entry without a configuration. It refuses all jobs until it gets one.
    pub fn new(settings: EntrySettings, sessions: Sessions) -> Self {
        Self {
            settings,
            sessions,
            configuration: None,
            configured_at: None,
            evacuations: Evacuations::default(),
            gossip: Gossip::new(settings.seed),
            subset: SidecarSubset::new(settings.seed, settings.orphan_run_max),
            fleet: Fleet::new(settings.probe_interval, settings.seed)
                .with_remote_run_factor(settings.remote_run_factor_permille),
            jobs: Jobs::default(),
            is_placement_due: false,
            placer: Placer::new(settings.remote_run_factor_permille),
            load: LoadHistory::new(&settings),
            confinement: Confinement::default(),
            cancels: Cancels::new(SmallRng::seed_from_u64(settings.seed).random()),
            backlog_until: None,
            refuses_backlog: false,
            paused_connections: None,
            is_draining: false,
            actions: Vec::new(),
        }
    }

    /// Returns and clears the actions that the process has to carry out.
    pub fn take_actions(&mut self) -> Vec<EntryAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Returns when the configuration in force was applied, if there is one.
    pub fn configured_at(&self) -> Option<Instant> {
        self.configured_at
    }

    /// Returns the maximum size of a request body in bytes, or `None` without a configuration.
    pub fn body_bytes_max(&self) -> Option<u32> {
        Some(self.configuration.as_ref()?.body_bytes_max)
    }

    /// Returns whether the entry can serve callers: it has a configuration and a minion that is usable
    /// or evacuated, and does not drain. Callers get a better answer here than none at all while all
    /// minions are evacuated.
    pub fn is_ready(&self) -> bool {
        let mut views = self.fleet.views();
        let has_minions = views.any(|view| view.is_usable() || view.is_evacuated());
        self.configuration.is_some() && has_minions && !self.is_draining
    }

    /// Returns the number of jobs without an answer.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the placements of tasks whose outcome is open.
    pub fn placements(&self) -> impl Iterator<Item = TaskPlacement> + '_ {
        self.jobs.iter().flat_map(Job::placements)
    }

    /// Returns the number of jobs with waiting tasks.
    pub fn waiting_count(&self) -> usize {
        self.jobs.waiting().len()
    }

    /// Returns the number of sidecars whose minion can get tasks from this entry.
    pub fn usable_minion_count(&self) -> usize {
        self.fleet.views().filter(|view| view.is_usable()).count()
    }

    /// Returns the number of jobs without a started task in the queue for a host and path.
    ///
    /// The outer `None` means that there is no configuration, the inner one that no queue matches.
    pub fn queue_length(&self, host: &str, path: &str) -> Option<Option<usize>> {
        let configuration = self.configuration.as_ref()?;
        let Some(queue) = configuration.queue(host, path) else {
            return Some(None);
        };
        let waits = |job: &&Job| job.queue == queue.name && job.started_count == 0;
        Some(Some(self.jobs.iter().filter(waits).count()))
    }

    /// Returns the number of sessions with sidecars.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the counts of the messages that this entry has sent to sidecars.
    pub fn sent_messages(&self) -> &SentMessages {
        self.sessions.sent_messages()
    }

    /// Returns the number of tasks that have waited for the rack that holds their data.
    pub fn rack_wait_counts(&self) -> RackWaitCounts {
        self.placer.rack_wait_counts()
    }

    /// Returns the number of messages that sidecars have not acknowledged.
    pub fn queued_message_count(&self) -> usize {
        self.sessions.queued_message_count()
    }

    /// Returns for how long a sidecar has not acknowledged a stop order, at most.
    pub fn stop_pending_for(&self, now: Instant) -> Duration {
        self.sessions.stop_pending_for(now)
    }

    /// Returns how long the start orders of all waiting tasks wait for the link of this entry; zero
    /// while the link has room.
    pub fn link_wait(&mut self, now: Instant) -> Duration {
        if self.sessions.has_link_room(now) {
            return Duration::ZERO;
        }
        let waiting = self.jobs.waiting().total_work();
        self.sessions.link_delay(waiting.order_bytes)
    }

    /// Returns the directory of all sidecars that this entry knows of.
    pub fn directory(&self) -> &Directory {
        self.subset.directory()
    }

    /// Adds the address of another entry for gossip. `name` is the name of its VM if the address
    /// comes from the store.
    pub fn add_peer(&mut self, address: SocketAddr, name: Option<String>) {
        let is_listed = name.is_some();
        self.gossip.add_peer(address, name);
        if self.gossip.is_peer(address) {
            self.cancels.add_peer(address, is_listed);
        }
    }

    /// Adds or updates the record of a sidecar. An invalid record is ignored.
    pub fn add_sidecar(&mut self, record: SidecarRecord, source: Source) {
        if !record.is_valid() {
            log::warn!(
                address:% = record.address, source:? = source; "invalid record of a sidecar ignored"
            );
            return;
        }
        if self.subset.upsert(record.clone(), source) {
            log::info!(
                vm = record.vm.as_str(), address:% = record.address, source:? = source;
                "sidecar added or updated"
            );
            self.gossip.record_recent(record);
        }
    }

    /// Applies a configuration if it is newer than the one in force.
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

    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies what the store says about the evacuated failure domains.
    pub fn update_evacuations(&mut self, update: EvacuationUpdate, now: Instant) {
        if self.evacuations.apply(update, now) {
            self.inform_sidecars(now);
        }
    }

    fn evacuated_minions(&self) -> EvacuatedMinions<'_> {
        EvacuatedMinions {
            fleet: &self.fleet,
            directory: self.subset.directory(),
        }
    }

    fn inform_sidecar(&mut self, sidecar: Incarnation, now: Instant) {
        self.evacuations
            .inform(sidecar, &mut self.fleet, &mut self.sessions, now);
    }

    fn inform_sidecars(&mut self, now: Instant) {
        self.evacuations
            .inform_all(&mut self.fleet, &mut self.sessions, now);
        self.is_placement_due = true;
    }

    /// Reports the entry as not ready from now on because the process is about to stop. Jobs that
    /// still arrive are handled as before.
    pub fn begin_drain(&mut self) {
        self.is_draining = true;
    }

    /// Ends all jobs and answers their callers because the process stops now.
    pub fn end_all_jobs(&mut self, now: Instant) {
        self.give_up_all(RefusalReason::Stopping, now);
    }

    fn give_up_all(&mut self, reason: RefusalReason, now: Instant) {
        let names: Vec<_> = self.jobs.iter().map(|job| job.name).collect();
        for name in names {
            self.give_up(name, reason, now);
        }
    }

    /// Handles a pause of this process. Has to be called before anything that has arrived meanwhile
    /// is handled.
    ///
    /// Callers whose connection broke during a long pause may be back at another entry, and this one
    /// learns of it only after other events. Nothing is placed until it knows. If the VM was
    /// suspended, it may never learn of a broken connection, so that all jobs are given up.
    pub fn handle_pause(&mut self, pause: Pause, now: Instant) {
        let is_suspension = pause.suspended > SUSPENSION_MIN;
        if pause.duration <= self.settings.pause_max && !is_suspension {
            return;
        }
        let had_backlog = self.has_backlog(now);
        log::warn!(
            pause_ms = millis(pause.duration), is_suspension, jobs = self.jobs.len();
            "process stood still, placement is held back"
        );
        let backlog_until = now + self.settings.backlog_time;
        self.backlog_until = Some(backlog_until);
        let paused = PausedConnections::new(pause.duration, backlog_until, now);
        self.paused_connections = Some(match self.paused_connections {
            Some(earlier) => paused.join(earlier),
            None => paused,
        });
        if is_suspension {
            self.give_up_all(RefusalReason::StoodStill, now);
        }
        self.refuses_backlog = is_suspension || (had_backlog && self.refuses_backlog);
    }

    /// Handles the news that all departures of callers until `known_at` have been reported.
    ///
    /// Later stamps of sidecars are not echoed, but for a tolerance. So the runs of a caller that has
    /// left unnoticed end in time, as if this process had stood still since. Nothing is placed while
    /// start orders would carry a stamp that is about to become too old.
    pub fn set_callers_known_at(&mut self, known_at: Instant, now: Instant) {
        self.sessions
            .set_stamp_limit(known_at + self.settings.caller_lag_max);
        let lag = now.saturating_duration_since(known_at);
        if lag > self.settings.pause_max / 2 {
            self.refuses_backlog &= self.has_backlog(now);
            let until = now + self.settings.backlog_time;
            self.backlog_until = self.backlog_until.max(Some(until));
        }
    }

    /// Returns whether something that arrived during a long pause of this process may be unread.
    fn has_backlog(&self, now: Instant) -> bool {
        self.backlog_until.is_some_and(|until| now < until)
    }

    /// Refuses a submission if its request may have been sent during a long pause of this process, so
    /// that its caller may be back at another entry. Returns whether it was refused.
    ///
    /// `connected_at` is when the connection of the caller was accepted.
    pub fn refuse_paused(
        &mut self,
        caller: CallerId,
        name: JobName,
        connected_at: Instant,
        now: Instant,
    ) -> bool {
        let is_paused = |paused: PausedConnections| paused.contains(connected_at, now);
        if !self.paused_connections.is_some_and(is_paused) {
            return false;
        }
        log::info!(job:% = name; "refused: its connection is older than a pause of this process");
        let answer = Answer::Refused {
            reason: RefusalReason::StoodStill,
            retry_after: retry_after(name),
        };
        self.answer(caller, answer, String::new());
        true
    }

    /// Handles the submission of a job: answers it at once, attaches the caller to the running job
    /// of the same name, or applies admission control.
    pub fn submit(&mut self, caller: CallerId, submission: Submission, now: Instant) {
        let submission = submission.bounded();
        let name = submission.name;
        let answer = match self.check_submission(&submission, now) {
            Err(answer) => Some(answer),
            Ok(()) => self.cancels.answer_to(name),
        };
        if let Some(answer) = answer {
            log::info!(job:% = name, answer:? = answer, version = self.version(); "answered at once");
            self.answer(caller, answer, String::new());
            return;
        }
        let joined = self.jobs.change(name, |job| {
            job.callers.push(caller);
            job.caller_deadline = job.caller_deadline.max(now + submission.caller_timeout);
        });
        if joined.is_some() {
            log::info!(job:% = name; "caller attached to a running job");
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
        let admission = Admission::new(&job, self.admission_state(&job.service), now);
        let reason = match self.confinement.lane(&job) {
            Lane::Any | Lane::Rest => admission.reason(),
            Lane::Trial => self.confinement.trial_reason(&job, &self.jobs, &self.fleet),
        };
        if !reason.is_admitted() {
            let backlog = Backlog::new(&job, &admission);
            let retry_after = self.load.retry_after(&job, &backlog, now);
            log::warn!(
                job:% = name, queue = job.queue.as_str(), priority = job.policy.priority,
                wait_ms = millis(admission.wait()), slack_ms = millis(admission.slack),
                rate_millicores = admission.rate_millicores(), reason:? = reason,
                retry_after_s = retry_after.as_secs(), waiting = self.jobs.waiting().len();
                "refused: expected to miss its objective"
            );
            let answer = Answer::Refused {
                reason: RefusalReason::Overload,
                retry_after,
            };
            self.answer(caller, answer, job.queue);
            return;
        }
        log::info!(
            job:% = name, queue = job.queue.as_str(), priority = job.policy.priority,
            wait_ms = millis(admission.wait()), slack_ms = millis(admission.slack),
            rate_millicores = admission.rate_millicores(), reason:? = reason,
            tasks = job.tasks.len(), estimate_ms = millis(job.critical_path),
            version = self.version(); "admitted"
        );
        let (service, minions) = (job.service.clone(), job.minion_count_min());
        self.subset.require_minions(&service, minions, now);
        self.load.record_admitted(&job, now);
        self.jobs.insert(job);
        self.is_placement_due = true;
        self.place_waiting(now);
    }

    /// Returns the state that the admission of a job for a service depends on.
    fn admission_state(&self, service: &str) -> AdmissionState<'_> {
        let spare_count = self.subset.spare_count(service);
        let evacuated = self.evacuated_minions();
        AdmissionState {
            settings: &self.settings,
            jobs: &self.jobs,
            fleet: &self.fleet,
            confinement: &self.confinement,
            sessions: &self.sessions,
            load: &self.load,
            spare_count: evacuated.in_service_count(service, spare_count),
        }
    }

    /// Removes a caller that has disconnected, and stops the job if no other caller waits for it.
    pub fn caller_left(&mut self, caller: CallerId, name: JobName, now: Instant) {
        let left = self.jobs.change(name, |job| {
            job.callers.retain(|waiting| *waiting != caller);
            job.callers.is_empty().then_some(job.arrived_at)
        });
        if let Some(Some(arrived_at)) = left {
            log::info!(
                job:% = name, age_ms = millis(now.saturating_duration_since(arrived_at));
                "stopped: all callers disconnected"
            );
            self.end_job(name, None, now);
        }
    }

    /// Returns whether a job exists and has no answer yet.
    pub fn is_live(&self, name: JobName) -> bool {
        self.jobs.get(name).is_some()
    }

    /// Cancels a job here and at all other entries, and answers its callers. Later submissions of
    /// the job start nothing.
    ///
    /// `caller`, the one that cancels the job, gets an [`EntryAction::AnswerCancel`]: at once if this
    /// entry has had the job, otherwise when another entry says so or all have answered.
    pub fn cancel(&mut self, caller: CallerId, name: JobName, now: Instant) {
        let outcome = self.apply_cancel(name, now);
        let answer_by = now + self.settings.cancel_answer_max;
        self.cancels.tell(caller, name, outcome, answer_by, now);
        if outcome == CancelOutcome::Stopped {
            self.answer_cancel(caller, CancelAnswer::Stopped);
            return;
        }
        self.answer_waiting_cancels(now);
    }

    /// Returns the number of names of cancelled jobs that this entry remembers.
    pub fn cancelled_name_count(&self) -> usize {
        self.cancels.name_count()
    }

    /// Stops a cancelled job of this entry, remembers its name, and returns whether this entry has
    /// had the job.
    fn apply_cancel(&mut self, name: JobName, now: Instant) -> CancelOutcome {
        let outcome = if self.is_live(name) {
            CancelOutcome::Stopped
        } else {
            CancelOutcome::Unknown
        };
        self.end_job(name, Some(Answer::Cancelled), now);
        self.cancels.record_cancel(name, outcome, now)
    }

    fn answer_waiting_cancels(&mut self, now: Instant) {
        for (caller, answer) in self.cancels.take_answers(now) {
            self.answer_cancel(caller, answer);
        }
    }

    fn answer_cancel(&mut self, caller: CallerId, answer: CancelAnswer) {
        self.sessions.record_answer();
        self.actions
            .push(EntryAction::AnswerCancel { caller, answer });
    }

    fn handle_cancel(&mut self, from: SocketAddr, number: u64, names: &[JobName], now: Instant) {
        let names = names.iter().take(NAMES_PER_NOTICE_MAX);
        let outcomes: Vec<_> = names.map(|name| self.apply_cancel(*name, now)).collect();
        if !outcomes.is_empty() {
            let notice = Notice::CancelAcknowledgement { number, outcomes };
            self.gossip.send(from, notice);
        }
    }

    fn handle_cancel_acknowledgement(
        &mut self,
        from: SocketAddr,
        number: u64,
        outcomes: &[CancelOutcome],
        now: Instant,
    ) {
        let stopped = self
            .cancels
            .handle_acknowledgement(from, number, outcomes, now);
        for caller in stopped {
            self.answer_cancel(caller, CancelAnswer::Stopped);
        }
        self.answer_waiting_cancels(now);
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, from: SocketAddr, packet: Packet, now: Instant) {
        match packet {
            Packet::Session(envelope) => self.receive_envelope(from, envelope, now),
            Packet::Notice(notice) => self.handle_notice(from, notice, now),
        }
    }

    fn receive_envelope(&mut self, from: SocketAddr, envelope: Envelope, now: Instant) {
        for event in self.sessions.receive(from, envelope, now) {
            self.handle_event(event, now);
        }
    }

    /// Places waiting tasks if an event may have made that possible. Called after all pending input
    /// has been handled.
    pub fn place_waiting(&mut self, now: Instant) {
        if self.has_backlog(now) || !std::mem::take(&mut self.is_placement_due) {
            return;
        }
        let mut targets = Targets {
            fleet: &mut self.fleet,
            subset: &mut self.subset,
            sessions: &mut self.sessions,
            confinement: &self.confinement,
            load: &mut self.load,
            has_floors: self.settings.keeps_floors,
        };
        self.placer.place_waiting(&mut self.jobs, &mut targets, now);
    }

    /// Handles due session events and returns the datagrams to send.
    pub fn poll(&mut self, now: Instant) -> Vec<(SocketAddr, Packet)> {
        for (sidecar, is_busy) in self.fleet.take_busy_changes() {
            self.sessions.set_busy(sidecar, is_busy, now);
        }
        let (envelopes, events) = self.sessions.poll(now);
        for event in events {
            self.handle_event(event, now);
        }
        let sessions = envelopes
            .into_iter()
            .map(|(to, envelope)| (to, Packet::Session(envelope)));
        let mut notices = self.gossip.take_outgoing();
        notices.extend(self.cancels.take_outgoing(now));
        sessions
            .chain(
                notices
                    .into_iter()
                    .map(|(to, notice)| (to, Packet::Notice(notice))),
            )
            .collect()
    }

    /// Returns the time at which a session next needs a call of `poll`, even if nothing arrives.
    pub fn next_session_due(&self) -> Option<Instant> {
        self.sessions.next_due()
    }

    /// Handles time-outs, adjusts the set of sessions, gossips and places waiting tasks.
    pub fn tick(&mut self, now: Instant) {
        self.recover_lost_tasks(now);
        self.confinement.tick(
            self.configuration.as_ref(),
            self.subset.directory(),
            &self.sessions,
            &self.fleet,
            now,
        );
        self.give_up_untriable(now);
        self.give_up_evacuated(now);
        self.give_up_overdue(now);
        self.jobs.demote_overdue(now);
        let settings = &self.settings;
        self.cancels.expire(
            settings.answer_retention,
            settings.cancelled_name_retention,
            now,
        );
        // The store may have named a new address for an entry.
        self.cancels
            .retain_peers(self.gossip.peers().len(), |peer| self.gossip.is_peer(peer));
        self.answer_waiting_cancels(now);
        self.fleet.remove_gone();
        let mut waiting: HashMap<ServiceName, u64> = HashMap::new();
        for job in self.jobs.iter().filter(|job| job.is_waiting()) {
            *waiting.entry(job.service.clone()).or_default() += job.waiting_millicores();
        }
        self.subset
            .tick(&waiting, &mut self.fleet, &mut self.sessions, now);
        let own = LocalState {
            version: self.version(),
            directory: self.subset.directory(),
            evacuations: &self.evacuations,
        };
        self.gossip.tick(own, now);
        self.is_placement_due = true;
        self.place_waiting(now);
    }

    /// Checks whether a job can be accepted regardless of the load.
    ///
    /// # Errors
    ///
    /// Returns the answer to the caller if it can't.
    fn check_submission(&self, submission: &Submission, now: Instant) -> Result<(), Answer> {
        let refused = |reason| Answer::Refused {
            reason,
            retry_after: retry_after(submission.name),
        };
        if self.refuses_backlog && self.has_backlog(now) {
            return Err(refused(RefusalReason::StoodStill));
        }
        let Some(configuration) = &self.configuration else {
            return Err(refused(RefusalReason::NoConfiguration));
        };
        let Some(queue) = configuration.queue(&submission.host, &submission.path) else {
            return Err(Answer::NoQueue);
        };
        if !submission.is_supported || queue.has_advice {
            return Err(refused(RefusalReason::NotOffered));
        }
        let could_run = submission.steps.iter().all(|step| {
            let requirements = TaskRequirements {
                service: &queue.service,
                resources: step.resources,
                estimate: step.estimate,
                time_left: Duration::MAX,
                required_label: step.required_label.as_deref(),
                preferred_label: None,
            };
            let can_run = |record: &SidecarRecord| {
                record.service == queue.service
                    && step.resources.fits_into(record.capacity)
                    && requirements
                        .required_label
                        .is_none_or(|label| record.has_label(label))
            };
            self.fleet.could_ever_run(&requirements) || self.subset.directory().page(0).any(can_run)
        });
        if !could_run {
            return Err(refused(RefusalReason::NoMinion));
        }
        let evacuated = self.evacuated_minions();
        if evacuated.prevent_any(&queue.service, &submission.steps) {
            return Err(refused(RefusalReason::Evacuated));
        }
        Ok(())
    }

    fn handle_event(&mut self, event: SessionEvent, now: Instant) {
        self.is_placement_due = true;
        match event {
            SessionEvent::Connected(process, _) => {
                let Some(address) = self.sessions.address(process) else {
                    return;
                };
                log::info!(sidecar:% = process, address:% = address; "session with sidecar established");
                self.fleet.get_or_insert(process).begin_session();
                self.subset.record_connected(address, process);
            }
            SessionEvent::Disconnected(process) => {
                log::warn!(process:% = process; "session ended or process replaced");
                if let Some(view) = self.fleet.view_mut(process) {
                    view.mark_gone(now);
                }
            }
            SessionEvent::Silent(process) => self.set_silence(process, true),
            SessionEvent::Resumed(process) => self.set_silence(process, false),
            SessionEvent::Message(process, message) => self.handle_message(process, message, now),
            SessionEvent::Status(process, status, acknowledged) => {
                if let Some(view) = self.fleet.view_mut(process) {
                    view.set_status(status, acknowledged);
                    let reports_evacuation = view.reports_evacuation();
                    self.confinement.record_status(process, status.crashes, now);
                    if reports_evacuation {
                        self.inform_sidecar(process, now);
                    }
                }
            }
        }
    }

    fn set_silence(&mut self, process: Incarnation, is_silent: bool) {
        log::warn!(process:% = process, is_silent; "silence of process began or ended");
        if let Some(view) = self.fleet.view_mut(process) {
            view.set_silent(is_silent);
        }
    }

    fn handle_message(&mut self, from: Incarnation, message: Message, now: Instant) {
        match message {
            Message::Report(report) => self.handle_report(from, report, now),
            Message::Minion(profile) => {
                if let Some(view) = self.fleet.view_mut(from) {
                    view.set_profile(profile);
                    self.inform_sidecar(from, now);
                }
            }
            Message::Start(_)
            | Message::Stop { .. }
            | Message::Withdrawn { .. }
            | Message::Evacuation { .. } => {
                log::warn!(process:% = from; "unexpected message: an entry takes no orders");
            }
        }
    }

    fn handle_notice(&mut self, from: SocketAddr, notice: Notice, now: Instant) {
        match notice {
            Notice::SidecarAnnouncement(record) => self.add_sidecar(record, Source::First),
            Notice::Gossip {
                version,
                sidecars,
                is_answer,
                evacuation_revision,
                evacuated_domains,
            } => {
                if self
                    .evacuations
                    .merge(evacuation_revision, evacuated_domains, now)
                {
                    self.inform_sidecars(now);
                }
                let own = LocalState {
                    version: self.version(),
                    directory: self.subset.directory(),
                    evacuations: &self.evacuations,
                };
                self.gossip
                    .handle_gossip(from, version, is_answer, own, now);
                if self.gossip.is_peer(from) {
                    self.cancels.add_peer(from, true);
                }
                self.cancels.record_heard(from);
                for record in sidecars {
                    self.add_sidecar(record, Source::Entry);
                }
            }
            Notice::ConfigurationPartRequest { version, index } => {
                if let Some(configuration) = &self.configuration {
                    self.gossip.send_part(from, version, index, configuration);
                }
            }
            Notice::ConfigurationPart {
                version,
                index,
                count,
                bytes,
            } => {
                let whole = self.gossip.take_part(version, index, count, bytes, now);
                if let Some(configuration) = whole {
                    self.configure(configuration, "peer", now);
                }
            }
            Notice::Cancel {
                number,
                is_complete,
                names,
            } => {
                if is_complete {
                    self.cancels.record_told(from);
                }
                self.handle_cancel(from, number, &names, now);
            }
            Notice::CancelAcknowledgement { number, outcomes } => {
                self.handle_cancel_acknowledgement(from, number, &outcomes, now);
            }
            Notice::CancelsRequest => {
                self.add_peer(from, None);
                self.cancels.handle_request(from);
            }
            Notice::SidecarPageRequest { offset } => {
                self.gossip.send_page(from, offset, self.subset.directory());
            }
            Notice::SidecarPage {
                offset,
                count,
                sidecars,
            } => {
                let sidecar_count = u32::try_from(sidecars.len()).unwrap_or(u32::MAX);
                self.gossip
                    .handle_page(from, offset, sidecar_count, count, now);
                for record in sidecars {
                    self.add_sidecar(record, Source::Entry);
                }
            }
        }
    }

    fn handle_report(&mut self, from: Incarnation, report: TaskReport, now: Instant) {
        let name = report.task.job;
        let placement = |job: &Job| job.placement(from, &report);
        let Some(position) = self.jobs.get(name).and_then(placement) else {
            if self.is_live(name) {
                log_report_on_earlier_placement(from, &report);
            }
            return;
        };
        self.release_placement(from, name, position);
        self.actions.push(EntryAction::Count(report.outcome));
        match report.outcome {
            PlacementOutcome::Refused(cause) => {
                log::info!(
                    job:% = name, task = report.task.index, sidecar:% = from, cause:? = cause;
                    "task turned down"
                );
                self.jobs
                    .change(name, |job| job.mark_refused(position, from, cause));
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
                self.handle_run_end(from, name, position, end, now);
            }
        }
    }

    /// Releases the resources of an ended placement in the view of its sidecar.
    fn release_placement(&mut self, at: Incarnation, name: JobName, position: usize) {
        if let Some(job) = self.jobs.get(name) {
            self.fleet.record_end(at, job.resources(position));
            self.placer.record_end(at, job, position);
        }
    }

    fn handle_run_end(
        &mut self,
        at: Incarnation,
        name: JobName,
        position: usize,
        end: RunEnd,
        now: Instant,
    ) {
        let progress = self
            .jobs
            .change(name, |job| job.mark_ended(position, at, end));
        match progress {
            Some(Progress::Completed) => self.end_job(name, Some(Answer::Completed), now),
            Some(Progress::Failed) => self.end_job(name, Some(Answer::Failed), now),
            Some(Progress::GivenUp) => self.end_job(name, Some(Answer::GivenUp), now),
            Some(Progress::Ongoing) | None => {}
        }
    }

    /// Handles the tasks on unreachable sidecars: those that can no longer run there are placed
    /// again, and jobs that can no longer end in time are given up.
    fn recover_lost_tasks(&mut self, now: Instant) {
        let unreachable = UnreachableSidecars::new(&self.fleet, &self.sessions, &self.settings);
        if unreachable.is_empty() {
            return;
        }
        let jobs = self.jobs.iter();
        let lost: Vec<_> = jobs
            .flat_map(|job| unreachable.lost_tasks(job, now))
            .collect();
        let late_jobs: Vec<_> = self
            .jobs
            .iter()
            .filter(|job| unreachable.will_miss_deadline(job, &self.settings, now))
            .map(|job| job.name)
            .collect();
        for task in lost {
            log::warn!(
                job:% = task.job, sidecar:% = task.sidecar; "task lost: its sidecar is unreachable"
            );
            self.release_placement(task.sidecar, task.job, task.position);
            self.handle_run_end(task.sidecar, task.job, task.position, RunEnd::Lost, now);
        }
        for name in late_jobs {
            self.give_up(name, RefusalReason::Waited, now);
        }
    }

    /// Refuses the jobs that wait for a trial while no minion for trials is usable.
    fn give_up_untriable(&mut self, now: Instant) {
        let waiting = self.confinement.waiting_for_trial(&self.jobs);
        let untriable: Vec<JobName> = waiting
            .filter(|job| job.started_count == 0)
            .filter(|job| self.confinement.trial_minion_count(job, &self.fleet) == 0)
            .map(|job| job.name)
            .collect();
        for name in untriable {
            self.give_up(name, RefusalReason::Overload, now);
        }
    }

    /// Refuses the jobs that wait only for evacuated minions.
    fn give_up_evacuated(&mut self, now: Instant) {
        for name in self.evacuated_minions().prevented_jobs(&self.jobs) {
            self.give_up(name, RefusalReason::Evacuated, now);
        }
    }

    /// Gives up jobs that can no longer end in time.
    fn give_up_overdue(&mut self, now: Instant) {
        let overdue: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|job| {
                let answer_by = job.caller_deadline - self.settings.answer_margin;
                if job.started_count > 0 {
                    return now >= answer_by;
                }
                now + job.critical_path >= job.useful_until(&self.settings).min(answer_by)
            })
            .map(|job| job.name)
            .collect();
        for name in overdue {
            self.give_up(name, RefusalReason::Waited, now);
        }
    }

    fn give_up(&mut self, name: JobName, reason: RefusalReason, now: Instant) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let answer = if job.started_count == 0 {
            let retry_after = match reason {
                RefusalReason::Overload | RefusalReason::Waited => {
                    let state = self.admission_state(&job.service);
                    let backlog = Backlog::new(job, &Admission::new(job, state, now));
                    self.load.retry_after(job, &backlog, now)
                }
                _ => retry_after(name),
            };
            Answer::Refused {
                reason,
                retry_after,
            }
        } else {
            Answer::GivenUp
        };
        self.end_job(name, Some(answer), now);
    }

    /// Removes a job, stops its placements and answers its callers if there is an answer.
    fn end_job(&mut self, name: JobName, answer: Option<Answer>, now: Instant) {
        let Some(job) = self.jobs.remove(name) else {
            return;
        };
        self.placer
            .stop_placements(&job, &mut self.fleet, &mut self.sessions, now);
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
            self.cancels.record_end(name, answer, now);
        }
        for caller in &job.callers {
            self.answer(*caller, answer, job.queue.clone());
        }
    }

    fn answer(&mut self, caller: CallerId, answer: Answer, queue: String) {
        self.sessions.record_answer();
        self.actions.push(EntryAction::Answer {
            caller,
            answer,
            queue,
        });
    }
}

/// Logs how a run ended whose task this entry had counted as lost. It must have ended before that.
fn log_report_on_earlier_placement(from: Incarnation, report: &TaskReport) {
    if let PlacementOutcome::Ended { end, run_time } = report.outcome {
        log::warn!(
            job:% = report.task.job, task = report.task.index, attempt = report.attempt,
            sidecar:% = from, end:? = end, run_ms = millis(run_time);
            "report on an earlier placement"
        );
    }
}
