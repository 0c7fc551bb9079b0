//! An entry's view of one sidecar and its minion.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::common::Incarnation;
use crate::dispatch::Resources;
use crate::dispatch::message::{
    EvacuationRevision, Message, MinionAvailability, MinionProfile, SidecarStatus,
};
use crate::dispatch::session::MessageNumber;

/// An entry's view of one sidecar and its minion.
#[derive(Debug)]
pub struct SidecarView {
    incarnation: Incarnation,
    profile: Option<MinionProfile>,
    status: Option<SidecarStatus>,
    /// The start orders that the newest status does not account for yet.
    unconfirmed: VecDeque<(MessageNumber, Resources)>,
    is_silent: bool,
    gone_at: Option<Instant>,
    placed_count: usize,
    /// The resources of the placements that have not ended.
    placed_resources: Resources,
    /// Whether it gets no more tasks because its session is about to be closed.
    is_retired: bool,
    probed_at: Option<Instant>,
    /// Whether the failure domain of the minion is evacuated, as far as this entry knows.
    is_domain_evacuated: bool,
    /// What this entry has last told the sidecar about its failure domain in this session.
    evacuation_told: Option<(EvacuationRevision, bool)>,
}

impl SidecarView {
    /// Creates the view of a sidecar that has not reported its status yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            profile: None,
            status: None,
            unconfirmed: VecDeque::new(),
            is_silent: false,
            gone_at: None,
            placed_count: 0,
            placed_resources: Resources::default(),
            is_retired: false,
            probed_at: None,
            is_domain_evacuated: false,
            evacuation_told: None,
        }
    }

    /// Returns the incarnation of the sidecar.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the profile of the minion, if one has registered.
    pub fn profile(&self) -> Option<&MinionProfile> {
        self.profile.as_ref()
    }

    /// Sets the profile of the minion; `None` if the sidecar has none.
    pub fn set_profile(&mut self, profile: Option<MinionProfile>) {
        self.profile = profile;
    }

    /// Sets the newest status of the sidecar, which accounts for the messages of this entry up to
    /// number `acknowledged`.
    pub fn set_status(&mut self, status: SidecarStatus, acknowledged: MessageNumber) {
        self.status = Some(status);
        while self
            .unconfirmed
            .front()
            .is_some_and(|(number, _)| *number <= acknowledged)
        {
            self.unconfirmed.pop_front();
        }
    }

    /// Records that a task was sent there in the message with the given number.
    pub fn record_placement(&mut self, number: MessageNumber, resources: Resources, now: Instant) {
        self.unconfirmed.push_back((number, resources));
        self.placed_count += 1;
        self.placed_resources = self.placed_resources.saturating_add(resources);
        if self.is_suspect() {
            self.probed_at = Some(now);
        }
    }

    /// Records that a placement there has ended and releases its resources.
    pub fn record_end(&mut self, resources: Resources) {
        self.placed_count = self.placed_count.saturating_sub(1);
        self.placed_resources = self.placed_resources.saturating_sub(resources);
    }

    /// Returns the resources of the placements that have not ended.
    pub fn placed_resources(&self) -> Resources {
        self.placed_resources
    }

    /// Sets whether the sidecar gets no more tasks because its session is about to be closed.
    pub fn set_retired(&mut self, is_retired: bool) {
        self.is_retired = is_retired;
    }

    /// Returns the number of placements that have not ended.
    pub fn placed_count(&self) -> usize {
        self.placed_count
    }

    /// Sets whether nothing has been received from the sidecar for too long.
    pub fn set_silent(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
    }

    /// Returns whether nothing has been received from the sidecar for too long.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Marks the process as gone: another one has replaced it, or its session is closed.
    pub fn mark_gone(&mut self, now: Instant) {
        self.gone_at = Some(now);
    }

    /// Returns when the process was marked as gone.
    pub fn gone_at(&self) -> Option<Instant> {
        self.gone_at
    }

    /// Returns whether tasks may be placed there: it takes tasks and is not retired.
    pub fn is_usable(&self) -> bool {
        !self.is_retired && self.takes_tasks()
    }

    /// Returns whether the sidecar can be reached and its minion takes tasks.
    pub fn takes_tasks(&self) -> bool {
        let is_reached = !self.is_silent && self.gone_at.is_none() && self.profile.is_some();
        let takes_tasks = |status: SidecarStatus| status.availability.takes_tasks();
        is_reached && !self.is_domain_evacuated && self.status.is_some_and(takes_tasks)
    }

    /// Sets whether the failure domain of the minion is evacuated, as far as this entry knows.
    pub(super) fn set_domain_evacuated(&mut self, is_evacuated: bool) {
        self.is_domain_evacuated = is_evacuated;
    }

    /// Returns whether the minion is evacuated, by what this entry or the sidecar knows.
    pub fn is_evacuated(&self) -> bool {
        self.is_domain_evacuated || self.reports_evacuation()
    }

    /// Returns whether the sidecar reports that it is evacuated.
    pub(super) fn reports_evacuation(&self) -> bool {
        self.status
            .is_some_and(|status| status.availability == MinionAvailability::Evacuated)
    }

    /// Returns what the sidecar has to be told about its failure domain, if anything, by an entry
    /// with this revision. A sidecar that was never evacuated is told nothing.
    pub(super) fn evacuation_to_tell(&self, revision: EvacuationRevision) -> Option<Message> {
        let is_evacuated = self.is_domain_evacuated;
        let is_told = self
            .evacuation_told
            .is_some_and(|told| told.1 == is_evacuated && told.0 >= revision);
        let was_told_otherwise = self.evacuation_told.is_some_and(|told| told.1);
        let has_to_know = is_evacuated || was_told_otherwise || self.reports_evacuation();
        let is_due = self.profile.is_some() && revision > 0 && has_to_know && !is_told;
        is_due.then_some(Message::Evacuation {
            revision,
            is_evacuated,
        })
    }

    /// Records what the sidecar was told about its failure domain.
    pub(super) fn record_evacuation_told(
        &mut self,
        revision: EvacuationRevision,
        is_evacuated: bool,
    ) {
        self.evacuation_told = Some((revision, is_evacuated));
    }

    /// Handles a new session, in which the sidecar has been told nothing.
    pub(super) fn begin_session(&mut self) {
        self.evacuation_told = None;
    }

    /// Returns whether the minion is suspect because it failed tasks of several jobs.
    pub fn is_suspect(&self) -> bool {
        self.status
            .is_some_and(|status| status.availability == MinionAvailability::Suspect)
    }

    /// Returns whether nothing runs there, by the newest status and the orders since.
    pub(super) fn is_idle(&self) -> bool {
        let capacity = self.profile.as_ref().map(|profile| profile.capacity);
        capacity.is_some_and(|capacity| self.free() == capacity)
    }

    /// Returns whether a suspect minion may get a probe task: it is idle, and the last one is at
    /// least `interval` old.
    pub fn may_be_probed(&self, now: Instant, interval: Duration) -> bool {
        let is_due = |at| now.saturating_duration_since(at) >= interval;
        self.placed_count == 0 && self.probed_at.is_none_or(is_due)
    }

    /// Returns the number of entries that have recently ordered runs there, at least 1.
    pub fn recent_entry_count(&self) -> u64 {
        let count = self
            .status
            .map_or(1, |status| status.recent_entry_count.max(1));
        count.into()
    }

    /// Returns the free resources by the newest status, without those of unconfirmed orders.
    pub fn free(&self) -> Resources {
        let free = self
            .status
            .map_or_else(Resources::default, |status| status.free);
        self.unconfirmed
            .iter()
            .fold(free, |free, (_, resources)| free.saturating_sub(*resources))
    }

    /// Returns the expected run time there of a task with the given estimate, by the pace and delay
    /// of the minion.
    pub fn run_time(&self, estimate: Duration) -> Duration {
        let Some(status) = self.status else {
            return estimate;
        };
        let delay = Duration::from_millis(status.delay_ms.into());
        estimate * status.pace_permille / 1_000 + delay
    }
}
