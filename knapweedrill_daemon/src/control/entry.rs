//! The control state of an entry.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use knapweedrill::common::{Incarnation, RequestId};
use knapweedrill::entry::{
    CallerRequest, CallerResponse, Entry, EntryAction, EntryCounter, EntryEvent, Requester,
};
use knapweedrill::event::EventKind;
use knapweedrill::link::WantedPeer;
use knapweedrill::membership::{EntryMembership, EntryNews, MembershipChange};
use knapweedrill::message::Message;
use knapweedrill_wire::Datagrams;

use super::configuration::ConfigurationKeeper;
use super::operator::PendingApply;
use super::run::{Control, Progress};
use super::traffic::publish_datagrams;
use super::{ControlEvent, HttpCall, PeerEvent, Peers, Published, Replies};
use crate::http::Responder;
use crate::platform_log::{LogNews, LogRecord, LogWriter};
use crate::settings::Settings;
use crate::telemetry::{Counter, Gauge, Metrics, Timeline};

/// How long a process that is lost goes on being dialled.
const LOST_PEER_MEMORY: Duration = Duration::from_secs(30);

/// The least time between two repeats of the configuration in the log.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The control state of an entry.
pub struct EntryControl {
    pub(super) settings: Settings,
    pub(super) entry: Entry,
    pub(super) peers: Peers,
    pub(super) membership: EntryMembership,
    pub(super) datagrams: Datagrams,
    pub(super) log: LogWriter,
    pub(super) configuration: ConfigurationKeeper,
    pub(super) applies: Vec<PendingApply>,
    pub(super) published: Arc<Published>,
    pub(super) timeline: Arc<Timeline>,
    pub(super) metrics: Arc<Metrics>,
    replies: Replies,
    waiting: HashMap<RequestId, WaitingCaller>,
    next_request: RequestId,
    actions: Vec<EntryAction>,
    progress: Progress,
    refreshed_at: Option<Instant>,
    /// The processes that are lost, and since when.
    lost: BTreeMap<Incarnation, Instant>,
}

/// A caller that waits for an answer.
struct WaitingCaller {
    responder: Responder,
    request: CallerRequest,
}

/// What an entry's control state is made of.
pub struct EntryParts {
    /// The settings of the process.
    pub settings: Settings,
    /// The state machine.
    pub entry: Entry,
    /// The links.
    pub peers: Peers,
    /// The minions and other entries.
    pub membership: EntryMembership,
    /// The socket of heartbeats.
    pub datagrams: Datagrams,
    /// Appends to the log.
    pub log: LogWriter,
    /// Answers callers.
    pub replies: Replies,
    /// What other threads may know.
    pub published: Arc<Published>,
    /// The time line.
    pub timeline: Arc<Timeline>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

impl EntryControl {
    /// Creates the control state from its parts.
    pub fn new(parts: EntryParts) -> Self {
        Self {
            settings: parts.settings,
            entry: parts.entry,
            peers: parts.peers,
            membership: parts.membership,
            datagrams: parts.datagrams,
            log: parts.log,
            configuration: ConfigurationKeeper::new(),
            applies: Vec::new(),
            published: parts.published,
            timeline: parts.timeline,
            metrics: parts.metrics,
            replies: parts.replies,
            waiting: HashMap::new(),
            next_request: 0,
            actions: Vec::new(),
            progress: Progress::Running,
            refreshed_at: None,
            lost: BTreeMap::new(),
        }
    }

    fn tell(&mut self, event: EntryEvent, now: Instant) {
        self.entry.handle(event, now, &mut self.actions);
    }

    fn take_peer_events(&mut self, events: Vec<PeerEvent>, now: Instant) {
        for event in events {
            match event {
                PeerEvent::Up { peer, role } => {
                    self.tell(EntryEvent::PeerUp { peer, role }, now);
                }
                PeerEvent::Down { peer } => self.tell(EntryEvent::PeerDown { peer }, now),
                PeerEvent::Message { peer, message } => self.take_message(peer, message, now),
            }
        }
    }

    fn take_message(&mut self, peer: Incarnation, message: Message, now: Instant) {
        match message {
            Message::ConfigurationPull { have } => {
                if let Some(push) = self.configuration.push_for(have) {
                    self.peers.send(peer, push, now);
                }
            }
            Message::ConfigurationPush { version, record } => {
                if self.configuration.adopt(version, record) {
                    self.configured(now);
                }
            }
            message => self.tell(EntryEvent::Message { peer, message }, now),
        }
    }

    /// Puts the newest configuration into force here, and tells the others at once.
    pub(super) fn configured(&mut self, now: Instant) {
        let Some(version) = self.configuration.version() else {
            return;
        };
        self.configuration
            .record_in_force(&self.timeline, &self.metrics);
        let configuration = self.configuration.configuration().clone();
        let event = EntryEvent::Configured {
            version,
            configuration,
        };
        self.tell(event, now);
        for peer in self.peers.up() {
            if let Some(push) = self.configuration.push_for(None) {
                self.peers.send(peer, push, now);
            }
        }
    }

    fn take_changes(&mut self, changes: Vec<MembershipChange>, now: Instant) {
        for change in changes {
            self.take_change(change, now);
        }
    }

    fn take_change(&mut self, change: MembershipChange, now: Instant) {
        match change {
            MembershipChange::MinionFound(announcement) => {
                self.note_found(announcement.sidecar, &announcement.name);
                let wanted = WantedPeer::from(&announcement);
                self.tell(EntryEvent::Minion { announcement }, now);
                self.want(wanted, now);
            }
            MembershipChange::MinionChanged(announcement) => {
                log::info!(minion = announcement.name.as_str(); "minion is {:?}", announcement.state);
                self.timeline.record(EventKind::MinionChanged {
                    sidecar: announcement.sidecar,
                    state: announcement.state,
                });
                self.tell(EntryEvent::Minion { announcement }, now);
            }
            MembershipChange::MinionReported { sidecar, report } => {
                self.tell(EntryEvent::SlotsReported { sidecar, report }, now);
            }
            MembershipChange::MinionLost { sidecar } => {
                self.note_lost(sidecar);
                self.lost.insert(sidecar, now);
                self.tell(EntryEvent::MinionLost { sidecar }, now);
            }
            MembershipChange::EntryFound(entry) => {
                self.note_found(entry.incarnation, &entry.name);
                self.want(WantedPeer::from(&entry), now);
            }
            MembershipChange::EntryStopping { entry } => {
                self.tell(EntryEvent::EntryStopping { entry }, now);
            }
            MembershipChange::EntryLost { entry } => {
                self.note_lost(entry);
                self.lost.insert(entry, now);
            }
            MembershipChange::AnswersFor { successor, stopped } => {
                self.tell(EntryEvent::AnswersFor { successor, stopped }, now);
            }
        }
    }

    fn note_found(&self, peer: Incarnation, name: &str) {
        log::info!(peer = name; "found");
        self.timeline.record(EventKind::PeerFound {
            peer,
            peer_name: name.to_owned(),
        });
    }

    fn note_lost(&self, peer: Incarnation) {
        log::warn!("lost sight of {peer:016x}");
        self.timeline.record(EventKind::PeerLost { peer });
    }

    fn want(&mut self, peer: WantedPeer, now: Instant) {
        self.lost.remove(&peer.incarnation);
        let events = self.peers.want(peer, now);
        self.take_peer_events(events, now);
    }

    /// Stops dialling processes that have been lost for long and have no session.
    ///
    /// Lost heartbeats alone end no session, since tasks may be under way on it.
    fn unwant_lost(&mut self, now: Instant) {
        let peers = &self.peers;
        let gone: Vec<Incarnation> = self
            .lost
            .extract_if(.., |peer, since| {
                now.duration_since(*since) > LOST_PEER_MEMORY && !peers.is_up(*peer)
            })
            .map(|(peer, _)| peer)
            .collect();
        for peer in gone {
            let events = self.peers.unwant(peer, now);
            self.take_peer_events(events, now);
        }
    }

    fn take_call(&mut self, call: HttpCall, now: Instant) {
        match call {
            HttpCall::Job { request, responder } => self.take_job(request, responder, now),
            call => self.take_operator_call(call, now),
        }
    }

    fn take_job(&mut self, request: CallerRequest, responder: Responder, now: Instant) {
        let number = self.next_request;
        self.next_request += 1;
        let waiting = WaitingCaller {
            responder,
            request: request.without_payload(),
        };
        self.waiting.insert(number, waiting);
        let requester = Requester::Caller { request: number };
        self.tell(EntryEvent::Request { requester, request }, now);
    }

    fn take_log_news(&mut self, news: LogNews, now: Instant) {
        if self.configuration.take_log_news(news, &self.timeline) {
            self.configured(now);
        }
        for record in self.configuration.take_presences() {
            if let LogRecord::Presence(entry) = record {
                self.membership.learn(&entry, now);
            }
        }
        self.resolve_applies(now);
    }

    /// Repeats the configuration in the log before retention cuts it off.
    fn refresh_configuration(&mut self, now: Instant) {
        let is_due = self
            .refreshed_at
            .is_none_or(|at| now.duration_since(at) > REFRESH_INTERVAL);
        if !is_due || self.entry.is_stopping() {
            return;
        }
        let record_id = rand::random();
        if let Some(record) = self.configuration.due_refresh(record_id) {
            self.refreshed_at = Some(now);
            self.log.append(record_id, LogRecord::Configuration(record));
        }
    }

    pub(super) fn stop(&mut self, now: Instant) {
        if !self.entry.is_stopping() {
            log::info!("planned stop begun");
            self.timeline.record(EventKind::StopBegun);
            self.tell(EntryEvent::Stop, now);
        }
    }

    fn carry_out(&mut self, now: Instant) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                EntryAction::Respond { request, response } => self.respond(request, response),
                EntryAction::Send { peer, message } => self.peers.send(peer, message, now),
                EntryAction::Record(event) => {
                    self.timeline.record(event);
                }
                EntryAction::Count(counter) => self.metrics.count(counter_of(counter), 1),
                EntryAction::Stopped => self.progress = Progress::Stopped,
            }
        }
    }

    fn respond(&mut self, request: RequestId, response: CallerResponse) {
        if let Some(waiting) = self.waiting.remove(&request) {
            self.replies
                .send(waiting.responder, waiting.request, response);
        }
    }

    fn beat(&mut self, now: Instant) {
        let news = EntryNews {
            clock: self.timeline.stamp(),
            configuration: self.configuration.version(),
            is_stopping: self.entry.is_stopping(),
            answers_for: self.entry.answers_for(),
        };
        let Some(outgoing) = self.membership.beat(&news, now) else {
            return;
        };
        for address in outgoing.to {
            self.datagrams.send(address, &outgoing.datagram);
        }
    }

    /// Asks whoever has a newer configuration for it.
    fn pull_configuration(&mut self, now: Instant) {
        let have = self.configuration.version();
        let Some(source) = self.membership.ahead(have) else {
            return;
        };
        if self.configuration.may_pull(now) {
            let message = Message::ConfigurationPull { have };
            self.peers.send(source.peer, message, now);
        }
    }

    fn settle_empty_log(&mut self, now: Instant) {
        let ahead = self.membership.ahead(None);
        let peer_version = ahead.map(|source| source.version);
        self.configuration.settle_empty_log(peer_version, now);
    }

    fn publish(&self) {
        self.peers.publish_counts();
        publish_datagrams(&self.metrics, &self.datagrams.counts());
        self.published
            .set(self.entry.owner_token(), self.entry.is_ready());
        let metrics = &self.metrics;
        metrics.set(Gauge::JobsInFlight, self.entry.live_job_count() as u64);
        metrics.set(Gauge::KeptKeys, self.entry.key_count() as u64);
        metrics.set(Gauge::KeptAnswerBytes, self.entry.answer_bytes() as u64);
    }
}

impl Control for EntryControl {
    fn handle(&mut self, event: ControlEvent, now: Instant) {
        match event {
            ControlEvent::Link(event) => {
                let events = self.peers.handle(event, now);
                self.take_peer_events(events, now);
            }
            ControlEvent::Datagram(datagram) => {
                self.timeline.observe(datagram.clock);
                let changes = self.membership.handle(&datagram, now);
                self.take_changes(changes, now);
            }
            ControlEvent::Http(call) => self.take_call(call, now),
            ControlEvent::Log(news) => self.take_log_news(news, now),
            ControlEvent::Appended { record_id, result } => {
                self.appended(record_id, result, now);
            }
            ControlEvent::Stop => self.stop(now),
            ControlEvent::CallEnded { .. } => {}
        }
    }

    fn tick(&mut self, now: Instant) {
        let events = self.peers.tick(now);
        self.take_peer_events(events, now);
        let changes = self.membership.tick(now);
        self.take_changes(changes, now);
        self.tell(EntryEvent::Tick, now);
        self.pull_configuration(now);
        self.unwant_lost(now);
        self.settle_empty_log(now);
        self.refresh_configuration(now);
        self.resolve_applies(now);
        self.publish();
    }

    fn flush(&mut self, now: Instant) -> Progress {
        self.entry.flush(now, &mut self.actions);
        self.carry_out(now);
        self.beat(now);
        self.progress
    }
}

fn counter_of(counter: EntryCounter) -> Counter {
    match counter {
        EntryCounter::JobAccepted => Counter::JobsAccepted,
        EntryCounter::JobAttached => Counter::JobsAttached,
        EntryCounter::JobCompleted => Counter::JobsCompleted,
        EntryCounter::JobFailed => Counter::JobsFailed,
        EntryCounter::JobNotRun => Counter::JobsNotRun,
        EntryCounter::Relayed => Counter::JobsRelayed,
        EntryCounter::HandedOut => Counter::TasksHandedOut,
        EntryCounter::NotStarted => Counter::TasksFenced,
        EntryCounter::ReportDropped => Counter::ResultsDropped,
        EntryCounter::CreditReturned => Counter::CreditsReturned,
        EntryCounter::Unexpected => Counter::MessagesUnexpected,
    }
}
