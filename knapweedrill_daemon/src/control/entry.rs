//! The control state of an entry.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use knapweedrill::common::{Incarnation, RequestId};
use knapweedrill::entry::{
    CallerRequest, CallerResponse, Entry, EntryAction, EntryEvent, Requester,
};
use knapweedrill::event::EventKind;
use knapweedrill::job::{Outcome, Refusal};
use knapweedrill::membership::{EntryMembership, EntryNews};
use knapweedrill::message::Message;
use knapweedrill_wire::DatagramSocket;

use super::configuration::ConfigurationKeeper;
use super::entry_metrics::timer_of;
use super::operator::PendingApply;
use super::run::{Control, Progress};
use super::{ControlEvent, HttpCall, PeerEvent, Peers, Published, Replies};
use crate::http::Responder;
use crate::platform_log::{LogRecord, LogWriter, TailEvent};
use crate::settings::Settings;
use crate::telemetry::{Counter, Metrics, Timeline};

/// The least time between two repeats of the configuration in the log.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The control state of an entry.
pub struct EntryControl {
    pub(super) settings: Settings,
    pub(super) entry: Entry,
    pub(super) peers: Peers,
    pub(super) membership: EntryMembership,
    pub(super) datagrams: DatagramSocket,
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
    pub(super) metrics_due_at: Instant,
    /// The processes that are lost, and since when.
    pub(super) lost: BTreeMap<Incarnation, Instant>,
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
    pub datagrams: DatagramSocket,
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
            metrics_due_at: Instant::now(),
            lost: BTreeMap::new(),
        }
    }

    pub(super) fn tell(&mut self, event: EntryEvent, now: Instant) {
        self.entry.handle(event, now, &mut self.actions);
    }

    pub(super) fn take_peer_events(&mut self, events: Vec<PeerEvent>, now: Instant) {
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

    fn take_log_news(&mut self, news: TailEvent, now: Instant) {
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
                    self.count_event(&event);
                    self.timeline.record(event);
                }
                EntryAction::Count(counter) => self.count(counter),
                EntryAction::Time { timer, duration } => {
                    self.metrics.record_duration(timer_of(timer), duration);
                }
                EntryAction::Stopped => self.progress = Progress::Stopped,
            }
        }
    }

    fn respond(&mut self, request: RequestId, response: CallerResponse) {
        if is_overloaded(&response) {
            self.metrics.add(Counter::AdmissionRefused, 1);
        }
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
        let source = self.membership.ahead(self.configuration.version());
        self.configuration.pull(source, &mut self.peers, now);
    }

    fn settle_empty_log(&mut self, now: Instant) {
        let ahead = self.membership.ahead(None);
        let peer_version = ahead.map(|source| source.version);
        self.configuration.settle_empty_log(peer_version, now);
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
        self.publish(now);
    }

    fn flush(&mut self, now: Instant) -> Progress {
        self.entry.flush(now, &mut self.actions);
        self.carry_out(now);
        self.beat(now);
        self.progress
    }
}

fn is_overloaded(response: &CallerResponse) -> bool {
    matches!(
        response,
        CallerResponse::Ended {
            outcome: Outcome::NotRun {
                refusal: Refusal::Overloaded,
                ..
            }
        }
    )
}
