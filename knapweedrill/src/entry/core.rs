//! The state machine of an entry.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::common::{Incarnation, JobId, ServiceName};
use crate::contract::{Configuration, ConfigurationVersion, OwnerToken};
use crate::message::{Message, Role, RosterNotice, SlotReport};
use crate::minion::{Announcement, MinionState};

use super::demand_tracker::DemandTracker;
use super::dispatch::{Batches, ServiceWork};
use super::hand_over::{IncomingKeys, PlannedStop};
use super::key_table::KeyTable;
use super::live_job::LiveJob;
use super::placer::Placer;
use super::relay_table::RelayTable;
use super::run_time_estimator::RunTimeEstimator;
use super::sidecar_view::SidecarView;
use super::timers::Timers;
use super::token_mint::TokenMint;
use super::{
    CallerRequest, CallerResponse, EntryAction, EntryCounter, EntryEvent, EntrySettings, Requester,
};

/// How long an entry waits for link sessions to the known sidecars after its first configuration.
const LINK_WAIT_MAX: Duration = Duration::from_secs(2);

/// The state machine of an entry.
///
/// An entry owns the jobs that were submitted with its owner tokens. Only the owner dispatches
/// their tasks, collects the results and determines the outcome.
pub struct Entry {
    pub(super) incarnation: Incarnation,
    pub(super) settings: EntrySettings,
    pub(super) version: Option<ConfigurationVersion>,
    pub(super) configuration: Configuration,
    pub(super) mint: TokenMint,
    pub(super) keys: KeyTable,
    pub(super) jobs: HashMap<JobId, LiveJob>,
    pub(super) services: BTreeMap<ServiceName, ServiceWork>,
    pub(super) sidecars: BTreeMap<Incarnation, SidecarView>,
    pub(super) entries: BTreeSet<Incarnation>,
    pub(super) relays: RelayTable,
    pub(super) timers: Timers,
    pub(super) placer: Placer,
    pub(super) run_time_estimator: RunTimeEstimator,
    pub(super) stopping: Option<PlannedStop>,
    /// When the first configuration came into force.
    configured_at: Option<Instant>,
    /// Whether the initial wait for link sessions is over; a later disconnect does not reset it.
    has_awaited_links: bool,
    /// Keys that are being received from stopping entries.
    pub(super) incoming: BTreeMap<Incarnation, IncomingKeys>,
    /// Starts to send at the next flush, by sidecar.
    pub(super) batches: Batches,
    /// The demand that was advertised to each sidecar.
    pub(super) demand_tracker: DemandTracker,
}

impl Entry {
    /// Creates an entry that knows no configuration and no sidecar.
    pub fn new(incarnation: Incarnation, settings: EntrySettings, now: Instant) -> Self {
        let keys = KeyTable::new(settings.answer_bytes_max, settings.key_count_max);
        let placer = Placer::new(settings.placement, settings.seed);
        Self {
            incarnation,
            settings,
            version: None,
            configuration: Configuration::default(),
            mint: TokenMint::new(incarnation, now),
            keys,
            jobs: HashMap::new(),
            services: BTreeMap::new(),
            sidecars: BTreeMap::new(),
            entries: BTreeSet::new(),
            relays: RelayTable::default(),
            timers: Timers::default(),
            placer,
            run_time_estimator: RunTimeEstimator::new(),
            stopping: None,
            configured_at: None,
            has_awaited_links: false,
            incoming: BTreeMap::new(),
            batches: Batches::new(),
            demand_tracker: DemandTracker::new(),
        }
    }

    /// Handles one event.
    ///
    /// The embedding process calls [`Entry::flush`] after each batch of events.
    pub fn handle(&mut self, event: EntryEvent, now: Instant, actions: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Request { requester, request } => {
                self.handle_request(requester, request, now, actions);
            }
            EntryEvent::RequesterGone { requester } => self.drop_requester(requester),
            EntryEvent::PeerConnected { peer, role } => {
                self.peer_connected(peer, role, now, actions)
            }
            EntryEvent::PeerDisconnected { peer } => self.peer_disconnected(peer, now, actions),
            EntryEvent::Message { peer, message } => {
                self.handle_message(peer, message, now, actions)
            }
            EntryEvent::MinionAnnounced { announcement } => {
                self.minion_announced(announcement, now, actions)
            }
            EntryEvent::SlotsReported { sidecar, report } => {
                self.slots_reported(sidecar, report, now);
                self.record_health(sidecar, report.ended, now, actions);
            }
            EntryEvent::MinionLost { sidecar } => self.minion_lost(sidecar, now, actions),
            EntryEvent::EntryStopping { entry } => self.relays.mark_stopping(entry),
            EntryEvent::SuccessorAnnounced { successor, stopped } => {
                self.relays.set_successor(stopped, successor);
            }
            EntryEvent::ConfigurationChanged {
                version,
                configuration,
            } => self.configure(version, configuration, now),
            EntryEvent::Tick => self.tick(now, actions),
            EntryEvent::Stop => self.stop(now),
        }
    }

    /// Dispatches queued tasks, sends demand updates to sidecars and advances a planned stop.
    pub fn flush(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        self.dispatch(now, actions);
        self.send_batches(now, actions);
        self.advance_stop(now, actions);
    }

    /// Returns the owner token for new jobs, or `None` if the entry accepts none.
    pub fn owner_token(&self) -> Option<OwnerToken> {
        let takes_jobs = self.has_awaited_links && self.stopping.is_none();
        takes_jobs.then(|| self.mint.current())
    }

    /// Returns whether the entry accepts new jobs.
    pub fn is_ready(&self) -> bool {
        self.owner_token().is_some()
    }

    /// Returns whether a planned stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    /// Returns whether another entry is known to be stopping.
    pub fn is_entry_stopping(&self, entry: Incarnation) -> bool {
        self.relays.is_stopping(entry)
    }

    /// Returns the stopped entries whose keys this entry has taken over.
    pub fn taken_over_entries(&self) -> Vec<Incarnation> {
        self.relays.taken_over_entries()
    }

    /// Returns the number of jobs that have not ended.
    pub fn live_job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of retained keys.
    pub fn key_count(&self) -> usize {
        self.keys.key_count()
    }

    /// Returns the size of the retained answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.keys.answer_bytes()
    }

    fn handle_request(
        &mut self,
        requester: Requester,
        request: CallerRequest,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        if request.token().incarnation == self.incarnation {
            self.handle_own_request(requester, request, now, actions);
        } else {
            self.handle_foreign_request(requester, request, now, actions);
        }
    }

    fn handle_message(
        &mut self,
        peer: Incarnation,
        message: Message,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        match message {
            Message::Slots { report, credits } => {
                self.handle_credits(peer, report, credits, now, actions);
            }
            Message::Reports {
                tasks,
                report,
                credits,
            } => {
                self.handle_task_reports(peer, tasks, now, actions);
                self.handle_credits(peer, report, credits, now, actions);
            }
            Message::Reconciled(tasks) => self.handle_reconciled(peer, tasks, now, actions),
            Message::Fenced(report) => self.handle_fence_report(report, now, actions),
            Message::Relay(relay) => {
                let requester = Requester::Entry {
                    entry: peer,
                    request: relay.request,
                };
                self.handle_relayed_request(requester, relay.body, now, actions);
            }
            Message::RelayResponse(response) => self.handle_relay_response(response, actions),
            Message::Roster(notice) => self.relays.add_roster(notice),
            Message::HandOver(part) => self.handle_hand_over(peer, part, now, actions),
            Message::HandOverTaken { from, .. } => self.hand_over_acknowledged(from),
            Message::AnswersFor { stopped } => self.relays.set_successor(stopped, peer),
            _ => actions.push(EntryAction::Count(EntryCounter::UnexpectedMessage)),
        }
    }

    fn peer_connected(
        &mut self,
        peer: Incarnation,
        role: Role,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        match role {
            Role::Entry => {
                self.entries.insert(peer);
                actions.push(EntryAction::Send {
                    peer,
                    message: Message::Roster(self.roster_notice()),
                });
                self.retry_parked(now, actions);
            }
            Role::Sidecar => self.sidecar_connected(peer, now, actions),
        }
    }

    fn peer_disconnected(
        &mut self,
        peer: Incarnation,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.entries.remove(&peer) {
            self.entry_disconnected(peer, now, actions);
        }
        if let Some(view) = self.sidecars.get_mut(&peer) {
            view.session_closed(now);
        }
    }

    fn sidecar_connected(
        &mut self,
        peer: Incarnation,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self.sidecars.get_mut(&peer) else {
            return;
        };
        view.session_opened();
        self.demand_tracker.reset_sidecar(peer);
        let tasks = view.tasks_in_doubt();
        if !tasks.is_empty() {
            actions.push(EntryAction::Send {
                peer,
                message: Message::Reconcile(tasks),
            });
        }
        self.update_roster(peer, now, actions);
    }

    fn minion_announced(
        &mut self,
        announcement: Announcement,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let sidecar = announcement.sidecar;
        let view = self
            .sidecars
            .entry(sidecar)
            .or_insert_with(|| SidecarView::new(announcement.clone()));
        view.is_alive = true;
        if let Some(work) = self.services.get_mut(&announcement.service) {
            work.health.add_minion(sidecar);
        }
        view.update_announcement(announcement);
        self.update_roster(sidecar, now, actions);
    }

    fn slots_reported(&mut self, sidecar: Incarnation, report: SlotReport, now: Instant) {
        if let Some(view) = self.sidecars.get_mut(&sidecar) {
            view.handle_heartbeat(report, now);
        }
    }

    fn minion_lost(&mut self, sidecar: Incarnation, now: Instant, actions: &mut Vec<EntryAction>) {
        if let Some(view) = self.sidecars.get_mut(&sidecar) {
            view.is_alive = false;
        }
        self.update_roster(sidecar, now, actions);
    }

    /// Adds a sidecar to the roster of new tokens, or removes it, according to its state.
    pub(super) fn update_roster(
        &mut self,
        sidecar: Incarnation,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self.sidecars.get(&sidecar) else {
            return;
        };
        let is_changed = if view.is_usable() {
            self.mint.add_sidecar(sidecar, now)
        } else if view.announcement.state == MinionState::Serving && view.is_alive {
            // A disconnected sidecar usually reconnects soon, so it stays in the roster.
            false
        } else {
            self.mint.remove_sidecar(sidecar, now)
        };
        if is_changed {
            self.broadcast_roster(actions);
        }
    }

    fn broadcast_roster(&mut self, actions: &mut Vec<EntryAction>) {
        let notice = self.roster_notice();
        self.relays.add_roster(notice.clone());
        for entry in &self.entries {
            actions.push(EntryAction::Send {
                peer: *entry,
                message: Message::Roster(notice.clone()),
            });
        }
    }

    fn roster_notice(&self) -> RosterNotice {
        RosterNotice {
            owner: self.incarnation,
            digest: self.mint.current().roster,
            sidecars: self.mint.sidecars().collect(),
        }
    }

    fn configure(
        &mut self,
        version: ConfigurationVersion,
        configuration: Configuration,
        now: Instant,
    ) {
        self.version = Some(version);
        self.configured_at.get_or_insert(now);
        self.configuration = configuration;
        self.configure_services(now);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        self.update_readiness(now);
        self.mint.rotate(self.settings.token_rotation_interval, now);
        self.keys.expire(self.settings.key_retention, now);
        self.mint
            .remove_superseded(self.settings.key_retention, now);
        self.run_timers(now, actions);
        self.drop_unreachable_sidecars(now, actions);
        self.advance_relays(now, actions);
        for keys in self.relays.taken_over_keys.values_mut() {
            keys.expire(self.settings.key_retention, now);
        }
    }

    /// Ends the initial wait once all known sidecars are connected or `LINK_WAIT_MAX` has passed.
    fn update_readiness(&mut self, now: Instant) {
        let Some(configured_at) = self.configured_at else {
            return;
        };
        let has_waited = now.duration_since(configured_at) >= LINK_WAIT_MAX;
        self.has_awaited_links |= has_waited || self.has_all_links();
    }

    /// Returns whether at least one sidecar is alive and all live sidecars are connected.
    fn has_all_links(&self) -> bool {
        let mut known = self.sidecars.values().filter(|view| view.is_alive);
        let first = known.next();
        first.is_some_and(|view| view.is_connected) && known.all(|view| view.is_connected)
    }

    /// Sends a response to a local caller or to the entry that relayed the request.
    pub(super) fn respond(
        &self,
        requester: Requester,
        response: CallerResponse,
        actions: &mut Vec<EntryAction>,
    ) {
        match requester {
            Requester::Caller { request } => {
                actions.push(EntryAction::Respond { request, response });
            }
            Requester::Entry { entry, request } => actions.push(EntryAction::Send {
                peer: entry,
                message: Message::RelayResponse(crate::message::RelayResponse {
                    request,
                    body: response,
                }),
            }),
        }
    }
}
