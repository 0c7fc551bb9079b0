//! The state machine of a sidecar.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use super::SidecarSettings;
use super::action::{
    CallNumber, EndKind, EndedRun, HoldAnswer, HoldFailure, MinionHeartbeat, OrderAnswer, RunKey,
    SidecarAction,
};
use super::connected_entries::ConnectedEntries;
use super::crash_log::CrashLog;
use super::evacuation::Evacuation;
use super::fence_step::FenceStep;
use super::hold_schedule::HoldSchedule;
use super::known_minion::KnownMinion;
use super::minion_state::MinionState;
use super::minion_stats::MinionStats;
use super::order_tracker::OrderTracker;
use super::recent_entries::RecentEntries;
use super::reported_runs::ReportedRuns;
use super::run::{Phase, Run};
use super::run_table::RunTable;
use super::start_step::StartStep;
use super::successor::Successor;
use crate::common::Incarnation;
use crate::dispatch::message::{
    EvacuationRevision, Message, MinionAvailability, MinionProfile, PlacementOutcome, RefusalCause,
    RunEnd, SidecarStatus, StampMs, StartOrder, TaskReport,
};
use crate::dispatch::units::{clamp_duration, millis};
use crate::dispatch::{Attempt, Resources, TaskName};

/// Increment of a run number when the minion has seen a higher one. Larger than the number of
/// placements of a task within one job.
const RUN_NUMBER_STEP: u32 = 16;

/// How long the stop of an abandoned run may be without an answer before the minion takes no more
/// tasks. The lease is not renewed meanwhile, and a new task would end with it.
const UNCONFIRMED_STOP_TIME_MAX: Duration = Duration::from_millis(100);

/// The time between two ticks after which the process counts as having stood still. Four times the
/// longest interval of ticks.
const PAUSE_MIN: Duration = Duration::from_millis(200);

/// The state machine of a sidecar, without input and output of its own.
///
/// Starts tasks that match the service of the minion and fit into its free resources, renews the
/// lease of the runs, stops the runs of silent entries, and reports the outcome of each task to
/// its entry.
#[derive(Debug)]
pub struct Sidecar {
    settings: SidecarSettings,
    minion: Option<MinionState>,
    successor: Successor,
    runs: RunTable,
    entries: ConnectedEntries,
    stats: MinionStats,
    recent_entries: RecentEntries,
    crashes: CrashLog,
    evacuation: Evacuation,
    reported_runs: ReportedRuns,
    /// The number of runs that were reported as over and then found at the minion.
    false_report_count: u64,
    orders: OrderTracker,
    holds: HoldSchedule,
    /// By how much the estimate of the minion's clock was ahead at the last answer to a hold call.
    clock_lead: Duration,
    /// Whether the stop of an abandoned run has been without an answer for too long.
    is_lease_ending: bool,
    is_draining: bool,
    ticked_at: Option<Instant>,
    actions: Vec<SidecarAction>,
}

impl Sidecar {
    /// Creates a sidecar without a minion.
    ///
    /// `fencing_token` has to be higher than that of earlier sidecar processes of the same minion;
    /// it is raised if the minion has seen a higher one.
    pub fn new(settings: SidecarSettings, fencing_token: u64) -> Self {
        Self {
            settings,
            minion: None,
            successor: Successor::default(),
            runs: RunTable::default(),
            entries: ConnectedEntries::default(),
            stats: MinionStats::default(),
            recent_entries: RecentEntries::default(),
            crashes: CrashLog::default(),
            evacuation: Evacuation::default(),
            reported_runs: ReportedRuns::default(),
            false_report_count: 0,
            orders: OrderTracker::new(fencing_token),
            holds: HoldSchedule::default(),
            clock_lead: Duration::ZERO,
            is_lease_ending: false,
            is_draining: false,
            ticked_at: None,
            actions: Vec::new(),
        }
    }

    /// Removes and returns the actions that the process has to carry out.
    pub fn take_actions(&mut self) -> Vec<SidecarAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the actions that [`take_actions`](Self::take_actions) will remove.
    pub fn pending_actions(&self) -> &[SidecarAction] {
        &self.actions
    }

    /// Returns the entry and the attempt for which a run was ordered, while its outcome is open.
    pub fn placement_of(&self, run: RunKey) -> Option<(Incarnation, Attempt)> {
        self.runs.get(run).map(|run| (run.owner, run.attempt))
    }

    /// Returns the current status as it is sent to entries.
    pub fn status(&self) -> SidecarStatus {
        SidecarStatus {
            free: self.free(),
            availability: self.availability(),
            pace_permille: self.stats.pace_permille(),
            delay_ms: self.stats.delay_ms(),
            recent_entry_count: self.recent_entries.count(),
            crashes: self.crashes.record(),
        }
    }

    /// Returns the profile of the minion, or `None` before it has reported or answered and after it
    /// left.
    pub fn minion(&self) -> Option<&MinionProfile> {
        let minion = self.minion.as_ref().filter(|minion| !minion.is_restored);
        minion.map(|minion| &minion.profile)
    }

    /// Returns whether the minion has reported that it is shutting down.
    pub fn is_minion_draining(&self) -> bool {
        let minion = self.minion.as_ref();
        minion.is_some_and(|minion| minion.is_draining)
    }

    /// Returns when the minion started, in Unix milliseconds; 0 if there is none or it has not
    /// reported that.
    pub fn minion_started_unix_ms(&self) -> u64 {
        self.minion
            .as_ref()
            .map_or(0, |minion| minion.started_unix_ms)
    }

    /// Returns by how much the estimate of the minion's clock was ahead of the clock itself when a
    /// hold call was last answered.
    pub fn clock_lead(&self) -> Duration {
        self.clock_lead
    }

    /// Returns the number of runs that were reported as over and then found at the minion, so that
    /// their tasks may have run twice at the same time.
    pub fn false_report_count(&self) -> u64 {
        self.false_report_count
    }

    /// Returns whether nothing is due until the next event: nothing runs, and a hold call is in
    /// flight.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && !self.runs.has_orphans() && self.holds.is_pending()
    }

    /// Returns the number of runs that have not ended.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether any run belongs to the entry.
    pub fn has_runs_of(&self, entry: Incarnation) -> bool {
        self.runs.has_runs_of(entry)
    }

    /// Returns the connected entries.
    pub fn entries(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.entries.iter()
    }

    /// Returns the number of start orders that were refused because of an evacuation.
    pub fn evacuation_refusal_count(&self) -> u64 {
        self.evacuation.refused_count()
    }

    /// Handles what an entry knows about the evacuation of the minion's failure domain.
    pub fn set_evacuated(
        &mut self,
        entry: Incarnation,
        revision: EvacuationRevision,
        is_evacuated: bool,
    ) {
        self.evacuation.update(entry, revision, is_evacuated);
    }

    /// Refuses all further start orders.
    pub fn begin_drain(&mut self) {
        self.is_draining = true;
    }

    /// Handles a new session with an entry and sends it the profile of the minion.
    pub fn entry_connected(&mut self, entry: Incarnation, now: Instant) {
        self.entries.insert(entry, now);
        let profile = self.minion().cloned();
        self.send(entry, Message::Minion(profile));
    }

    /// Records that an entry was alive at `at`.
    pub fn entry_alive(&mut self, entry: Incarnation, at: Instant) {
        self.entries.record_alive(entry, at);
    }

    /// Handles the end of the session with an entry and stops its runs.
    pub fn entry_disconnected(&mut self, entry: Incarnation, now: Instant) {
        self.entries.remove(entry);
        self.stop_runs_of(entry, now);
    }

    /// Handles the record that an earlier process on this VM has left of the minion. The minion is
    /// asked at once whether it is still there, and takes no tasks before it has said so.
    ///
    /// Ignored once the minion has reported itself.
    pub fn restore_minion(&mut self, known: KnownMinion, now: Instant) {
        if self.minion.is_some() {
            return;
        }
        log::info!(
            instance = known.profile.instance.as_str(), started_unix_ms = known.started_unix_ms;
            "minion known from the record of an earlier process"
        );
        self.minion = Some(MinionState::restored(known));
        self.holds.reschedule(now);
    }

    /// Forgets a minion that is only known from a record. Returns whether there was one.
    fn forget_restored_minion(&mut self) -> bool {
        let is_restored = self
            .minion
            .as_ref()
            .is_some_and(|minion| minion.is_restored);
        if is_restored {
            self.minion = None;
            self.orders.clear();
            self.holds.reset();
        }
        is_restored
    }

    /// Handles a heartbeat of the minion, or of another instance, which replaces the minion once that
    /// is proven to have ended.
    ///
    /// Returns whether it belongs to the latest incarnation of the minion.
    pub fn heartbeat_received(&mut self, heartbeat: MinionHeartbeat, now: Instant) -> bool {
        self.forget_restored_minion();
        // An instance that does not answer may be one that was never there, whatever start it claimed.
        let is_reachable = self.holds.is_reachable();
        let is_displaced = self.holds.is_displaced();
        match &mut self.minion {
            Some(minion) if minion.profile.instance != heartbeat.profile.instance => {
                if is_displaced {
                    self.replace_minion(heartbeat, now);
                } else if !is_reachable || minion.is_superseded_by(&heartbeat) {
                    self.note_successor(heartbeat, now);
                }
                is_displaced
            }
            Some(minion) if minion.is_superseded_by(&heartbeat) => {
                log::warn!(
                    instance = heartbeat.profile.instance.as_str(),
                    started_unix_ms = heartbeat.started_unix_ms,
                    runs = self.runs.len(); "minion restarted"
                );
                if !minion.is_draining {
                    self.crashes.crashed(self.runs.iter(), now);
                }
                // Orders may have reached the new incarnation already; its answer to the next hold
                // call shows which.
                minion.reset_for_restart(heartbeat.started_unix_ms);
                self.orders.begin_incarnation();
                minion.update(heartbeat);
                self.start_monitoring(now);
                true
            }
            Some(minion) => {
                let is_current = heartbeat.started_unix_ms >= minion.started_unix_ms;
                if minion.update(heartbeat) {
                    log::info!(
                        instance = minion.profile.instance.as_str(),
                        is_draining = minion.is_draining;
                        "minion profile or draining state changed"
                    );
                    self.announce_minion();
                }
                is_current
            }
            None => {
                log::info!(
                    instance = heartbeat.profile.instance.as_str(),
                    started_unix_ms = heartbeat.started_unix_ms;
                    "minion registered"
                );
                self.register_minion(heartbeat, now);
                true
            }
        }
    }

    /// Notes the heartbeat of another instance, and asks the minion whether it is still there.
    fn note_successor(&mut self, heartbeat: MinionHeartbeat, now: Instant) {
        let instance = heartbeat.profile.instance.clone();
        let started_unix_ms = heartbeat.started_unix_ms;
        if self.successor.note(heartbeat) {
            log::warn!(
                instance = instance.as_str(), started_unix_ms, runs = self.runs.len();
                "another instance reports beside the minion"
            );
            self.holds.probe(now);
        }
    }

    /// Handles the deregistration of the minion. Its runs are reported as lost once it has ended,
    /// which may be a little later.
    ///
    /// Ignored unless the minion is draining, since a late call may be that of an earlier
    /// incarnation.
    pub fn minion_left(&mut self, instance: &str, now: Instant) {
        let is_named = |minion: &MinionState| minion.profile.instance == instance;
        if self.minion.as_ref().is_some_and(is_named) && self.forget_restored_minion() {
            return;
        }
        self.successor.forget(instance);
        let leaves =
            |minion: &&mut MinionState| minion.profile.instance == instance && minion.is_draining;
        if let Some(minion) = self.minion.as_mut().filter(leaves) {
            log::info!(instance, runs = self.runs.len(); "minion deregistered");
            minion.has_left = true;
            self.holds.reschedule(now);
            self.remove_ended_minion(now);
        }
    }

    /// Removes a minion that has deregistered and has ended: it has no runs, or refuses connections.
    fn remove_ended_minion(&mut self, now: Instant) {
        let Some(minion) = self.minion.as_ref().filter(|minion| minion.has_left) else {
            return;
        };
        // Runs may take their time to stop after the minion has stopped to listen.
        let has_ended = self.holds.is_refusing()
            && self.holds.refused_for(now) >= self.settings.run_stop_time_max;
        if self.runs.is_empty() || has_ended {
            let instance = minion.profile.instance.as_str();
            log::info!(instance, runs_lost = self.runs.len(); "minion left");
            self.remove_minion(now);
            match self.successor.take() {
                Some(heartbeat) => self.register_minion(heartbeat, now),
                None => self.announce_minion(),
            }
        }
    }

    /// Handles an order of an entry to start a task. `stamped_at` is when the entry last knew this
    /// process to be alive.
    pub fn start(
        &mut self,
        entry: Incarnation,
        order: StartOrder,
        stamped_at: Instant,
        now: Instant,
    ) {
        let refusal = self.refusal_cause(entry, &order, stamped_at, now);
        if let Some(cause) = refusal {
            log::info!(
                job:% = order.task.job, task = order.task.index, attempt = order.attempt,
                cause:? = cause, free_millicores = self.free().cpu_millicores,
                is_running_here = self.runs.has_task(order.task);
                "start refused"
            );
            let outcome = PlacementOutcome::Refused(cause);
            self.report(entry, order.task, order.attempt, outcome);
            return;
        }
        self.entry_alive(entry, stamped_at);
        self.recent_entries.record(entry, now);
        let key = RunKey {
            task: order.task,
            number: order.run_number,
        };
        let run = Run {
            key,
            owner: entry,
            attempt: order.attempt,
            resources: order.resources,
            queue: order.queue,
            is_trial: order.is_trial,
            spec: order.spec,
            estimate: clamp_duration(order.estimate),
            is_movable: order.is_movable,
            ordered_at: now,
            phase: Phase::Starting,
            is_confirmed: false,
            abandoned_at: None,
            unanswered_count: 0,
            order_count: 0,
            is_order_deferred: false,
        };
        self.runs.insert(run);
        self.order_start(key, now);
    }

    /// Handles the withdrawal of a start order, which was stale before it arrived.
    pub fn refuse_withdrawn(&mut self, entry: Incarnation, task: TaskName, attempt: Attempt) {
        let cause = RefusalCause::Stale;
        log::info!(
            job:% = task.job, task = task.index, attempt, cause:? = cause;
            "withdrawn start refused"
        );
        self.report(entry, task, attempt, PlacementOutcome::Refused(cause));
    }

    /// Handles an order of an entry to stop a task.
    pub fn stop(&mut self, entry: Incarnation, task: TaskName, attempt: Attempt, now: Instant) {
        if let Some(key) = self.runs.find_placement(entry, task, attempt) {
            if let Some(run) = self.runs.get_mut(key) {
                run.abandoned_at.get_or_insert(now);
                log::info!(
                    job:% = task.job, task = task.index, attempt, run = key.number,
                    age_ms = millis(run.age(now)); "run stopped by its entry"
                );
            }
            self.begin_stop(key, now);
        }
    }

    /// Handles the answer to a start order.
    pub fn start_answered(
        &mut self,
        call: CallNumber,
        answer: OrderAnswer,
        clock_ms: Option<StampMs>,
        now: Instant,
    ) {
        let Some(order) = self.orders.complete(call, &answer, now) else {
            return;
        };
        let key = order.run;
        if !order.is_outdated {
            self.update_clock(clock_ms, now);
        }
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.phase != Phase::Starting {
            // The run is being stopped; an answer to a hold call reports its end.
            return;
        }
        if answer == OrderAnswer::NoAnswer {
            run.unanswered_count += 1;
            log::warn!(
                job:% = key.task.job, task = key.task.index, run = key.number,
                orders = run.order_count; "start without an answer"
            );
        }
        match run.step_after(answer, now) {
            StartStep::Accepted => {
                run.is_confirmed = true;
                run.phase = Phase::Running(now);
                self.stats
                    .record_start_delay(now.saturating_duration_since(run.ordered_at));
                log::info!(
                    job:% = key.task.job, task = key.task.index, attempt = run.attempt,
                    run = key.number, orders = run.order_count; "run started"
                );
            }
            StartStep::AcceptedEarlier => run.phase = Phase::Running(now),
            StartStep::Renumber => self.renumber(key, now),
            StartStep::Repeat => self.order_start(key, now),
            StartStep::RaiseToken => {
                self.orders.handle_refused_token(order.fencing_token);
                self.order_start(key, now);
            }
            StartStep::Stop => self.begin_stop(key, now),
            StartStep::Missing => self.settle_missing(key, now),
            StartStep::Failed => {
                let outcome = run.outcome(RunEnd::Failed, now);
                self.settle(key, outcome);
            }
            StartStep::Refused(cause) => {
                if cause == RefusalCause::Unhealthy {
                    self.stats.record_outcome(key.task.job, true);
                }
                self.refuse_run(key, cause);
            }
        }
    }

    /// Handles the answer to a stop order.
    pub fn stop_answered(
        &mut self,
        call: CallNumber,
        answer: OrderAnswer,
        clock_ms: Option<StampMs>,
        now: Instant,
    ) {
        let Some(order) = self.orders.complete(call, &answer, now) else {
            return;
        };
        let key = order.run;
        if !order.is_outdated {
            self.update_clock(clock_ms, now);
        }
        match answer {
            OrderAnswer::OtherIncarnation => self.settle_missing(key, now),
            OrderAnswer::Fenced => {
                self.orders.handle_refused_token(order.fencing_token);
                self.order_stop(key, now);
            }
            OrderAnswer::Accepted if !order.is_outdated => {
                if let Some(run) = self.runs.get_mut(key) {
                    run.phase = Phase::Stopped(now);
                }
            }
            _ => {
                log::warn!(
                    job:% = key.task.job, task = key.task.index, run = key.number,
                    answer:? = answer, is_outdated = order.is_outdated;
                    "stop without an answer"
                );
                self.orders
                    .retry_stop_at(key, now + self.settings.stop_retry_pause);
            }
        }
    }

    /// Handles a hold call without an answer.
    pub fn hold_failed(&mut self, call: CallNumber, failure: HoldFailure, now: Instant) {
        if failure == HoldFailure::Fenced && self.handle_fenced_hold(call, now) {
            return;
        }
        if failure == HoldFailure::OtherIncarnation && self.forget_restored_minion() {
            return;
        }
        let Some(hold) = self.holds.take_pending(call) else {
            return;
        };
        let response_times = self.orders.response_times_mut();
        response_times.record_loss(now.min(hold.sent_at + hold.wait));
        let unanswered_for = response_times.unanswered_for(now);
        let is_newly_unreachable =
            self.holds
                .record_failure(&hold, failure, unanswered_for, &self.settings, now);
        if failure == HoldFailure::OtherIncarnation {
            self.handle_end_of_minion(now);
        } else if is_newly_unreachable {
            log::warn!(
                runs = self.runs.len(), is_refusing = self.holds.is_refusing();
                "minion unreachable"
            );
            if self.holds.is_refusing() {
                self.record_crash(now);
            }
        }
    }

    /// Handles a hold call whose fencing token the minion has refused: the next one follows at once,
    /// with a higher token and without a lease. Returns whether there is a higher token.
    ///
    /// The minion has carried out an order of another process, so its runs and its lease are unknown
    /// until it has answered.
    fn handle_fenced_hold(&mut self, call: CallNumber, now: Instant) -> bool {
        let Some(hold) = self.holds.pending(call) else {
            // The call was abandoned.
            return true;
        };
        if self.orders.handle_refused_token(hold.fencing_token) == FenceStep::Exhausted {
            return false;
        }
        self.orders.response_times_mut().record_sign_of_life();
        if let Some(minion) = &mut self.minion {
            minion.note_foreign_order();
        }
        self.holds.record_fenced(now);
        true
    }

    /// Handles the proof that another incarnation is at the address of the minion: this one has ended
    /// with all its runs.
    fn handle_end_of_minion(&mut self, now: Instant) {
        if let Some(heartbeat) = self.successor.take() {
            self.replace_minion(heartbeat, now);
            return;
        }
        if !self.runs.is_empty() {
            log::warn!(runs_lost = self.runs.len(); "another instance answers in place of the minion");
            self.record_crash(now);
            self.settle_all_missing(now);
        }
    }

    /// Records a crash of the minion, unless it has announced that it ends.
    fn record_crash(&mut self, now: Instant) {
        if self
            .minion
            .as_ref()
            .is_some_and(|minion| !minion.is_draining && !minion.is_restored)
        {
            self.crashes.crashed(self.runs.iter(), now);
        }
    }

    /// Handles the answer to a hold call, or `None` if there was no answer.
    pub fn hold_answered(&mut self, call: CallNumber, answer: Option<HoldAnswer>, now: Instant) {
        let Some(answer) = answer else {
            self.hold_failed(call, HoldFailure::NoAnswer, now);
            return;
        };
        let Some(hold) = self.holds.take_pending(call) else {
            return;
        };
        let response_times = self.orders.response_times_mut();
        if hold.wait.is_zero() {
            response_times.record_response(now.saturating_duration_since(hold.sent_at));
        } else {
            response_times.record_sign_of_life();
        }
        let Some(minion) = &mut self.minion else {
            return;
        };
        if minion.is_restored {
            if !minion.confirm_restored(answer.started_unix_ms) {
                log::info!(
                    started_unix_ms = answer.started_unix_ms, recorded = minion.started_unix_ms;
                    "minion has restarted since it was recorded, its heartbeat is awaited"
                );
                self.forget_restored_minion();
                return;
            }
            self.announce_minion();
        }
        let Some(minion) = &mut self.minion else {
            return;
        };
        // A call in flight is abandoned when an incarnation registers, so the answer tells which one is
        // there now. If that one started earlier, the later start was odd.
        let is_unreported = minion.started_unix_ms == 0 || answer.started_unix_ms == 0;
        if !is_unreported && answer.started_unix_ms != minion.started_unix_ms {
            log::warn!(
                started_unix_ms = answer.started_unix_ms, before = minion.started_unix_ms;
                "minion restarted, detected by a hold answer before the first heartbeat"
            );
            self.crashes.crashed(self.runs.iter(), now);
            minion.reset_for_restart(answer.started_unix_ms);
            self.orders.begin_incarnation();
            self.stats = MinionStats::default();
            // Until a call brings it the new fencing token, this incarnation may still start runs
            // of late orders to the last one. The next answer tells which runs are there.
            minion.correct_clock(answer.clock_ms, self.settings.lease_max, hold.sent_at, now);
            self.crashes.recovered();
            self.holds.record_answer(now);
            return;
        }
        self.orders.record_accepted_token();
        self.crashes.recovered();
        self.stats.record_end_delay(self.holds.unanswered_for(now));
        if self.holds.record_answer(now) {
            log::info!(instance = minion.profile.instance.as_str(); "minion reachable again");
        }
        self.clock_lead = minion.clock_lead(answer.clock_ms, now);
        minion.correct_clock(answer.clock_ms, self.settings.lease_max, hold.sent_at, now);
        minion.confirm_fence(self.settings.lease_max);
        let acknowledged_before = minion.acknowledged_end;
        for ended in &answer.ended {
            self.process_ended_run(ended, now);
        }
        self.acknowledge_malformed_ends(&answer, now);
        if let Some(minion) = &mut self.minion {
            // An answer that is incomplete for another reason lists no further ends.
            let has_read_ends = minion.acknowledged_end > acknowledged_before;
            minion.has_unread_ends &= answer.has_more && has_read_ends;
        }
        self.reconcile_running(&answer, hold.sent_at, now);
        for key in self.runs.keys_where(Run::awaits_order) {
            self.order_start(key, now);
        }
    }

    /// Runs all timers that are due.
    pub fn tick(&mut self, now: Instant) {
        self.note_pause(now);
        self.recent_entries.expire(now);
        if let Some(minion) = &mut self.minion {
            minion.expire_inherited_lease(&self.settings, now);
        }
        self.stop_runs_of_silent_entries(now);
        self.retry_stops(now);
        self.settle_expired_runs(now);
        self.remove_ended_minion(now);
        self.give_up_deferred_orders(now);
        self.update_lease_ending(now);
        if self.holds.is_due(!self.runs.is_empty(), now) {
            self.order_hold(now);
        }
    }

    fn note_pause(&mut self, now: Instant) {
        let last = self.ticked_at.replace(now).unwrap_or(now);
        if now.saturating_duration_since(last) > PAUSE_MIN {
            self.holds.handle_pause(now);
        }
    }

    fn availability(&self) -> MinionAvailability {
        let Some(minion) = &self.minion else {
            return MinionAvailability::Unavailable;
        };
        let is_reachable = self.holds.is_reachable() && minion.is_clock_known();
        let is_known =
            minion.is_profile_current && !minion.has_unread_ends && !self.runs.has_orphans();
        let is_stopping = self.is_draining || minion.is_draining || minion.has_left;
        let is_lease_unsafe = self.is_lease_ending || minion.has_inherited_lease;
        if is_stopping || !is_reachable || !is_known || is_lease_unsafe {
            MinionAvailability::Unavailable
        } else if self.evacuation.is_evacuated() {
            MinionAvailability::Evacuated
        } else if self.stats.is_suspect() {
            MinionAvailability::Suspect
        } else {
            MinionAvailability::Ready
        }
    }

    fn update_lease_ending(&mut self, now: Instant) {
        let unconfirmed_since = self.runs.unconfirmed_stop_since(now);
        let is_lease_ending = unconfirmed_since
            .is_some_and(|since| now.saturating_duration_since(since) > UNCONFIRMED_STOP_TIME_MAX);
        if is_lease_ending != self.is_lease_ending {
            log::warn!(
                is_lease_ending, runs = self.runs.len();
                "renewal of the lease ended or resumed: stop of an abandoned run without an answer"
            );
            self.is_lease_ending = is_lease_ending;
        }
    }

    fn free(&self) -> Resources {
        let capacity = self
            .minion
            .as_ref()
            .map_or_else(Resources::default, |minion| minion.profile.capacity);
        capacity.saturating_sub(self.runs.resources())
    }

    fn refusal_cause(
        &self,
        entry: Incarnation,
        order: &StartOrder,
        stamped_at: Instant,
        now: Instant,
    ) -> Option<RefusalCause> {
        let Some(minion) = &self.minion else {
            return Some(RefusalCause::NoMinion);
        };
        let is_known = self.entries.contains(entry);
        if !is_known
            || now.saturating_duration_since(stamped_at) > self.settings.entry_silence_timeout
        {
            return Some(RefusalCause::Stale);
        }
        if self.is_draining || minion.is_draining {
            return Some(RefusalCause::Draining);
        }
        if self.availability() == MinionAvailability::Unavailable {
            return Some(RefusalCause::NoMinion);
        }
        if self.evacuation.is_evacuated() {
            return Some(RefusalCause::Evacuated);
        }
        if minion.profile.service != order.service {
            return Some(RefusalCause::OtherService);
        }
        if !minion.profile.has_label(order.required_label.as_deref()) {
            return Some(RefusalCause::OtherLabels);
        }
        if order.is_trial && self.runs.has_other_job(order.task.job) {
            return Some(RefusalCause::NotAlone);
        }
        // The minion may still run the task for another entry or an earlier placement.
        if self.runs.has_task(order.task) || !order.resources.fits_into(self.free()) {
            return Some(RefusalCause::NoRoom);
        }
        None
    }

    /// Orders a run, or defers the order until the next answer to a hold call if another incarnation
    /// than the one whose clock is known may be there: the lease in the order would end much later
    /// on its clock. Refuses a run that the minion can't have started if it was evacuated meanwhile.
    fn order_start(&mut self, key: RunKey, now: Instant) {
        let may_have_started = self.runs.get(key).is_some_and(Run::may_have_started);
        if self.evacuation.is_evacuated() && !may_have_started {
            self.refuse_run(key, RefusalCause::Evacuated);
            return;
        }
        let renews = self.may_renew_lease(now);
        let (Some(minion), Some(run)) = (&mut self.minion, self.runs.get_mut(key)) else {
            return;
        };
        run.is_order_deferred = !self.holds.is_incarnation_confirmed()
            || !minion.is_clock_known()
            || minion.has_inherited_lease;
        if run.is_order_deferred {
            return;
        }
        let call = self.orders.start(run, minion, renews, &self.settings, now);
        self.actions.extend(call.map(SidecarAction::Start));
    }

    /// Returns whether calls renew the lease of the minion.
    ///
    /// It has to expire if the minion is unreachable, so that the outcome of its runs becomes
    /// certain, and while an abandoned run may still be there, since the lease is that of all runs.
    /// After a hold call without an answer, another incarnation may be there, on whose clock the
    /// lease would end much later.
    fn may_renew_lease(&self, now: Instant) -> bool {
        let has_left = |minion: &MinionState| minion.has_left;
        self.holds.is_incarnation_confirmed()
            && self.holds.is_reachable()
            && self.runs.unconfirmed_stop_since(now).is_none()
            && !self.minion.as_ref().is_some_and(has_left)
    }

    fn order_stop(&mut self, key: RunKey, now: Instant) {
        let Some(minion) = self.minion.as_ref().filter(|_| self.runs.contains(key)) else {
            return;
        };
        let call = self.orders.stop(key, minion, now);
        self.actions.push(SidecarAction::Stop(call));
    }

    fn order_hold(&mut self, now: Instant) {
        let has_runs = !self.runs.is_empty();
        let mut wait = self.holds.wait_max(&self.settings, has_runs, now);
        let is_confirmed = self.holds.is_incarnation_confirmed();
        let renews = self.may_renew_lease(now);
        let Some(minion) = &mut self.minion else {
            return;
        };
        if !renews {
            // The lease is renewed soon after the last abandoned run has ended.
            wait = wait.min(self.settings.lossy_hold_wait);
        }
        let settings = &self.settings;
        let call = self
            .orders
            .hold(minion, is_confirmed, renews, wait, settings, now);
        self.holds.record_sent(&call, !has_runs, now);
        self.actions.push(SidecarAction::Hold(call));
    }

    /// Replaces the minion by another instance. Its runs are lost, so it has to have ended.
    fn replace_minion(&mut self, heartbeat: MinionHeartbeat, now: Instant) {
        log::warn!(
            instance = heartbeat.profile.instance.as_str(),
            started_unix_ms = heartbeat.started_unix_ms,
            runs_lost = self.runs.len(); "minion replaced by another instance"
        );
        self.record_crash(now);
        self.remove_minion(now);
        self.register_minion(heartbeat, now);
    }

    fn register_minion(&mut self, heartbeat: MinionHeartbeat, now: Instant) {
        self.successor = Successor::default();
        self.minion = Some(MinionState::new(heartbeat));
        self.start_monitoring(now);
    }

    /// Resets the statistics for a new incarnation, schedules a hold call and announces the minion.
    fn start_monitoring(&mut self, now: Instant) {
        self.crashes.recovered();
        self.stats = MinionStats::default();
        // The pending answer may be that of the previous incarnation.
        self.holds.reschedule(now);
        self.announce_minion();
    }

    fn remove_minion(&mut self, now: Instant) {
        self.settle_all_missing(now);
        self.minion = None;
        self.runs.remove_orphans(None);
        self.orders.clear();
        // The next incarnation may have the same name, and refuses late orders by the token.
        self.orders.begin_incarnation();
        self.holds.reset();
    }

    fn announce_minion(&mut self) {
        let profile = self.minion().cloned();
        let entries: Vec<_> = self.entries.iter().collect();
        for entry in entries {
            self.send(entry, Message::Minion(profile.clone()));
        }
    }

    fn update_clock(&mut self, clock_ms: Option<StampMs>, now: Instant) {
        if let (Some(minion), Some(clock_ms)) = (&mut self.minion, clock_ms) {
            minion.set_clock(clock_ms, now);
        }
    }

    fn process_ended_run(&mut self, ended: &EndedRun, now: Instant) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        if ended.number <= minion.acknowledged_end {
            return;
        }
        minion.acknowledge_end(ended.number, now);
        let Some(run) = self.runs.get(ended.run) else {
            return;
        };
        let end = match ended.kind {
            EndKind::Done => RunEnd::Done,
            EndKind::Failed => RunEnd::Failed,
            EndKind::Stopped => RunEnd::Stopped,
            EndKind::Lapsed => RunEnd::Lost,
        };
        let outcome = run.outcome(end, now);
        if end != RunEnd::Done {
            log::warn!(
                job:% = ended.run.task.job, task = ended.run.task.index, attempt = run.attempt,
                run = ended.run.number, end:? = end; "run ended without success"
            );
        }
        if end == RunEnd::Done {
            self.stats.record_run(run.age(now), run.estimate);
        }
        if matches!(end, RunEnd::Done | RunEnd::Failed) {
            self.stats
                .record_outcome(ended.run.task.job, end == RunEnd::Failed);
        }
        let is_trial = run.is_trial;
        self.report_end(ended.run, outcome);
        if is_trial && self.runs.is_empty() && matches!(end, RunEnd::Done | RunEnd::Failed) {
            self.crashes.trial_passed();
        }
    }

    /// Acknowledges the ends that could not be parsed. While any end of the answer can't be
    /// acknowledged, the minion reports it again without a wait, so the next hold call is delayed.
    fn acknowledge_malformed_ends(&mut self, answer: &HoldAnswer, now: Instant) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        for number in answer.malformed_ends.iter().flatten() {
            minion.acknowledge_end(*number, now);
        }
        let mut numbers = answer.ended.iter().map(|ended| ended.number);
        let is_reported_again = answer.malformed_ends.contains(&None)
            || numbers.any(|number| number > minion.acknowledged_end)
            || answer
                .malformed_ends
                .iter()
                .flatten()
                .any(|number| *number > minion.acknowledged_end);
        if is_reported_again {
            self.holds
                .reschedule(now + self.settings.hold_retry_interval);
        }
    }

    /// Compares the runs of the minion with the run table: stops orphaned and stalled runs, and
    /// settles runs that are missing at the minion.
    fn reconcile_running(&mut self, answer: &HoldAnswer, hold_sent_at: Instant, now: Instant) {
        let running: HashSet<RunKey> = answer.running.iter().map(|(key, _)| *key).collect();
        self.runs.confirm(&running);
        for key in self.runs.update_orphans(&running, answer.has_more) {
            self.log_orphan(key, now);
            self.order_stop(key, now);
        }
        self.stop_stalled_runs(&answer.running, now);
        if answer.has_more {
            return;
        }
        let stop_time_max = self.settings.run_stop_time_max;
        let missing = self.runs.missing(&running, hold_sent_at, stop_time_max);
        for key in missing {
            self.settle_missing(key, now);
        }
    }

    /// Logs a run at the minion that this process does not count any more, or never did.
    fn log_orphan(&mut self, key: RunKey, now: Instant) {
        let Some(report) = self.reported_runs.find(key) else {
            log::warn!(
                job:% = key.task.job, task = key.task.index, run = key.number;
                "stopping orphaned run of an earlier sidecar process"
            );
            return;
        };
        self.false_report_count += 1;
        log::error!(
            job:% = key.task.job, task = key.task.index, run = key.number,
            outcome:? = report.outcome,
            reported_ms_ago = millis(now.saturating_duration_since(report.reported_at));
            "run is at the minion although it was reported as over, it is stopped"
        );
    }

    /// Stops stalled runs, so that their entries place the tasks elsewhere.
    fn stop_stalled_runs(&mut self, running: &[(RunKey, u8)], now: Instant) {
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
            self.stats.record_outcome(key.task.job, true);
            self.begin_stop(*key, now);
        }
    }

    fn stop_runs_of_silent_entries(&mut self, now: Instant) {
        let timeout = self.settings.entry_silence_timeout;
        for entry in self.entries.silent_for(timeout, now) {
            self.stop_runs_of(entry, now);
        }
    }

    fn stop_runs_of(&mut self, entry: Incarnation, now: Instant) {
        let keys = self.runs.abandon_runs_of(entry, now);
        if !keys.is_empty() {
            let lease_left = self
                .minion
                .as_ref()
                .map_or(Duration::ZERO, |minion| minion.lease_left(now));
            log::warn!(
                entry:% = entry, runs = keys.len(), lease_left_ms = millis(lease_left);
                "stopping the runs of an unreachable or disconnected entry"
            );
        }
        for key in keys {
            self.begin_stop(key, now);
        }
    }

    /// Repeats stop orders that had no answer, unless the last hold call had no answer either. If
    /// the minion stays unreachable, its lease expires and ends all runs.
    fn retry_stops(&mut self, now: Instant) {
        if self.holds.is_failing() {
            return;
        }
        for key in self.orders.take_due_stop_retries(now) {
            self.order_stop(key, now);
        }
    }

    /// Gives up runs whose deferred order comes too late.
    fn give_up_deferred_orders(&mut self, now: Instant) {
        for key in self.runs.keys_where(|run| run.has_missed_order(now)) {
            if self.runs.get(key).is_some_and(Run::may_have_started) {
                self.begin_stop(key, now);
            } else {
                self.refuse_run(key, RefusalCause::NoMinion);
            }
        }
    }

    fn settle_expired_runs(&mut self, now: Instant) {
        let have_ended = self
            .minion
            .as_ref()
            .is_some_and(|minion| minion.have_all_runs_ended(&self.settings, now));
        if self.runs.is_empty() || !have_ended {
            return;
        }
        if self.holds.is_failing() {
            log::warn!(
                runs = self.runs.len();
                "lease of an unreachable minion expired, its runs are lost"
            );
            self.settle_all_missing(now);
            self.orders.fence_unanswered_orders();
            return;
        }
        let unconfirmed = self.runs.unconfirmed_stops();
        if !unconfirmed.is_empty() {
            self.orders.fence_unanswered_orders();
        }
        for key in unconfirmed {
            log::warn!(
                job:% = key.task.job, task = key.task.index, run = key.number;
                "lease of a run expired whose stop had no answer"
            );
            self.settle_missing(key, now);
        }
    }

    fn begin_stop(&mut self, key: RunKey, now: Instant) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if matches!(run.phase, Phase::Starting | Phase::Running(_)) {
            run.phase = Phase::Stopping;
            self.order_stop(key, now);
        }
    }

    /// Orders a run again under a higher number, since the minion has seen this or a later one.
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

    fn settle_missing(&mut self, key: RunKey, now: Instant) {
        self.runs.remove_orphans(Some(key));
        if let Some(run) = self.runs.get(key) {
            let outcome = if self.crashes.ended(run) {
                run.outcome(run.crash_end(), now)
            } else {
                run.outcome_if_missing(now)
            };
            self.settle(key, outcome);
        }
    }

    fn settle_all_missing(&mut self, now: Instant) {
        for key in self.runs.keys() {
            if let Some(run) = self.runs.get_mut(key)
                && run.phase == Phase::Starting
                && run.order_count > 0
            {
                // The order in flight may have been carried out.
                run.unanswered_count += 1;
            }
            self.settle_missing(key, now);
        }
    }

    /// Reports the outcome of a run whose end the minion has not listed.
    fn settle(&mut self, key: RunKey, outcome: PlacementOutcome) {
        if let Some(now) = self.ticked_at {
            self.reported_runs.record(key, outcome, now);
        }
        self.report_end(key, outcome);
    }

    /// Removes a run and reports its outcome to its entry.
    fn report_end(&mut self, key: RunKey, outcome: PlacementOutcome) {
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
        if outcome == PlacementOutcome::Refused(RefusalCause::Evacuated) {
            self.evacuation.count_refusal();
        }
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
