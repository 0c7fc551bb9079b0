//! The state machine of an entry.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::common::{Incarnation, JobId, ServiceName};
use crate::contract::{Configuration, ConfigurationVersion, OwnerToken};
use crate::message::{Message, Role, RosterNotice, SlotReport};
use crate::minion::{Announcement, MinionState};

use super::demand_board::DemandBoard;
use super::dispatch::{Batches, ServiceWork};
use super::hand_over::{IncomingKeys, Stopping};
use super::key_table::KeyTable;
use super::live_job::LiveJob;
use super::placement::Placement;
use super::relay::Relays;
use super::run_time::RunTimes;
use super::sidecar_view::SidecarView;
use super::timers::Timers;
use super::token_mint::TokenMint;
use super::{
    CallerRequest, CallerResponse, EntryAction, EntryCounter, EntryEvent, EntrySettings, Requester,
};

/// How long after its first configuration an entry waits for links to the minions it knows.
const LINK_GRACE: Duration = Duration::from_secs(2);

/// The state machine of an entry.
///
/// It owns the jobs that came under its tokens: it alone hands out their tasks, gathers their
/// results and knows their outcome.
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
    pub(super) relays: Relays,
    pub(super) timers: Timers,
    pub(super) placement: Placement,
    pub(super) run_times: RunTimes,
    pub(super) stopping: Option<Stopping>,
    /// When the first configuration came into force.
    configured_at: Option<Instant>,
    /// Whether the links to the minions were awaited; later losses do not take it back.
    has_settled: bool,
    /// The keys that are being taken over.
    pub(super) incoming: BTreeMap<Incarnation, IncomingKeys>,
    /// Tasks on their way to sidecars.
    pub(super) batches: Batches,
    /// What each sidecar was told of the work that waits.
    pub(super) demand_board: DemandBoard,
}

impl Entry {
    /// Creates an entry that knows no configuration and no sidecar.
    pub fn new(incarnation: Incarnation, settings: EntrySettings, now: Instant) -> Self {
        let keys = KeyTable::new(settings.answer_bytes, settings.key_count);
        let placement = Placement::new(settings.placement, settings.seed);
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
            relays: Relays::default(),
            timers: Timers::default(),
            placement,
            run_times: RunTimes::new(),
            stopping: None,
            configured_at: None,
            has_settled: false,
            incoming: BTreeMap::new(),
            batches: Batches::new(),
            demand_board: DemandBoard::new(),
        }
    }

    /// Takes in one event.
    ///
    /// The embedding process calls [`Entry::flush`] after the events at hand.
    pub fn handle(&mut self, event: EntryEvent, now: Instant, actions: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Request { requester, request } => {
                self.request(requester, request, now, actions);
            }
            EntryEvent::Hangup { requester } => self.hang_up(requester),
            EntryEvent::PeerUp { peer, role } => self.peer_up(peer, role, now, actions),
            EntryEvent::PeerDown { peer } => self.peer_down(peer, now, actions),
            EntryEvent::Message { peer, message } => self.receive(peer, message, now, actions),
            EntryEvent::Minion { announcement } => self.hear_minion(announcement, now, actions),
            EntryEvent::SlotsReported { sidecar, report } => {
                self.hear_slots(sidecar, report, now);
                self.learn_health(sidecar, report.ended, now, actions);
            }
            EntryEvent::MinionLost { sidecar } => self.lose_minion(sidecar, now, actions),
            EntryEvent::EntryStopping { entry } => self.relays.note_stopping(entry),
            EntryEvent::AnswersFor { successor, stopped } => {
                self.relays.learn_successor(stopped, successor);
            }
            EntryEvent::Configured {
                version,
                configuration,
            } => self.configure(version, configuration, now),
            EntryEvent::Tick => self.tick(now, actions),
            EntryEvent::Stop => self.stop(now),
        }
    }

    /// Hands out what can be handed out, and tells sidecars what waits.
    pub fn flush(&mut self, now: Instant, actions: &mut Vec<EntryAction>) {
        self.dispatch(now, actions);
        self.send_batches(now, actions);
        self.advance_stop(now, actions);
    }

    /// Returns the token for new jobs, unless the entry takes none.
    pub fn owner_token(&self) -> Option<OwnerToken> {
        let takes_jobs = self.has_settled && self.stopping.is_none();
        takes_jobs.then(|| self.mint.current())
    }

    /// Returns whether the entry takes new jobs.
    pub fn is_ready(&self) -> bool {
        self.owner_token().is_some()
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    /// Returns whether another entry is known to be stopping.
    pub fn knows_stopping(&self, entry: Incarnation) -> bool {
        self.relays.is_stopping(entry)
    }

    /// Returns the stopped entries whose tokens this entry answers for.
    pub fn answers_for(&self) -> Vec<Incarnation> {
        self.relays.adopted_owners()
    }

    /// Returns how many jobs are live.
    pub fn live_job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how many keys are kept.
    pub fn key_count(&self) -> usize {
        self.keys.key_count()
    }

    /// Returns how many bytes of answers are kept.
    pub fn answer_bytes(&self) -> usize {
        self.keys.answer_bytes()
    }

    fn request(
        &mut self,
        requester: Requester,
        request: CallerRequest,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        if request.token().incarnation == self.incarnation {
            self.own_request(requester, request, now, actions);
        } else {
            self.foreign_request(requester, request, now, actions);
        }
    }

    fn receive(
        &mut self,
        peer: Incarnation,
        message: Message,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        match message {
            Message::Slots { report, credits } => {
                self.take_credits(peer, report, credits, now, actions);
            }
            Message::Reports {
                tasks,
                report,
                credits,
            } => {
                self.take_reports(peer, tasks, now, actions);
                self.take_credits(peer, report, credits, now, actions);
            }
            Message::Reconciled(verdicts) => self.take_verdicts(peer, verdicts, now, actions),
            Message::Fenced(report) => self.take_fence(report, now, actions),
            Message::Relay(relay) => {
                let requester = Requester::Entry {
                    entry: peer,
                    request: relay.request,
                };
                self.relayed_request(requester, relay.body, now, actions);
            }
            Message::RelayResponse(answer) => self.take_relay_answer(answer, actions),
            Message::Roster(notice) => self.relays.learn_roster(notice),
            Message::HandOver(part) => self.take_over(peer, part, now, actions),
            Message::HandOverTaken { from, .. } => self.hand_over_taken(from),
            Message::AnswersFor { stopped } => self.relays.learn_successor(stopped, peer),
            _ => actions.push(EntryAction::Count(EntryCounter::Unexpected)),
        }
    }

    fn peer_up(
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
            Role::Sidecar => self.sidecar_up(peer, now, actions),
        }
    }

    fn peer_down(&mut self, peer: Incarnation, now: Instant, actions: &mut Vec<EntryAction>) {
        if self.entries.remove(&peer) {
            self.entry_down(peer, now, actions);
        }
        if let Some(view) = self.sidecars.get_mut(&peer) {
            view.session_closed(now);
        }
    }

    fn sidecar_up(&mut self, peer: Incarnation, now: Instant, actions: &mut Vec<EntryAction>) {
        let Some(view) = self.sidecars.get_mut(&peer) else {
            return;
        };
        view.session_opened();
        self.demand_board.session_changed(peer);
        let tasks = view.tasks_in_doubt();
        if !tasks.is_empty() {
            actions.push(EntryAction::Send {
                peer,
                message: Message::Reconcile(tasks),
            });
        }
        self.update_roster(peer, now, actions);
    }

    fn hear_minion(
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
        view.is_heard = true;
        if let Some(work) = self.services.get_mut(&announcement.service) {
            work.health.minion_found(sidecar);
        }
        view.announced(announcement);
        self.update_roster(sidecar, now, actions);
    }

    fn hear_slots(&mut self, sidecar: Incarnation, report: SlotReport, now: Instant) {
        if let Some(view) = self.sidecars.get_mut(&sidecar) {
            view.take_heartbeat(report, now);
        }
    }

    fn lose_minion(&mut self, sidecar: Incarnation, now: Instant, actions: &mut Vec<EntryAction>) {
        if let Some(view) = self.sidecars.get_mut(&sidecar) {
            view.is_heard = false;
        }
        self.update_roster(sidecar, now, actions);
    }

    /// Takes a sidecar into use or out of it, so that new tokens name the right set.
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
            self.mint.join(sidecar, now)
        } else if view.announcement.state == MinionState::Serving && view.is_heard {
            // A broken session alone is mended within moments; the roster stays.
            false
        } else {
            self.mint.leave(sidecar, now)
        };
        if is_changed {
            self.tell_roster(actions);
        }
    }

    fn tell_roster(&mut self, actions: &mut Vec<EntryAction>) {
        let notice = self.roster_notice();
        self.relays.learn_roster(notice.clone());
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
        self.settle(now);
        self.mint.rotate(self.settings.generation, now);
        self.keys.expire(self.settings.kept_keys, now);
        self.mint.forget(self.settings.kept_keys, now);
        self.run_timers(now, actions);
        self.lose_overdue_sidecars(now, actions);
        self.advance_relays(now, actions);
        for keys in self.relays.adopted.values_mut() {
            keys.expire(self.settings.kept_keys, now);
        }
    }

    /// Begins to take jobs once the known minions are linked or the grace has passed.
    fn settle(&mut self, now: Instant) {
        let Some(configured_at) = self.configured_at else {
            return;
        };
        let has_waited = now.duration_since(configured_at) >= LINK_GRACE;
        self.has_settled |= has_waited || self.has_all_links();
    }

    /// Returns whether minions are known and each of them has a link session.
    fn has_all_links(&self) -> bool {
        let mut known = self.sidecars.values().filter(|view| view.is_heard);
        let first = known.next();
        first.is_some_and(|view| view.is_up) && known.all(|view| view.is_up)
    }

    /// Answers a requester, wherever it is.
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
